#ifndef LIBWISTERIAROUTE_AGENT_AGENT_H_
#define LIBWISTERIAROUTE_AGENT_AGENT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "libwisteriaroute/agent/events.h"
#include "libwisteriaroute/agent/kept_response.h"

namespace wisteriaroute::agent {

/** Limits and identity of one agent; don't change while it runs. */
struct agent_options {
  std::string name;
  std::string class_name;
  std::string service;
  std::string group;
  std::uint32_t rank = 0;
  std::vector<std::string> models;
  /** The backend server speaks the engine protocol. */
  bool engine = false;
  /** Attempts that run at once; 0: as many as the engine reports slots. */
  std::uint32_t slots = 0;
  /** Attempts that wait for a slot. */
  std::uint32_t queue = 8;
  base::time_us window_us = 60'000'000;
  /** Attempt ids in one window; more begin the next window early. */
  std::size_t window_ids = 100'000;
  base::time_us orphan_us = 10'000'000;
  base::time_us stop_limit_us = 60'000'000;
  base::time_us call_timeout_us = 120'000'000;
  /** A stream without bytes for so long is opened again, once. */
  base::time_us silent_us = 2'000'000;
  std::size_t tail_bytes = 256 * 1024;
  std::size_t kept_bytes = 4 * 1024 * 1024;
};

enum class attempt_stage : std::uint8_t {
  kQueued,
  kRunning,
  /** Its connection broke; a health poll tells why. */
  kBroken,
  kFinished,
  kFailed,
  kNeverRuns,
};

/** A link that gets the response, and the offset that it has acknowledged. */
struct subscriber {
  net::link_id link = 0;
  std::uint64_t acked = 0;
};

/** What is kept of an attempt beyond its id and stage. */
struct attempt_body {
  /** Null once the attempt has ended. */
  std::shared_ptr<const wire::submit> work;
  std::vector<subscriber> subscribers;
  base::time_us orphan_since_us = 0;
  base::time_us started_us = 0;
  base::time_us last_data_us = 0;
  /** 0: none. */
  base::time_us deadline_us = 0;
  /** First health poll that tells why the connection broke. */
  std::uint64_t broken_poll = 0;
  std::uint32_t resumed = 0;
  kept_response response;
};

/** One attempt id that is remembered. */
struct attempt {
  attempt_stage stage = attempt_stage::kNeverRuns;
  wire::refusal_reason refusal = wire::refusal_reason::kQueriedBefore;
  wire::failure_reason failure = wire::failure_reason::kBackendLost;
  wire::outcome ran = wire::outcome::kUnknown;
  bool claimed = false;
  /** Remembered while this window is the current or the previous one. */
  std::uint64_t kept_window = 0;
  /**
   * False for a cancel of an id that wasn't remembered: the attempt may have
   * run in a window that is forgotten.
   */
  bool seen = true;
  std::unique_ptr<attempt_body> body;
};

struct backend_health {
  bool healthy = false;
  base::time_us last_ok_us = 0;
  base::time_us next_poll_us = 0;
  std::uint64_t next_poll = 1;
  std::uint32_t refused_in_row = 0;
  std::uint32_t ok_in_row = 0;
  std::string instance;
};

/** A stage order that the backend server has accepted. */
struct staging_order {
  wire::order_result answer;
  std::uint64_t generation = 0;
  std::uint64_t epoch = 0;
};

/** Orders for the backend server; one is passed on at a time. */
struct order_state {
  bool number_known = false;
  wire::fencing_number highest;
  std::deque<wire::order> waiting;
  bool in_progress = false;
  /** Answers by order id, and the ids in the order of their answers. */
  std::map<std::uint64_t, wire::order_result> answers;
  std::deque<std::uint64_t> answered;
  /** Stage orders whose copying isn't complete, by order id. */
  std::map<std::uint64_t, staging_order> staging;
  wire::group_report last_report;
  /** Of polls since the last report. */
  std::vector<std::uint32_t> expert_tokens;
  base::time_us next_report_us = 0;
  base::time_us next_poll_us = 0;
};

struct report_state {
  std::set<net::link_id> entries;
  wire::agent_state last_state;
  update_member last_member;
  bool member_sent = false;
  std::vector<std::string> models;
  bool models_changed = false;
  wire::load_report engine_load;
  wire::load_report last_load;
  base::time_us next_load_us = 0;
  base::time_us next_load_poll_us = 0;
  base::time_us next_cache_us = 0;
  std::uint64_t cache_sequence = 0;
  /** Blocks told to entries, for links that come up later. */
  std::unordered_set<std::uint64_t> cached_blocks;
};

/** All state of the agent role. */
struct agent_state {
  agent_options options;
  std::uint64_t random = 0;
  std::uint64_t incarnation = 0;
  /** All incarnations of this process, newest last. */
  std::deque<std::uint64_t> own_incarnations;
  std::uint64_t window = 1;
  /** Windows in which attempts were started; older ones are unknown. */
  std::set<std::uint64_t> started_windows;
  std::uint64_t first_known_window = 1;
  base::time_us window_until_us = 0;
  std::size_t ids_in_window = 0;
  base::time_us lease_until_us = 0;
  bool drained = false;
  bool stopping = false;
  base::time_us stop_until_us = 0;
  bool stopped = false;
  base::time_us last_tick_us = 0;
  std::uint64_t revision = 0;

  std::unordered_map<wire::attempt_id, attempt> attempts;
  std::map<std::uint64_t, std::vector<wire::attempt_id>> ids_by_window;
  /** Attempts that wait for a slot, by priority, then by arrival. */
  std::map<std::pair<std::uint8_t, std::uint64_t>, wire::attempt_id> queue;
  std::uint64_t next_arrival = 0;
  /** Attempts that the backend server may be running. */
  std::set<wire::attempt_id> running;
  /** Ended attempts with a kept response, oldest first. */
  std::deque<wire::attempt_id> ended;
  std::size_t kept_bytes = 0;

  backend_health health;
  order_state orders;
  report_state reports;
};

/** State of an agent that has just started; `seed` is random. */
agent_state StartAgent(agent_options options,
                       std::uint64_t seed,
                       base::time_us now_us);

/** One step of the agent. Never throws for any input. */
std::vector<agent_effect> Step(agent_state& state,
                               const agent_event& event,
                               base::time_us now_us);

/** Whether new attempts are accepted now, apart from the load. */
bool Accepting(const agent_state& state, base::time_us now_us);

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_AGENT_H_
