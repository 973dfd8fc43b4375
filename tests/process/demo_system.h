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

/** Runs a shell command and collects its output and errors. */
command_result Execute(const std::string& line);

/** One request of a caller and what became of it. */
struct call {
  bool done = false;
  /** Whether a whole HTTP response was received. */
  bool ok = false;
  unsigned status = 0;
  std::string body;
  base::time_us started_us = 0;
  base::time_us ended_us = 0;

  /** `error.outcome` of an error response, or empty. */
  std::string Outcome() const;
  std::string ErrorCode() const;
  /** Text of all events of a stream. */
  std::string StreamText() const;
  bool StreamEnded() const { return body.find("[DONE]") != std::string::npos; }
};

/** A running system of scripts/demo; stopped when destroyed. */
class demo_system {
 public:
  demo_system();
  ~demo_system();
  demo_system(const demo_system&) = delete;
  demo_system& operator=(const demo_system&) = delete;

  command_result Wrctl(const std::string& arguments) const;
  nlohmann::json Read(const std::string& arguments) const;
  std::string Example(const std::string& name) const;
  std::string Entry(std::size_t index) const;
  std::string Standin(const std::string& name) const;
  std::string directory() const { return directory_; }

  /** Starts a request without waiting for it. */
  std::shared_ptr<call> Start(const std::string& method,
                              const std::string& url,
                              const std::string& body = "",
                              const net::http_headers& headers = {});
  std::shared_ptr<call> Order(std::size_t entry,
                              const std::string& idempotency_key,
                              const std::string& body);
  std::shared_ptr<call> Stream(std::size_t entry,
                               const std::string& prompt,
                               int max_tokens);
  /** Starts a request and waits for its end. */
  std::shared_ptr<call> Get(const std::string& url);
  void SetFaults(const std::string& standin, const nlohmann::json& faults);

  /** Bookings that all plain stand-ins executed with this key. */
  std::size_t BookingsOf(const std::string& idempotency_key);

  /** Bookings that a plain stand-in executed. */
  std::size_t BookingCount(const std::string& standin);

  std::vector<std::string> Controls() const;
  std::string AgentAddress(const std::string& agent) const;
  /** Adds a line to `[process]` of a process's settings. */
  void AddSetting(const std::string& process,
                  const std::string& key,
                  const std::string& value);
  /** Replaces a line of a process's settings. */
  void ReplaceSetting(const std::string& process,
                      const std::string& key,
                      const std::string& value);

  /** Runs the loop until the condition holds; false after the limit. */
  bool RunUntil(const std::function<bool()>& condition,
                base::time_us limit_us = 15'000'000);
  void RunFor(base::time_us duration_us);

  /** Names of the processes whose name starts with `prefix`. */
  std::vector<std::string> Names(const std::string& prefix) const;
  std::string Leader() const;

  bool IsRunning(const std::string& process);
  void Signal(const std::string& process, int signal_number);
  /** Sends SIGKILL and waits until the process is gone. */
  void Kill(const std::string& process);
  /** Sends SIGTERM and waits for the end. */
  void Terminate(const std::string& process);
  /** Starts a process that has ended, with its first command line. */
  void Restart(const std::string& process);

 private:
  struct process {
    int pid = 0;
    /** Whether this test started it and must wait for it. */
    bool is_child = false;
    std::vector<std::string> command;
  };

  command_result Script(const std::string& arguments) const;
  std::string SettingsPath(const std::string& process) const;
  bool IsGone(process& target) const;

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
