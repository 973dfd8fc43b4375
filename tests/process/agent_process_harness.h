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

/** A program of the build folder; killed when destroyed. */
class child_process {
 public:
  /** Waits for the line `listening ADDRESS` on its standard output. */
  child_process(const std::string& program,
                const std::vector<std::string>& arguments);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  const std::string& address() const { return address_; }
  int pid() const { return pid_; }
  void Signal(int signal_number) const;
  /** Waits for the end and returns the exit code, -1 for a signal. */
  int Wait();

 private:
  int pid_ = 0;
  int output_ = -1;
  std::string address_;
};

/** What an entry has received of one attempt. */
struct received_attempt {
  unsigned status = 0;
  std::string text;
  std::uint64_t end_offset = 0;
  bool gap = false;
  bool finished = false;
  std::vector<wire::failed> failures;
  std::vector<wire::refused> refusals;
  std::vector<wire::attempt_phase> phases;
};

/** A control leader and an entry in the test's process, for one agent. */
class agent_harness {
 public:
  /** Starts an agent for a stand-in with these lines in `[agent]`. */
  agent_harness(const std::string& backend_address,
                const std::string& agent_lines);
  ~agent_harness();
  agent_harness(const agent_harness&) = delete;
  agent_harness& operator=(const agent_harness&) = delete;

  bool RunUntil(const std::function<bool()>& condition,
                base::time_us limit_us = 10'000'000);
  void RunFor(base::time_us duration_us);

  /** A submit with this agent's incarnation and window. */
  wire::submit NewSubmit(wire::work_kind kind);
  void Send(const wire::work_message& message);
  void SendControl(const wire::control_message& message);
  /** Posts JSON to the backend server and returns the response's body. */
  std::string Http(const std::string& method,
                   const std::string& path,
                   const std::string& body = "");
  /** Waits until the agent accepts work. */
  bool Ready();

  child_process& agent() { return *agent_; }
  const wire::agent_state& state() const { return state_; }
  received_attempt& at(const wire::attempt_id& id) { return attempts_[id]; }

  bool grants_lease = true;
  std::vector<wire::control_message> control_received;
  std::vector<wire::load_report> loads;

 private:
  void HandleControl(net::link_id link, std::string_view body);
  void HandleWork(std::string_view body);
  void Note(const wire::work_message& message);

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
