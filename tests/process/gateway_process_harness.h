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

/**
 * Three control replicas, gateways and reporting stand-ins as processes, all
 * speaking the native protocol.
 */
class gateway_system {
 public:
  /** Starts control, two gateways and three servers of the service `desk`. */
  gateway_system();
  /** Kills all processes and removes their files. */
  ~gateway_system();
  gateway_system(const gateway_system&) = delete;
  gateway_system& operator=(const gateway_system&) = delete;

  /** Text of the traffic set that the tests publish. */
  static std::string Traffic(std::uint64_t version);

  /** Publishes a set with wrctl. */
  command_result Publish(const std::string& text);
  command_result Wrctl(const std::string& arguments) const;
  /** Publishes Traffic(1) and waits until all gateways serve it. */
  void Open();

  /** Starts a request at a gateway; `headers` come besides host, key and id. */
  std::shared_ptr<call> Start(std::size_t gateway,
                              const std::string& path,
                              const std::string& request_id,
                              const net::http_headers& headers = {},
                              const std::string& body = "");
  /** The same, and waits for the end. */
  std::shared_ptr<call> Ask(std::size_t gateway,
                            const std::string& path,
                            const std::string& request_id,
                            const net::http_headers& headers = {},
                            const std::string& body = "");
  std::shared_ptr<call> Get(const std::string& url);
  /** Cuts the connection of a request. */
  void Leave(const call& left);

  void SetFaults(const std::string& server, const nlohmann::json& faults);
  /** Whether all servers that run are idle. */
  bool ServersAreIdle();
  /** How often a request ran, over all servers. */
  std::uint64_t Runs(const std::string& request_id);
  std::uint64_t Abandoned();

  std::string Server(const std::string& name) const;
  std::string Ready(std::size_t gateway) const;
  std::string Metrics(const std::string& process) const;
  std::string LogFile(const std::string& process) const;
  std::string Log(const std::string& process) const;
  std::string SettingsFile(const std::string& process) const;
  void WriteSettings(const std::string& process, const std::string& text);

  void StartProcess(const std::string& name);
  void Signal(const std::string& process, int signal_number);
  bool IsRunning(const std::string& process);
  /** Sends the signal and waits for the end; returns the exit status. */
  int End(const std::string& process, int signal_number);

  bool RunUntil(const std::function<bool()>& condition,
                base::time_us limit_us = 15'000'000);
  void RunFor(base::time_us duration_us);

 private:
  struct process {
    std::vector<std::string> command;
    int pid = 0;
  };

  std::string TakeAddress();
  /** What each server that answers tells of its runs. */
  std::vector<nlohmann::json> ServerStates();
  void AddControl(std::size_t index);
  void AddGateway(std::size_t index);
  void AddServer(const std::string& name);
  std::string ProcessTable(const std::string& name,
                           const std::string& address) const;
  bool Serves(std::size_t gateway);

  std::string bin_;
  std::string folder_;
  std::vector<std::string> free_addresses_;
  /** By what listens there, for instance `control-0` or `gateway-1/http`. */
  std::map<std::string, std::string> addresses_;
  std::map<std::string, process> processes_;
  std::map<const call*, net::transfer_id> transfers_;
  net::loop loop_;
  net::http_client http_;
};

}  // namespace wisteriaroute::testing

#endif  // TESTS_PROCESS_GATEWAY_PROCESS_HARNESS_H_
