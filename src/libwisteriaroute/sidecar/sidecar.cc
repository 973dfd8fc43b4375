#include "libwisteriaroute/sidecar/sidecar.h"

#include <utility>

#include "libwisteriaroute/policy/demand_tracker.h"

namespace wisteriaroute::sidecar {

namespace {

// The rank answers at once and free of charge, since it runs beside us.
constexpr base::time_us kStatusPeriodUs = 200'000;
constexpr base::time_us kBusyStatusPeriodUs = 50'000;
// The coordinator counts a rank as lost after a second of silence.
constexpr base::time_us kSendPeriodUs = 250'000;
// A coordinator that has just got the part may have missed the lists.
constexpr base::time_us kListsPeriodUs = 1'000'000;
constexpr base::time_us kBusyUs = 3'000'000;
constexpr base::time_us kPresencePeriodUs = 5'000'000;
// Links that were lost by accident are back within this time.
constexpr base::time_us kUnlinkedUs = 1'000'000;

constexpr unsigned kFirstRefusal = 400;

using effects = std::vector<sidecar_effect>;

struct event_handler {
  sidecar_state& state;
  base::time_us now;
  effects& out;

  void operator()(const status_polled& event) {
    state.polling_status = false;
    NoteReachable(event);
    if (!event.ok) {
      return;
    }
    const bool reformed = event.status.formation != state.status.formation;
    if (reformed) {
      state.window_start.reset();
      state.window_tokens.clear();
    }
    if (!event.status.group.empty()) {
      ForgetOtherGroup(event.status.group);
    }
    const bool other_map = event.status.map_version != state.status.map_version;
    state.status = event.status;
    state.status.service = state.service;
    state.status.server = state.server;
    state.status.term = state.poll_term;
    if (reformed || other_map || !state.lists) {
      state.lists.reset();
      PollLists();
    }
    SendIfChanged();
    if (state.poll_term != state.highest_term) {
      PollStatus();
    }
  }

  void operator()(const counts_polled& event) {
    state.polling_counts = false;
    if (!event.ok) {
      return;
    }
    if (state.count_numbers != event.counts.totals.size()) {
      state.count_numbers = event.counts.totals.size();
      TakeTurn();
      return;
    }
    const policy::count_timing timing = Timing();
    if (!state.window_start) {
      state.window_start = event.counts;
      state.next_counts_us = now + timing.window_us;
      return;
    }
    state.window_tokens = Difference(*state.window_start, event.counts);
    if (timing.window_us == timing.period_us) {
      state.window_start = event.counts;
      state.next_counts_us = now + timing.period_us;
    } else {
      state.window_start.reset();
      state.next_counts_us = now + timing.period_us - timing.window_us;
    }
    // At once: what is planned from them should be as young as may be.
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
    // A sidecar that has just started doesn't know which terms are old.
    if (!state.grant) {
      out.push_back(note_order{order, "no grant known"});
      return;
    }
    if (order.term < state.highest_term) {
      out.push_back(note_order{order, "older term"});
      return;
    }
    state.highest_term = order.term;
    if (order.kind == wire::rank_order_kind::kFence) {
      out.push_back(note_order{order, "fenced"});
      PollStatus();
      return;
    }
    state.busy_until_us = now + kBusyUs;
    out.push_back(note_order{order, "passed on"});
    out.push_back(pass_order{order});
  }

  void operator()(const order_answered& event) {
    if (event.status >= kFirstRefusal || event.status == 0) {
      out.push_back(note_order{{.kind = event.kind},
                               event.status == 0
                                   ? "not answered"
                                   : "status " + std::to_string(event.status)});
    }
    PollStatus();
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
    const bool held = Coordinates();
    state.highest_term = grant.term;
    state.grant = grant;
    if (Coordinates()) {
      out.push_back(follow_coordinator{});
      out.push_back(take_part{grant});
      state.linked = true;
      StartAnew();
    } else if (other) {
      if (held) {
        out.push_back(give_up_part{});
      }
      state.linked = false;
      state.link_changed_us = now;
      // A grant to an earlier run of this process leaves nobody to follow.
      out.push_back(follow_coordinator{
          grant.name == state.name ? std::string() : grant.address});
    }
    PollStatus();
    SendPresence();
  }

  void operator()(const coordinator_link_changed& event) {
    if (Coordinates() || state.linked == event.up) {
      return;
    }
    state.linked = event.up;
    state.link_changed_us = now;
    if (event.up) {
      StartAnew();
    }
  }

  void operator()(const sidecar_tick&) {
    const bool busy = now < state.busy_until_us;
    if (now >= state.next_status_us) {
      state.next_status_us =
          now + (busy ? kBusyStatusPeriodUs : kStatusPeriodUs);
      PollStatus();
    }
    if (state.linked && now >= state.next_counts_us &&
        !std::exchange(state.polling_counts, true)) {
      out.push_back(poll_counts{});
    }
    if (!state.lists && state.status.ranks > 0) {
      PollLists();
    }
    if (now >= state.next_send_us) {
      Send();
    }
    if (now >= state.next_presence_us || Presence() != state.presence_sent) {
      SendPresence();
    }
  }

 private:
  void NoteReachable(const status_polled& event) {
    if (event.ok != state.reachable) {
      out.push_back(note_rank{
          .reachable = event.ok,
          .silent_ms = state.heard_us == 0 ? 0 : (now - state.heard_us) / 1'000,
          .formation = event.status.formation,
          .map_version = event.status.map_version});
    }
    state.reachable = event.ok;
    if (event.ok) {
      state.heard_us = now;
    }
  }

  /** A grant for another group than the rank's says nothing here. */
  void ForgetOtherGroup(const std::string& group) {
    if (!state.grant || state.grant->group == group) {
      return;
    }
    if (Coordinates()) {
      out.push_back(give_up_part{});
    }
    out.push_back(follow_coordinator{});
    state.grant.reset();
    state.highest_term = 0;
    state.linked = false;
    state.link_changed_us = now;
  }

  bool Coordinates() const {
    return state.grant && state.grant->name == state.name &&
           state.grant->incarnation == state.incarnation;
  }

  /** The coordinator knows nothing of this rank. */
  void StartAnew() {
    state.next_lists_us = now;
    state.window_start.reset();
    state.window_tokens.clear();
    TakeTurn();
    Send();
  }

  policy::count_timing Timing() const {
    return policy::CountTiming(state.status.ranks, state.count_numbers);
  }

  /** Ranks tell their counts one after the other. */
  void TakeTurn() {
    if (state.status.ranks != 0) {
      state.next_counts_us =
          now + Timing().period_us * state.status.rank / state.status.ranks;
    }
  }

  /** What was counted; nothing if the rank has started anew between. */
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
                state.linked || now - state.link_changed_us <= kUnlinkedUs};
  }

  void SendPresence() {
    state.next_presence_us = now + kPresencePeriodUs;
    state.presence_sent = Presence();
    if (state.status.ranks != 0) {
      out.push_back(send_presence{state.presence_sent});
    }
  }

  void PollStatus() {
    if (!std::exchange(state.polling_status, true)) {
      state.poll_term = state.highest_term;
      out.push_back(poll_status{});
    }
  }

  void PollLists() {
    if (!std::exchange(state.polling_lists, true)) {
      out.push_back(poll_lists{});
    }
  }

  void SendIfChanged() {
    const wire::rank_status& a = state.status;
    const wire::rank_status& b = state.sent;
    if (a.term != b.term || a.formation != b.formation ||
        a.group_running != b.group_running || a.map_version != b.map_version ||
        a.prepared_version != b.prepared_version ||
        a.armed_version != b.armed_version || a.armed_step != b.armed_step ||
        a.held_step != b.held_step || (Coordinates() && a.step != b.step)) {
      Send();
    }
  }

  void Send() {
    if (state.status.ranks == 0 || !state.linked) {
      return;
    }
    state.next_send_us = now + kSendPeriodUs;
    state.sent = state.status;
    wire::rank_status message = state.status;
    message.expert_tokens = std::exchange(state.window_tokens, {});
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
