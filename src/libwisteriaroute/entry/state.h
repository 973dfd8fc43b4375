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

namespace wisteriaroute::entry {

/** A backend server's agent, as this entry sees it. */
struct agent {
  wire::member_info member;
  /** In control's list. Others are kept while attempts are open there. */
  bool is_member = false;
  bool drained = false;
  /** Address that is dialled; empty if none is. */
  std::string dialled;
  net::link_id link = 0;
  /** Valid while the link is up and the agent has sent it. */
  std::optional<wire::agent_state> state;
  wire::load_report load;
  std::uint32_t in_flight = 0;
  /** Open attempts that the last load report can't include. */
  std::uint32_t sent_since_report = 0;
  /** Number of the last load report. */
  std::uint64_t report = 0;
  std::uint32_t suspects = 0;
  /** Failures in a row, and until when they keep it out of rotation. */
  std::uint32_t failures = 0;
  base::time_us suspended_until_us = 0;
  std::unordered_set<std::uint64_t> cached_blocks;
  /** Attempts that were given up while the link was down. */
  std::set<wire::attempt_id> to_cancel;
};

/** What a workspace uses at this entry. */
struct usage {
  std::int64_t open_requests = 0;
  double tokens = 0;
  base::time_us refilled_us = 0;
  /** Whether `tokens` was set from the limit. */
  bool started = false;
};

/** Requests that wait for servers of one model or service. */
struct pool {
  /** Priority, fair tag, request number. */
  std::set<std::tuple<std::uint8_t, double, std::uint64_t>> waiting;
  /** Members whose backend servers serve the pool. */
  std::vector<agent*> agents;
  double virtual_time = 0;
  /** The last fair tag of each workspace. */
  std::map<std::string, double, std::less<>> last_tags;
  /** Completions in the current and the last window, for Retry-After. */
  std::uint32_t finished = 0;
  std::uint32_t finished_before = 0;
  /** Mean time from dispatch to the end of recent answers. */
  double run_us = 0;
};

/** The loss of a backend server, and the suspects that ran there. */
struct crash {
  std::string agent;
  std::uint64_t backend_incarnation = 0;
  std::vector<base::digest128> known;
};

struct entry_state {
  entry_settings settings;
  std::string name;
  std::string region;
  std::string data_center;
  /** Random number of this run; the high half of attempt ids. */
  std::uint64_t incarnation = 0;

  std::shared_ptr<const config::object_set> configuration;
  std::uint64_t revision = 0;
  /** SHA-256 of a bearer key in hexadecimal digits, to its workspace. */
  std::unordered_map<std::string, std::string> workspace_of_key;
  base::time_us lease_until_us = 0;
  bool stopping = false;
  base::time_us stopping_since_us = 0;
  bool listening_stopped = false;
  bool stop_reported = false;

  std::unordered_map<std::uint64_t, request> requests;
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
  /** A member_update came in, so that an absent agent is really gone. */
  bool members_known = false;
  std::unordered_map<net::link_id, std::string> agent_of_link;
  std::map<std::string, pool, std::less<>> pools;
  std::map<std::string, usage, std::less<>> usages;
  std::size_t queued = 0;

  std::unordered_map<base::digest128, wire::quarantine_entry> quarantine;
  /** The last ones. */
  std::deque<crash> crashes;
  /** Times of requests and retries of the last 10 s, by second. */
  std::map<base::time_us, std::pair<std::uint32_t, std::uint32_t>> recent;
  base::time_us rate_window_us = 0;
  /** State of a generator that is fed by the seeds of events. */
  std::uint64_t random = 1;
};

/** One step in progress. */
struct step_context {
  entry_state& state;
  base::time_us now_us = 0;
  std::vector<entry_effect>& effects;

  template <typename Effect>
  void Emit(Effect effect) {
    effects.emplace_back(std::move(effect));
  }
};

/** The next number of the state's generator. */
std::uint64_t NextRandom(entry_state& state);

/** New work is accepted: valid lease, configuration, not stopping. */
bool IsReady(const entry_state& state, base::time_us now_us);

/** Gives a request its phase. */
void SetPhase(step_context& step, request& of, request_phase phase);

request* FindRequest(entry_state& state, std::uint64_t number);
request* FindByAttempt(entry_state& state, const wire::attempt_id& id);
agent* FindAgent(entry_state& state, std::string_view name);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_STATE_H_
