#ifndef TESTS_PROCESS_DEMO_SYSTEM_H_
#define TESTS_PROCESS_DEMO_SYSTEM_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libwisteriaroute/net/http_client.h"
#include "libwisteriaroute/net/loop.h"

namespace wisteriaroute::testing {

struct command_result {
  int status = -1;
  std::string output;
};

/** Runs a shell command; collects standard output and standard error. */
command_result Execute(const std::string& line);

/** A caller's HTTP request and its response so far. */
struct call {
  bool done = false;
  /** Whether a complete HTTP response was received. */
  bool ok = false;
  /** Whether the request was sent on a connection that was used before. */
  bool reused = false;
  /** Whether no connection could be made. */
  bool never_sent = false;
  unsigned status = 0;
  std::string body;
  base::time_us started_us = 0;
  base::time_us ended_us = 0;

  /** Returns `error.outcome` of an error response, or an empty text. */
  std::string Outcome() const;
  /** Returns `error.code` of an error response, or an empty text. */
  std::string ErrorCode() const;
  /** Returns the joined text of all events of a stream. */
  std::string StreamText() const;
  bool StreamEnded() const { return body.find("[DONE]") != std::string::npos; }
};

/** A system that scripts/demo starts; the destructor stops it. */
class demo_system {
 public:
  demo_system();
  ~demo_system();
  demo_system(const demo_system&) = delete;
  demo_system& operator=(const demo_system&) = delete;

  command_result Wrctl(const std::string& arguments) const;
  nlohmann::json WrctlJson(const std::string& arguments) const;
  std::string ExamplePath(const std::string& name) const;
  std::string EntryUrl(std::size_t index) const;
  std::string StandinUrl(const std::string& name) const;
  std::string directory() const { return directory_; }

  /** Starts a request without waiting for it. */
  std::shared_ptr<call> Start(const std::string& method,
                              const std::string& url,
                              const std::string& body = "",
                              const net::http_headers& headers = {});
  /** Starts a call to the orders service, which must run at most once. */
  std::shared_ptr<call> StartOrder(std::size_t entry,
                                   const std::string& idempotency_key,
                                   const std::string& body);
  /** Starts a streamed chat completion. */
  std::shared_ptr<call> StartStream(std::size_t entry,
                                    const std::string& prompt,
                                    int max_tokens);
  /** Sends a GET request and waits until it is done. */
  std::shared_ptr<call> Get(const std::string& url);
  void SetFaults(const std::string& standin, const nlohmann::json& faults);

  /** Returns how many bookings all stand-ins executed with this key. */
  std::size_t CountBookingsWithKey(const std::string& idempotency_key);

  /** Returns how many bookings a plain stand-in executed. */
  std::size_t CountBookingsAt(const std::string& standin);

  std::vector<std::string> ControlAddresses() const;
  std::string AgentAddress(const std::string& agent) const;
  /** Adds a line to the table `[process]` of a process's settings. */
  void AddSetting(const std::string& process,
                  const std::string& key,
                  const std::string& value);
  /** Replaces a line of a process's settings. */
  void ReplaceSetting(const std::string& process,
                      const std::string& key,
                      const std::string& value);

  /** Runs the event loop until the condition holds; false: limit passed. */
  bool RunUntil(const std::function<bool()>& condition,
                base::time_us limit_us = 15'000'000);
  void RunFor(base::time_us duration_us);

  /** Returns the names of processes that start with `prefix`. */
  std::vector<std::string> ProcessNames(const std::string& prefix) const;
  /** Returns the name of the control leader; empty if no leader answers. */
  std::string Leader() const;

  bool IsRunning(const std::string& process);
  int Pid(const std::string& process) const;
  void Signal(const std::string& process, int signal_number);
  /** Sends SIGKILL and waits until the process has exited. */
  void Kill(const std::string& process);
  /** Sends SIGTERM and waits up to 70 s until the process has exited. */
  void Terminate(const std::string& process);
  /** Starts a process that has exited, with the same command line. */
  void Restart(const std::string& process);

 private:
  struct process {
    int pid = 0;
    /** Whether Restart started it, so that this process must reap it. */
    bool is_child = false;
    std::vector<std::string> command;
  };

  command_result RunDemoScript(const std::string& arguments) const;
  std::string SettingsPath(const std::string& process) const;
  bool HasExited(process& target) const;

  std::string bin_;
  std::string directory_;
  nlohmann::json endpoints_;
  std::string key_;
  std::map<std::string, process> processes_;
  net::loop loop_;
  net::http_client http_;
};

}  // namespace wisteriaroute::testing

#endif  // TESTS_PROCESS_DEMO_SYSTEM_H_
