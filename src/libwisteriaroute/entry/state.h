#ifndef LIBWISTERIAROUTE_ENTRY_STATE_H_
#define LIBWISTERIAROUTE_ENTRY_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "libwisteriaroute/config/object_set.h"
#include "libwisteriaroute/entry/events.h"
#include "libwisteriaroute/entry/request.h"
#include "libwisteriaroute/entry/settings.h"
#include "libwisteriaroute/member/evacuation_view.h"
#include "libwisteriaroute/policy/answered_parts.h"
#include "libwisteriaroute/policy/crash_evidence.h"

namespace wisteriaroute::entry {

/** This entry's view of a backend server's agent. */
struct agent {
  wire::member_info member;
  /**
   * Whether control's list of members has it. Other agents are kept while
   * they have attempts in flight or a link.
   */
  bool is_member = false;
  bool drained = false;
  /** Its data centre is evacuated. */
  bool evacuated = false;
  /** Address that is being dialled; empty if none. */
  std::string dialled_address;
  /** 0 while no link is up. */
  net::link_id link = 0;
  /** Empty until the agent has sent it on the link that is up. */
  std::optional<wire::agent_state> state;
  wire::load_report load;
  /** This entry's open attempts. */
  std::uint32_t in_flight = 0;
  /** Open attempts that were sent after the last load report. */
  std::uint32_t sent_since_report = 0;
  /** Counts load reports; a new link counts as one. */
  std::uint64_t load_report_number = 0;
  /** Open attempts of suspects. */
  std::uint32_t suspects_in_flight = 0;
  /** Consecutive failed attempts. */
  std::uint32_t failures = 0;
  /** No new work is sent before this time because of `failures`. */
  base::time_us suspended_until_us = 0;
  /** Hashes of prompt blocks in the backend server's prefix cache. */
  std::unordered_set<std::uint64_t> cached_blocks;
  /** Attempts abandoned while the link was down; cancelled on the next link. */
  std::set<wire::attempt_id> to_cancel;
};

/** A workspace's usage of its limits at this entry. */
struct usage {
  std::int64_t open_requests = 0;
  /** Token bucket: tokens that are left. Negative after long responses. */
  double tokens_left = 0;
  base::time_us refilled_us = 0;
  /** Whether the bucket was filled for the first time. */
  bool bucket_filled = false;
};

/** Requests that wait for servers of one model or service. */
struct pool {
  /** In dispatch order: priority, fair tag, request number. */
  std::set<std::tuple<std::uint8_t, double, std::uint64_t>> waiting;
  /** Agents whose backend servers serve the model or service. */
  std::vector<agent*> agents;
  /** Highest fair tag that was dispatched. */
  double virtual_time = 0;
  /** The last fair tag of each workspace. */
  std::map<std::string, double, std::less<>> last_tags;
  /** Requests finished in the current and in the previous rate window. */
  std::uint32_t finished_in_window = 0;
  std::uint32_t finished_in_last_window = 0;
  /** Moving average of the time from dispatch to the complete response. */
  double mean_run_us = 0;
};

/** The loss of a backend server, and its requests that were suspects before. */
struct crash {
  std::string agent;
  std::uint64_t backend_incarnation = 0;
  std::vector<base::digest128> suspects_before;
};

struct entry_state {
  entry_settings settings;
  std::string name;
  std::string region;
  std::string data_center;
  /** Random number of this process run; the high half of attempt ids. */
  std::uint64_t incarnation = 0;

  std::shared_ptr<const config::object_set> configuration;
  std::uint64_t revision = 0;
  /** Workspace by the SHA-256 of a bearer key in hexadecimal digits. */
  std::unordered_map<std::string, std::string> workspace_of_key;
  base::time_us lease_until_us = 0;
  bool stopping = false;
  base::time_us stopping_since_us = 0;
  bool listening_stopped = false;
  bool stop_reported = false;

  std::unordered_map<std::uint64_t, request_state> requests;
  std::unordered_map<net::exchange_id, std::uint64_t> request_of_exchange;
  std::unordered_map<wire::attempt_id, std::uint64_t> request_of_attempt;
  std::unordered_map<std::uint64_t, std::uint64_t> request_of_correlation;
  /** Keyed requests in progress, by workspace and key digest. */
  std::map<std::pair<std::string, base::digest128>, std::uint64_t>
      request_of_key;
  std::uint64_t next_request = 1;
  std::uint64_t next_request_id = 1;
  std::uint64_t next_attempt = 1;
  std::uint64_t next_correlation = 1;

  std::map<std::string, agent, std::less<>> agents;
  /** A member_update was received; until then a missing agent may exist. */
  bool members_known = false;
  member::evacuation_view evacuations;
  std::unordered_map<net::link_id, std::string> agent_of_link;
  std::map<std::string, pool, std::less<>> pools;
  std::map<std::string, usage, std::less<>> usages;
  std::size_t queued = 0;

  std::unordered_map<base::digest128, wire::quarantine_entry> quarantine;
  /** Parts of prompts that are suspects or may not run. */
  std::unordered_map<base::digest128, wire::quarantine_entry> suspect_parts;
  policy::answered_parts answered_parts;
  /** The latest crashes, oldest first. */
  std::deque<crash> recent_crashes;
  /** What this entry has reported to control, oldest first; monotonic ms. */
  std::vector<policy::crash> reported_crashes;
  /** Retry budget: requests and retries of the last 10 s, by second. */
  std::map<base::time_us, std::pair<std::uint32_t, std::uint32_t>>
      retry_budget_counts;
  base::time_us rate_window_us = 0;
  /** State of the random generator; seeded by events. */
  std::uint64_t random = 1;
};

/** State, time and output of one call of Step(). */
struct step_context {
  entry_state& state;
  base::time_us now_us = 0;
  std::vector<entry_effect>& effects;

  template <typename Effect>
  void Emit(Effect effect) {
    effects.emplace_back(std::move(effect));
  }
};

/** The next number of the state's random generator. */
std::uint64_t NextRandom(entry_state& state);

/** Whether the entry has a valid lease and configuration and isn't stopping. */
bool IsReady(const entry_state& state, base::time_us now_us);

/** Sets the phase and the time at which it began. */
void SetPhase(step_context& step, request_state& request, request_phase phase);

request_state* FindRequest(entry_state& state, std::uint64_t number);
request_state* FindByAttempt(entry_state& state, const wire::attempt_id& id);
agent* FindAgent(entry_state& state, std::string_view name);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_STATE_H_
