#ifndef TESTS_PROCESS_GATEWAY_PROCESS_HARNESS_H_
#define TESTS_PROCESS_GATEWAY_PROCESS_HARNESS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "libwisteriaroute/net/http_client.h"
#include "libwisteriaroute/net/loop.h"
#include "tests/process/demo_system.h"

namespace wisteriaroute::testing {

/** The servers crash when they begin to answer a prompt with this shared part.
 */
inline constexpr const char* kCrashPart = "c4a5";

/** What a test changes in the settings of a gateway_system. */
struct gateway_system_options {
  int server_slots = 4;
  /** Lines that are added to the table `[gateway]`. */
  std::string gateway_lines;
  /** Lines that are added to the traffic configuration. */
  std::string traffic_lines;
  /** Callers send their requests on kept connections. */
  bool keep_connections = false;
};

/**
 * Runs three control replicas, two gateways and three stand-ins in the mode
 * `reporting` as processes. All speak the native protocol.
 */
class gateway_system {
 public:
  /** Starts all processes; the stand-ins are servers of the service `desk`, two
   * in the data centre `north-a` and `desk-c` in `north-b`. */
  explicit gateway_system(gateway_system_options options = {});
  /** Kills all processes; removes the files unless WR_KEEP_DIRECTORY is set. */
  ~gateway_system();
  gateway_system(const gateway_system&) = delete;
  gateway_system& operator=(const gateway_system&) = delete;

  /** Returns the traffic configuration of the tests as TOML. */
  static std::string TrafficToml(std::uint64_t version);

  /** Publishes a traffic configuration with wrctl. */
  command_result Publish(const std::string& text);
  command_result Wrctl(const std::string& arguments) const;
  /** Runs a command of wrctl with the settings of this system. */
  command_result Operate(const std::string& arguments) const;
  /** Publishes TrafficToml(1) and waits until both gateways serve with it. */
  void PublishAndWait();

  /** Starts a POST request; adds `headers` to host, request id and API key. */
  std::shared_ptr<call> Start(std::size_t gateway,
                              const std::string& path,
                              const std::string& request_id,
                              const net::http_headers& headers = {},
                              const std::string& body = "");
  /** Like Start, and waits until the request is done. */
  std::shared_ptr<call> StartAndWait(std::size_t gateway,
                                     const std::string& path,
                                     const std::string& request_id,
                                     const net::http_headers& headers = {},
                                     const std::string& body = "");
  std::shared_ptr<call> Get(const std::string& url);
  /** Starts an HTTP call to a control replica; follows no redirect. */
  std::shared_ptr<call> StartControlCall(std::size_t replica,
                                         const std::string& method,
                                         const std::string& path,
                                         const std::string& body = "");
  /** Like StartControlCall, and waits until the call is done. */
  std::shared_ptr<call> CallControl(std::size_t replica,
                                    const std::string& method,
                                    const std::string& path,
                                    const std::string& body = "");
  /** Cancels a request as its caller, which closes the connection. */
  void Disconnect(const call& target);

  void SetFaults(const std::string& server, const nlohmann::json& faults);
  /** Whether no server that answers has a request in progress. */
  bool ServersAreIdle();
  /** Returns how often all servers together executed a request. */
  std::uint64_t CountRuns(const std::string& request_id);
  /** Returns how many requests were closed while a server executed them. */
  std::uint64_t CountAbandoned();

  std::string ServerUrl(const std::string& name) const;
  std::string ReadyUrl(std::size_t gateway) const;
  std::string MetricsUrl(const std::string& process) const;
  std::string LogFile(const std::string& process) const;
  std::string ReadLog(const std::string& process) const;
  std::string SettingsFile(const std::string& process) const;
  std::string ReadSettings(const std::string& process) const;
  void WriteSettings(const std::string& process, const std::string& text);

  std::string HttpAddress(std::size_t gateway) const;
  /** Names of the processes of the product, without the stand-ins. */
  std::vector<std::string> ProductProcesses() const;
  /** Process id; 0 if it doesn't run. */
  int Pid(const std::string& process);

  void StartProcess(const std::string& name);
  void Signal(const std::string& process, int signal_number);
  bool IsRunning(const std::string& process);
  /** Sends the signal and waits until it exits; returns the exit status. */
  int SignalAndWait(const std::string& process, int signal_number);

  bool RunUntil(const std::function<bool()>& condition,
                base::time_us limit_us = 15'000'000);
  void RunFor(base::time_us duration_us);

 private:
  struct process {
    std::vector<std::string> command;
    int pid = 0;
  };

  std::string TakeAddress();
  /** Returns `GET /standin/runs` of each server that answers. */
  std::vector<nlohmann::json> ServerStates();
  void AddControl(std::size_t index);
  void AddGateway(std::size_t index);
  void AddServer(const std::string& name);
  std::string ProcessTable(const std::string& name,
                           const std::string& address) const;
  bool IsServing(std::size_t gateway);

  gateway_system_options options_;
  std::string bin_;
  std::string folder_;
  std::vector<std::string> free_addresses_;
  /** Addresses by listener, for instance `control-0` or `gateway-1/http`. */
  std::map<std::string, std::string> addresses_;
  std::map<std::string, process> processes_;
  std::map<const call*, net::transfer_id> transfers_;
  net::loop loop_;
  net::http_client http_;
};

}  // namespace wisteriaroute::testing

#endif  // TESTS_PROCESS_GATEWAY_PROCESS_HARNESS_H_
