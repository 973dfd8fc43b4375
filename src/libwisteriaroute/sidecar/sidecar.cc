#include "libwisteriaroute/sidecar/sidecar.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/policy/demand_tracker.h"
#include "libwisteriaroute/wire/packed_counts.h"

namespace wisteriaroute::sidecar {

namespace {

// Polls are cheap: the rank runs on the same host and answers at once.
constexpr base::time_us kStatusPeriodUs = 200'000;
// While the rank copies experts, is armed or holds its group, every other
// status that it reports brings the change further.
constexpr base::time_us kBusyStatusPeriodUs = 10'000;
// Counts cover one pass where passes take at least this long. A window of
// several passes may begin before a shift of demand and end after it.
constexpr base::time_us kMinWindowUs = 30'000;
// Time after which counts are sent although no pass has ended.
constexpr base::time_us kMaxWindowUs = 200'000;
constexpr base::time_us kCountsRetryUs = 50'000;
constexpr std::uint32_t kPaceNoisePermille = 50;
// Bytes of a report besides the counts.
constexpr std::size_t kReportOverheadBytes = 200;
// The coordinator stops sending orders to the group if the last status of a
// rank is older than one second.
constexpr base::time_us kSendPeriodUs = 250'000;
// A new coordinator may have missed the lists: it drops what arrives before its
// grant.
constexpr base::time_us kListsPeriodUs = 1'000'000;
constexpr base::time_us kBusyUs = 3'000'000;
constexpr base::time_us kPresencePeriodUs = 5'000'000;
// A link that fails accidentally is up again within this time.
constexpr base::time_us kLinkLossToleranceUs = 1'000'000;

constexpr unsigned kFirstErrorStatus = 400;

using effects = std::vector<sidecar_effect>;

struct event_handler {
  sidecar_state& state;
  base::time_us now;
  effects& out;

  void operator()(const status_polled& event) {
    state.polling_status = false;
    const bool again = std::exchange(state.poll_status_again, false);
    UpdateReachability(event);
    if (!event.ok) {
      return;
    }
    const bool reformed = event.status.formation != state.status.formation;
    if (reformed) {
      state.window_start.reset();
      state.window_tokens.clear();
      state.placements.Clear();
      state.ordered_version = 0;
    }
    if (!event.status.group.empty()) {
      DiscardGrantOfOtherGroup(event.status.group);
    }
    const bool other_map = event.status.map_version != state.status.map_version;
    state.status = event.status;
    state.status.service = state.service;
    state.status.server = state.server;
    state.status.term = state.poll_term;
    state.status.placement_version =
        state.placements.Knows(state.status.map_version)
            ? state.status.map_version
            : 0;
    if (reformed || other_map || !state.lists) {
      state.lists.reset();
      PollLists();
    }
    SendIfChanged();
    if (again || state.poll_term != state.highest_term) {
      PollStatus();
    }
  }

  void operator()(const counts_polled& event) {
    state.polling_counts = false;
    if (!event.ok) {
      state.next_counts_us = now + kCountsRetryUs;
      return;
    }
    if (state.counter_count != event.counts.totals.size()) {
      state.counter_count = event.counts.totals.size();
      ScheduleCounts();
      return;
    }
    if (!state.window_start) {
      BeginWindow(event.counts);
      return;
    }
    if (event.counts.step == state.window_start->step &&
        now - state.window_start_us < kMaxWindowUs) {
      state.next_counts_us = now + kSidecarTickUs;
      return;
    }
    state.window_tokens = Difference(*state.window_start, event.counts);
    state.window_first_step = state.window_start->step;
    state.window_last_step = event.counts.step;
    if (event.counts.formation == state.status.formation) {
      state.status.step = std::max(state.status.step, event.counts.step);
    }
    const base::time_us next_us = state.window_start_us + CountPeriodUs();
    if (next_us <= now) {
      BeginWindow(event.counts);
    } else {
      state.window_start.reset();
      state.next_counts_us = next_us;
    }
    // Sent at once: the coordinator plans from these counts, and demand may
    // have shifted by the next regular send.
    Send();
  }

  void operator()(const lists_polled& event) {
    state.polling_lists = false;
    if (!event.ok || event.lists.map_version != state.status.map_version ||
        event.lists.formation != state.status.formation) {
      return;
    }
    state.lists = event.lists;
    state.next_lists_us = now;
    Send();
  }

  void operator()(const order_received& event) {
    const wire::rank_order& order = event.order;
    // After a start, the sidecar doesn't know yet which terms are outdated.
    if (!state.grant) {
      out.push_back(log_order{order, "no grant known"});
      return;
    }
    if (order.term < state.highest_term) {
      out.push_back(log_order{order, "older term"});
      return;
    }
    state.highest_term = order.term;
    if (order.kind == wire::rank_order_kind::kFence) {
      out.push_back(log_order{order, "fenced"});
      PollStatus();
      return;
    }
    wire::rank_order forwarded = order;
    if (order.kind == wire::rank_order_kind::kPrepare) {
      if (!state.placements.Expand(forwarded)) {
        out.push_back(log_order{order, "unknown base map"});
        PollStatus();
        return;
      }
      state.ordered_version = order.version;
    }
    state.busy_until_us = now + kBusyUs;
    state.next_status_us =
        std::min(state.next_status_us, now + kBusyStatusPeriodUs);
    out.push_back(log_order{order, "passed on"});
    out.push_back(forward_order{std::move(forwarded)});
  }

  void operator()(const order_answered& event) {
    if (event.status >= kFirstErrorStatus || event.status == 0) {
      out.push_back(log_order{{.kind = event.kind},
                              event.status == 0
                                  ? "not answered"
                                  : "status " + std::to_string(event.status)});
    }
    PollChangedStatus();
  }

  void operator()(const control_opened&) { SendPresence(); }

  void operator()(const grant_received& event) {
    const wire::coordinator_grant& grant = event.grant;
    if (grant.group != state.status.group || grant.term < state.highest_term) {
      return;
    }
    const bool other = !state.grant || state.grant->name != grant.name ||
                       state.grant->address != grant.address ||
                       state.grant->incarnation != grant.incarnation;
    const bool was_coordinator = IsCoordinator();
    state.highest_term = grant.term;
    state.grant = grant;
    if (IsCoordinator()) {
      out.push_back(follow_coordinator{});
      out.push_back(start_coordinating{grant});
      state.coordinator_reachable = true;
      RestartReporting();
    } else if (other) {
      if (was_coordinator) {
        out.push_back(stop_coordinating{});
      }
      state.coordinator_reachable = false;
      state.link_changed_us = now;
      // After a grant to an earlier incarnation of this process, there is no
      // coordinator to connect to.
      out.push_back(follow_coordinator{
          grant.name == state.name ? std::string() : grant.address});
    }
    PollStatus();
    SendPresence();
  }

  void operator()(const coordinator_link_changed& event) {
    if (IsCoordinator() || state.coordinator_reachable == event.up) {
      return;
    }
    state.coordinator_reachable = event.up;
    state.link_changed_us = now;
    if (event.up) {
      RestartReporting();
    }
  }

  void operator()(const sidecar_tick&) {
    const bool busy = IsMapChanging();
    if (now >= state.next_status_us) {
      state.next_status_us =
          now + (busy ? kBusyStatusPeriodUs : kStatusPeriodUs);
      PollStatus();
    }
    if (state.coordinator_reachable && now >= state.next_counts_us &&
        !std::exchange(state.polling_counts, true)) {
      out.push_back(poll_counts{});
    }
    if (!state.lists && state.status.ranks > 0) {
      PollLists();
    }
    if (now >= state.next_send_us) {
      Send();
    }
    if (now >= state.next_presence_us ||
        Presence() != state.last_sent_presence) {
      SendPresence();
    }
  }

 private:
  void UpdateReachability(const status_polled& event) {
    if (event.ok != state.rank_reachable) {
      out.push_back(log_reachability{
          .reachable = event.ok,
          .silent_ms = state.last_status_us == 0
                           ? 0
                           : (now - state.last_status_us) / 1'000,
          .formation = event.status.formation,
          .map_version = event.status.map_version});
    }
    state.rank_reachable = event.ok;
    if (event.ok) {
      state.last_status_us = now;
    }
  }

  /** Discards a grant for a group that the rank doesn't belong to. */
  void DiscardGrantOfOtherGroup(const std::string& group) {
    if (!state.grant || state.grant->group == group) {
      return;
    }
    if (IsCoordinator()) {
      out.push_back(stop_coordinating{});
    }
    out.push_back(follow_coordinator{});
    state.grant.reset();
    state.highest_term = 0;
    state.coordinator_reachable = false;
    state.link_changed_us = now;
  }

  bool IsCoordinator() const {
    return state.grant && state.grant->name == state.name &&
           state.grant->incarnation == state.incarnation;
  }

  /** Reports everything again, to a coordinator that may know nothing yet. */
  void RestartReporting() {
    state.next_lists_us = now;
    state.window_start.reset();
    state.window_tokens.clear();
    ScheduleCounts();
    Send();
  }

  void BeginWindow(const expert_counts& counts) {
    state.window_start = counts;
    state.window_start_us = now;
    state.next_counts_us = now + kMinWindowUs;
  }

  base::time_us CountPeriodUs() const {
    return policy::CountPeriodUs(
        state.status.ranks,
        kReportOverheadBytes + wire::PackCounts(state.window_tokens).size());
  }

  /**
   * Schedules the next poll of the counts. The ranks report their counts one
   * after the other, spread over the period.
   */
  void ScheduleCounts() {
    if (state.status.ranks != 0) {
      state.next_counts_us =
          now + CountPeriodUs() * state.status.rank / state.status.ranks;
    }
  }

  /** Tokens counted between two polls; empty if the rank has restarted. */
  static std::vector<std::uint32_t> Difference(const expert_counts& from,
                                               const expert_counts& to) {
    std::vector<std::uint32_t> tokens;
    if (from.formation != to.formation ||
        from.totals.size() != to.totals.size()) {
      return tokens;
    }
    tokens.reserve(to.totals.size());
    for (std::size_t i = 0; i < to.totals.size(); ++i) {
      if (to.totals[i] < from.totals[i]) {
        return {};
      }
      tokens.push_back(
          static_cast<std::uint32_t>(to.totals[i] - from.totals[i]));
    }
    return tokens;
  }

  wire::rank_presence Presence() const {
    return {.service = state.service,
            .group = state.status.group,
            .rank = state.status.rank,
            .ranks = state.status.ranks,
            .term = state.highest_term,
            .coordinator_linked =
                state.coordinator_reachable ||
                now - state.link_changed_us <= kLinkLossToleranceUs};
  }

  void SendPresence() {
    state.next_presence_us = now + kPresencePeriodUs;
    state.last_sent_presence = Presence();
    if (state.status.ranks != 0) {
      out.push_back(send_presence{state.last_sent_presence});
    }
  }

  /** Whether the rank copies experts, is armed or holds its group. */
  bool IsMapChanging() const {
    const wire::rank_status& status = state.status;
    return now < state.busy_until_us &&
           ((status.prepared_version < state.ordered_version &&
             status.map_version < state.ordered_version) ||
            status.armed_version != 0 || status.held_step != 0);
  }

  void PollStatus() {
    if (!std::exchange(state.polling_status, true)) {
      state.poll_term = state.highest_term;
      out.push_back(poll_status{});
    }
  }

  /** Polls the status now, or again if the current poll may miss a change. */
  void PollChangedStatus() {
    state.poll_status_again = state.polling_status;
    PollStatus();
  }

  void PollLists() {
    if (!std::exchange(state.polling_lists, true)) {
      out.push_back(poll_lists{});
    }
  }

  /** Whether the pace differs from the one last sent by more than noise: a
   * status for each small difference would fill the coordinator's link. */
  bool HasPaceChanged() const {
    const std::uint32_t now_permille = state.status.pace_permille;
    const std::uint32_t sent_permille = state.last_sent_status.pace_permille;
    return std::max(now_permille, sent_permille) -
               std::min(now_permille, sent_permille) >
           kPaceNoisePermille;
  }

  void SendIfChanged() {
    const wire::rank_status& a = state.status;
    const wire::rank_status& b = state.last_sent_status;
    if (a.term != b.term || a.formation != b.formation ||
        a.group_running != b.group_running || a.map_version != b.map_version ||
        a.prepared_version != b.prepared_version ||
        a.armed_version != b.armed_version || a.armed_step != b.armed_step ||
        a.held_step != b.held_step || HasPaceChanged() ||
        a.placement_version != b.placement_version ||
        (IsCoordinator() && a.step != b.step)) {
      Send();
    }
  }

  void Send() {
    if (state.status.ranks == 0 || !state.coordinator_reachable) {
      return;
    }
    state.next_send_us = now + kSendPeriodUs;
    state.last_sent_status = state.status;
    wire::rank_status message = state.status;
    message.expert_tokens = std::exchange(state.window_tokens, {});
    message.first_count_step = state.window_first_step;
    message.last_count_step = state.window_last_step;
    if (state.lists && now >= state.next_lists_us) {
      state.next_lists_us = now + kListsPeriodUs;
      message.experts = state.lists->experts;
    }
    out.push_back(send_status{std::move(message)});
  }
};

}  // namespace

std::vector<sidecar_effect> Step(sidecar_state& state,
                                 const sidecar_event& event,
                                 base::time_us now_us) {
  effects out;
  std::visit(event_handler{state, now_us, out}, event);
  return out;
}

}  // namespace wisteriaroute::sidecar
