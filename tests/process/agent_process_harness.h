#ifndef TESTS_PROCESS_AGENT_PROCESS_HARNESS_H_
#define TESTS_PROCESS_AGENT_PROCESS_HARNESS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libwisteriaroute/base/hlc.h"
#include "libwisteriaroute/net/http_client.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/wire/control_messages.h"
#include "libwisteriaroute/wire/work_messages.h"

namespace wisteriaroute::testing {

/** A process of a program in the build folder; killed by the destructor. */
class child_process {
 public:
  /** Starts it and waits for the line `listening ADDRESS` on its output. */
  child_process(const std::string& program,
                const std::vector<std::string>& arguments);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  const std::string& address() const { return address_; }
  int pid() const { return pid_; }
  void Signal(int signal_number) const;
  /** Waits until it exits; returns the exit code, or -1 after a signal. */
  int Wait();

 private:
  int pid_ = 0;
  int output_ = -1;
  std::string address_;
};

/** What the harness has received from the agent about one attempt. */
struct received_attempt {
  unsigned status = 0;
  std::string text;
  std::uint64_t end_offset = 0;
  /** Whether a chunk or the end didn't continue at `end_offset`. */
  bool gap = false;
  bool finished = false;
  std::vector<wire::failed> failures;
  std::vector<wire::refused> refusals;
  std::vector<wire::attempt_phase> phases;
};

/**
 * Runs one agent process and plays its control leader and its entry in the
 * test's process.
 */
class agent_harness {
 public:
  /** Starts an agent for a backend server; adds the lines to `[agent]`. */
  agent_harness(const std::string& backend_address,
                const std::string& agent_lines);
  ~agent_harness();
  agent_harness(const agent_harness&) = delete;
  agent_harness& operator=(const agent_harness&) = delete;

  bool RunUntil(const std::function<bool()>& condition,
                base::time_us limit_us = 10'000'000);
  void RunFor(base::time_us duration_us);

  /** Returns a submit with a new attempt id and the agent's current window. */
  wire::submit MakeSubmit(wire::work_kind kind);
  void Send(const wire::work_message& message);
  void SendControl(const wire::control_message& message);
  /** Calls the backend server directly and returns the response body. */
  std::string CallBackend(const std::string& method,
                          const std::string& path,
                          const std::string& body = "");
  /** Waits until the agent accepts work. */
  bool WaitUntilReady();

  child_process& agent() { return *agent_; }
  const wire::agent_state& state() const { return state_; }
  received_attempt& Attempt(const wire::attempt_id& id) {
    return attempts_[id];
  }

  /** Whether heartbeats are acknowledged with a lease. */
  bool grants_lease = true;
  std::vector<wire::control_message> control_received;
  std::vector<wire::load_report> loads;

 private:
  void HandleControl(net::link_id link, std::string_view body);
  void HandleWork(std::string_view body);
  void RecordMessage(const wire::work_message& message);

  net::loop loop_;
  base::hybrid_clock clock_;
  std::string backend_;
  std::string folder_;
  std::unique_ptr<net::link_hub> hub_;
  std::unique_ptr<child_process> agent_;
  net::http_client http_;
  net::dial_id dial_ = 0;
  net::link_id agent_link_ = 0;
  net::link_id control_link_ = 0;
  std::uint64_t next_attempt_ = 1;
  wire::agent_state state_;
  std::map<wire::attempt_id, received_attempt> attempts_;
};

}  // namespace wisteriaroute::testing

#endif  // TESTS_PROCESS_AGENT_PROCESS_HARNESS_H_
