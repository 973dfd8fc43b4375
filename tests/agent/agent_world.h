#ifndef TESTS_AGENT_AGENT_WORLD_H_
#define TESTS_AGENT_AGENT_WORLD_H_

#include <rapidcheck.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libwisteriaroute/agent/agent.h"

namespace wisteriaroute::agent {

/** One decision of a random schedule. */
struct action {
  int kind = 0;
  int which = 0;
  int how = 0;
};

/** An entry's view of one of its attempts. */
struct entry_attempt {
  wire::submit work;
  std::string text;
  std::uint64_t offset = 0;
  bool finished = false;
};

/** The fake backend server's view of an attempt. */
struct fake_call {
  int starts = 0;
  /** Requests that reached the server. */
  int executions = 0;
  std::uint64_t produced = 0;
  std::optional<std::uint64_t> end;
};

/**
 * Runs the agent's reducer with an entry that repeats, reorders and loses
 * messages and with a fake backend server that counts starts. Violations raise
 * RapidCheck failures.
 */
class agent_world {
 public:
  agent_world();
  void Run(const action& next);
  /**
   * Finishes all running attempts, with the checks of what the entry receives,
   * and checks that none is left.
   */
  void Settle();

 private:
  void Submit(const action& next);
  void Deliver(wire::work_message message);
  void EngineEvent(const action& next);
  void Entry(const action& next);
  void Environment(const action& next);
  void Advance(base::time_us duration_us);
  void Restart();
  void Step(const agent_event& event);
  void CheckBounds() const;

  void Observe(const start_call& effect);
  void Observe(const cancel_call& effect);
  void Observe(const send_work& effect);
  void Observe(const poll_backend& effect);
  template <typename Other>
  void Observe(const Other&) {}

  void Receive(const wire::agent_state& message);
  void Receive(const wire::chunk& message);
  void Receive(const wire::finish& message);
  void Receive(const wire::refused& message);
  void Receive(const wire::attempt_status& message);
  template <typename Other>
  void Receive(const Other&) {}
  void NeverRan(const wire::attempt_id& id);

  entry_attempt* Pick(int which);
  void Produce(const wire::attempt_id& id, std::uint64_t count);

  base::time_us now_us_ = 1'000'000;
  std::uint64_t seed_ = 1;
  agent_state state_;
  wire::agent_state known_;
  net::link_id link_ = 1;
  bool backend_up_ = true;
  bool connected_ = true;
  std::uint64_t instance_ = 1;
  std::vector<entry_attempt> attempts_;
  std::map<wire::attempt_id, fake_call> calls_;
  std::set<wire::attempt_id> active_;
  std::set<wire::attempt_id> never_run_;
  std::map<std::string, int> executions_by_key_;
  std::vector<std::uint64_t> pending_polls_;
};

/** Token or byte block number `index` of an attempt's response. */
std::string BlockText(const wire::submit& work, std::uint64_t index);

}  // namespace wisteriaroute::agent

#endif  // TESTS_AGENT_AGENT_WORLD_H_
