#include "libwisteriaroute/sidecar/sidecar.h"

#include <utility>

namespace wisteriaroute::sidecar {

namespace {

// The rank answers at once and free of charge, since it runs beside us.
constexpr base::time_us kStatusPeriodUs = 200'000;
constexpr base::time_us kBusyStatusPeriodUs = 50'000;
constexpr base::time_us kCountsPeriodUs = 100'000;
// Control counts a rank as lost after a second of silence.
constexpr base::time_us kSendPeriodUs = 100'000;
constexpr base::time_us kBusyUs = 3'000'000;

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
    const bool other_map = event.status.map_version != state.status.map_version;
    state.status = event.status;
    state.status.service = state.service;
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
    state.counts = event.counts;
    if (state.counts_sent.size() != state.counts.totals.size() || Restarted()) {
      // Counts of another run, or the first ones: what came before is unknown.
      state.counts_sent = state.counts.totals;
    }
    // At once: what control plans by should be as young as may be.
    Send();
  }

  void operator()(const lists_polled& event) {
    state.polling_lists = false;
    if (!event.ok || event.lists.map_version != state.status.map_version ||
        event.lists.formation != state.status.formation) {
      return;
    }
    state.lists = event.lists;
    state.lists_sent = false;
    Send();
  }

  void operator()(const order_received& event) {
    const wire::rank_order& order = event.order;
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

  void operator()(const control_opened&) {
    state.lists_sent = false;
    Send();
  }

  void operator()(const sidecar_tick&) {
    const bool busy = now < state.busy_until_us;
    if (now >= state.next_status_us) {
      state.next_status_us =
          now + (busy ? kBusyStatusPeriodUs : kStatusPeriodUs);
      PollStatus();
    }
    if (now >= state.next_counts_us) {
      state.next_counts_us = now + kCountsPeriodUs;
      if (!std::exchange(state.polling_counts, true)) {
        out.push_back(poll_counts{});
      }
    }
    if (!state.lists && state.status.ranks > 0) {
      PollLists();
    }
    if (now >= state.next_send_us) {
      Send();
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

  bool Restarted() const {
    for (std::size_t i = 0; i < state.counts_sent.size(); ++i) {
      if (state.counts.totals[i] < state.counts_sent[i]) {
        return true;
      }
    }
    return false;
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
    if (a.term != b.term || a.formation != b.formation || a.open != b.open ||
        a.map_version != b.map_version ||
        a.prepared_version != b.prepared_version ||
        a.armed_version != b.armed_version || a.armed_step != b.armed_step ||
        a.held_step != b.held_step ||
        (now < state.busy_until_us && a.step != b.step)) {
      Send();
    }
  }

  void Send() {
    if (state.status.ranks == 0) {
      return;
    }
    state.next_send_us = now + kSendPeriodUs;
    state.sent = state.status;
    wire::rank_status message = state.status;
    if (state.counts.formation == state.status.formation) {
      for (std::size_t i = 0; i < state.counts.totals.size(); ++i) {
        message.expert_tokens.push_back(static_cast<std::uint32_t>(
            state.counts.totals[i] - state.counts_sent[i]));
      }
      state.counts_sent = state.counts.totals;
    }
    if (state.lists && !std::exchange(state.lists_sent, true)) {
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
