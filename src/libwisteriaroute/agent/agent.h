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
#include "libwisteriaroute/agent/response_buffer.h"

namespace wisteriaroute::agent {

/** Identity and limits of one agent. Fixed while the agent runs. */
struct agent_options {
  std::string name;
  std::string class_name;
  std::string service;
  std::string group;
  std::uint32_t rank = 0;
  std::vector<std::string> models;
  /** The backend server speaks the engine protocol. */
  bool engine = false;
  /** Maximum concurrent attempts. 0: the number of slots the engine reports. */
  std::uint32_t slots = 0;
  /** Maximum attempts that wait for a slot. */
  std::uint32_t queue = 8;
  /**
   * Length of a window. The id of an ended attempt is remembered in the window
   * in which it ended and in the next one.
   */
  base::time_us window_us = 60'000'000;
  /** When a window holds this many attempt ids, the next one begins early. */
  std::size_t max_window_ids = 100'000;
  /**
   * Attempts without a subscriber are cancelled after this time, except claimed
   * ones that have started.
   */
  base::time_us orphan_timeout_us = 10'000'000;
  /** Attempts that are left this long after a stop request are ended. */
  base::time_us stop_limit_us = 60'000'000;
  /** A call times out this long after its start or its last data, if later. */
  base::time_us call_timeout_us = 120'000'000;
  /** A stream that delivers no data for this time is reopened, once. */
  base::time_us stream_idle_timeout_us = 2'000'000;
  /** Maximum size of the buffered part of one response. */
  std::size_t tail_bytes = 256 * 1024;
  /** Maximum total size of all buffered responses. */
  std::size_t max_buffered_bytes = 4 * 1024 * 1024;
};

enum class attempt_stage : std::uint8_t {
  kQueued,
  kRunning,
  /** The connection was lost; a health poll shows whether the server died. */
  kBroken,
  kFinished,
  kFailed,
  kNeverRuns,
};

/** A link that receives the response. */
struct subscriber {
  net::link_id link = 0;
  /** Offset up to which the link has acknowledged the response. */
  std::uint64_t acked = 0;
};

/** Request, subscribers and buffered response of an attempt. */
struct attempt_body {
  /** Null once the attempt has ended. */
  std::shared_ptr<const wire::submit> work;
  std::vector<subscriber> subscribers;
  /** When the last subscriber was lost. */
  base::time_us orphan_since_us = 0;
  base::time_us started_us = 0;
  base::time_us last_data_us = 0;
  /** 0: no deadline. */
  base::time_us deadline_us = 0;
  /**
   * Number of the first health poll that was sent after the connection was
   * lost. Success of an earlier poll does not show that the server is alive.
   */
  std::uint64_t first_poll_after_loss = 0;
  /** How often the stream was reopened. */
  std::uint32_t resume_count = 0;
  response_buffer response;
};

/** State of one remembered attempt id. */
struct attempt {
  attempt_stage stage = attempt_stage::kNeverRuns;
  wire::refusal_reason refusal = wire::refusal_reason::kQueriedBefore;
  wire::failure_reason failure = wire::failure_reason::kBackendLost;
  wire::outcome ran = wire::outcome::kUnknown;
  bool claimed = false;
  /** The id is remembered while this window is the current or previous one. */
  std::uint64_t retention_window = 0;
  /**
   * False if the id was not remembered when a cancel for it arrived: the
   * attempt may have run in a window that has been forgotten.
   */
  bool history_known = true;
  /** Null for ids that never run, failed, or whose response was dropped. */
  std::unique_ptr<attempt_body> body;
};

struct backend_health {
  bool healthy = false;
  base::time_us last_ok_us = 0;
  base::time_us next_poll_us = 0;
  std::uint64_t next_poll = 1;
  std::uint32_t consecutive_refusals = 0;
  std::uint32_t consecutive_successes = 0;
  std::string instance;
};

/** A stage order that the backend server accepted and is still copying. */
struct pending_stage_order {
  /** Result that is sent once the copy is complete. */
  wire::order_result answer;
  std::uint64_t generation = 0;
  std::uint64_t epoch = 0;
};

/** Orders for the backend server; at most one is in progress. */
struct order_state {
  /** False until the first lease: orders are ignored until then. */
  bool fencing_known = false;
  /** Highest fencing number seen; new orders with a lower one are refused. */
  wire::fencing_number highest_fencing;
  std::deque<wire::order> waiting;
  bool in_progress = false;
  /** Recent results by order id; they answer repeated orders. */
  std::map<std::uint64_t, wire::order_result> answers;
  /** Ids of `answers`, oldest first. */
  std::deque<std::uint64_t> answered_ids;
  /** Stage orders whose copy is not complete, by order id. */
  std::map<std::uint64_t, pending_stage_order> staging;
  wire::group_report last_report;
  /**
   * Token counts per layer and expert, flattened; summed over the polls since
   * the last report.
   */
  std::vector<std::uint32_t> expert_tokens;
  base::time_us next_report_us = 0;
  base::time_us next_poll_us = 0;
};

struct report_state {
  std::set<net::link_id> entry_links;
  wire::agent_state last_state;
  update_member last_member;
  bool member_sent = false;
  std::vector<std::string> models;
  bool models_changed = false;
  wire::load_report engine_load;
  wire::load_report last_load;
  base::time_us next_load_report_us = 0;
  base::time_us next_load_poll_us = 0;
  base::time_us next_cache_poll_us = 0;
  std::uint64_t cache_sequence = 0;
  /** Blocks reported to entries; sent in full on new links. */
  std::unordered_set<std::uint64_t> cached_blocks;
};

/** Complete state of an agent; changed only by `Step`. */
struct agent_state {
  agent_options options;
  /** State of the random number generator, see NextRandom. */
  std::uint64_t random_state = 0;
  /** Incarnation of the backend server; changes when the server is lost. */
  std::uint64_t incarnation = 0;
  /** Recent incarnations that this process generated, newest last. */
  std::deque<std::uint64_t> own_incarnations;
  std::uint64_t window = 1;
  /** Windows of which at least one attempt was started. */
  std::set<std::uint64_t> started_windows;
  /** `started_windows` is complete from this window on. */
  std::uint64_t first_known_window = 1;
  base::time_us window_until_us = 0;
  std::size_t ids_in_window = 0;
  /** New attempts are refused from this time on. */
  base::time_us lease_until_us = 0;
  bool drained = false;
  bool stopping = false;
  base::time_us stop_deadline_us = 0;
  bool stopped = false;
  base::time_us last_tick_us = 0;
  std::uint64_t revision = 0;

  std::unordered_map<wire::attempt_id, attempt> attempts;
  std::map<std::uint64_t, std::vector<wire::attempt_id>> ids_by_window;
  /** Attempts that wait for a slot, ordered by priority, then arrival. */
  std::map<std::pair<std::uint8_t, std::uint64_t>, wire::attempt_id> queue;
  std::uint64_t next_arrival = 0;
  /** Attempts that the backend server may be running. */
  std::set<wire::attempt_id> running;
  /** Finished attempts, oldest first; their responses are dropped first. */
  std::deque<wire::attempt_id> finished_attempts;
  /** Total size of all buffered responses. */
  std::size_t buffered_bytes = 0;

  backend_health health;
  order_state orders;
  report_state reports;
};

/**
 * Returns the initial state. `seed` must be random: incarnations derive from
 * it.
 */
agent_state StartAgent(agent_options options,
                       std::uint64_t seed,
                       base::time_us now_us);

/**
 * Applies an event and returns the resulting effects. Never throws, whatever
 * the event contains.
 */
std::vector<agent_effect> Step(agent_state& state,
                               const agent_event& event,
                               base::time_us now_us);

/** Whether new attempts are accepted now, load and deadlines disregarded. */
bool IsAccepting(const agent_state& state, base::time_us now_us);

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_AGENT_H_
