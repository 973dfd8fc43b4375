#include "libwisteriaroute/member/session.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>

namespace wisteriaroute::member {

namespace {

// Time for a replica to acknowledge the first heartbeat before the next replica
// is tried. An election takes up to 1 s.
constexpr base::time_us kProbePeriodUs = 300'000;
// The timeout doubles with each attempt up to this limit. Otherwise members
// that lose the same leader overload the next one with new sessions.
constexpr base::time_us kMaxProbePeriodUs = 600'000;
constexpr base::time_us kMaxSidecarProbePeriodUs = 2'400'000;
constexpr base::time_us kLeaseHeartbeatUs = 500'000;
constexpr base::time_us kSessionHeartbeatUs = 2'000'000;
// With more heartbeats in flight, the oldest were sent longer ago than a lease
// lasts if they were sent at kLeaseHeartbeatUs.
constexpr std::size_t kMaxUnacknowledged = 32;

using effects = std::vector<session_effect>;

/** Lengthens the period by up to half, depending on the member's name. */
base::time_us AddJitter(base::time_us period, std::string_view name) {
  constexpr std::size_t kParts = 64;
  const auto part =
      static_cast<base::time_us>(std::hash<std::string_view>{}(name) % kParts);
  return period + period / 2 * part / static_cast<base::time_us>(kParts);
}

base::time_us ProbePeriodUs(session_state& state) {
  constexpr unsigned kMaxDoublings = 3;
  const base::time_us max_period =
      state.info.role == wire::member_role::kSidecar ? kMaxSidecarProbePeriodUs
                                                     : kMaxProbePeriodUs;
  const unsigned doublings = std::min(state.probe_count++, kMaxDoublings);
  return AddJitter(std::min(kProbePeriodUs << doublings, max_period),
                   state.info.name);
}

void SendHeartbeat(session_state& state, base::time_us now, effects& out) {
  const std::uint64_t sequence = state.next_sequence++;
  state.heartbeat_sent_us[sequence] = now;
  if (state.heartbeat_sent_us.size() > kMaxUnacknowledged) {
    state.heartbeat_sent_us.erase(state.heartbeat_sent_us.begin());
  }
  state.next_heartbeat_us = now + HeartbeatPeriodUs(state.info.role);
  out.push_back(send_control{
      state.session_link,
      wire::session_heartbeat{sequence, state.revision, state.ready}});
}

void SendHello(session_state& state, effects& out) {
  const bool resend = state.incomplete_links.erase(state.session_link) > 0;
  out.push_back(
      send_control{state.session_link,
                   wire::session_hello{state.info, state.revision, resend}});
}

void OpenSession(session_state& state,
                 net::link_id link,
                 base::time_us now,
                 effects& out) {
  state.session_link = link;
  state.confirmed = false;
  // Heartbeats sent to another replica must not extend a lease from this one.
  state.heartbeat_sent_us.clear();
  state.next_probe_us = now + ProbePeriodUs(state);
  if (link != 0) {
    SendHello(state, out);
    SendHeartbeat(state, now, out);
  }
}

net::link_id NextCandidate(const session_state& state) {
  const auto usable = [&](const auto& entry) {
    return !state.non_leader_links.contains(entry.first);
  };
  // Starts after the current link to try all replicas in turn.
  auto it = std::find_if(state.controls.upper_bound(state.session_link),
                         state.controls.end(), usable);
  if (it == state.controls.end()) {
    it = std::find_if(state.controls.begin(), state.controls.end(), usable);
  }
  return it == state.controls.end() ? 0 : it->first;
}

void TryNextReplica(session_state& state, base::time_us now, effects& out) {
  net::link_id next = NextCandidate(state);
  if (next == 0) {
    state.non_leader_links.clear();
    // All replicas were tried: waits for the next probe instead of looping.
    state.session_link = 0;
    state.confirmed = false;
    state.next_probe_us = now + ProbePeriodUs(state);
    return;
  }
  OpenSession(state, next, now, out);
}

void HandleNotLeader(session_state& state,
                     net::link_id link,
                     const wire::not_leader& message,
                     base::time_us now,
                     effects& out) {
  const auto named = std::find_if(state.controls.begin(), state.controls.end(),
                                  [&](const auto& entry) {
                                    return !message.leader_name.empty() &&
                                           entry.second == message.leader_name;
                                  });
  const net::link_id leader = named == state.controls.end() ? 0 : named->first;
  const bool from_session_link = link == state.session_link;
  if (!from_session_link &&
      (state.confirmed || leader == 0 || leader == state.session_link)) {
    return;
  }
  if (from_session_link && leader != link) {
    state.non_leader_links.insert(link);
  } else {
    // The leader may have refused before it won the election.
    state.non_leader_links.erase(leader);
  }
  if (leader != 0 && !state.non_leader_links.contains(leader)) {
    OpenSession(state, leader, now, out);
  } else {
    TryNextReplica(state, now, out);
  }
}

void HandleAck(session_state& state,
               const wire::session_ack& ack,
               effects& out) {
  const auto sent = state.heartbeat_sent_us.find(ack.sequence);
  if (sent == state.heartbeat_sent_us.end()) {
    return;
  }
  const base::time_us until = sent->second + ack.lease_ms * 1'000;
  state.heartbeat_sent_us.erase(state.heartbeat_sent_us.begin(),
                                std::next(sent));
  state.non_leader_links.clear();
  state.probe_count = 0;
  if (!state.confirmed) {
    state.confirmed = true;
    out.push_back(session_opened{});
  }
  state.fencing = std::max(state.fencing, ack.fencing);
  // A member that lacks an accepted revision must not accept new work. It gets
  // the update soon, and a later acknowledgement extends the lease.
  if (state.revision < ack.revision || state.stopping) {
    return;
  }
  state.lease_until_us = std::max(state.lease_until_us, until);
  out.push_back(lease_extended{state.lease_until_us, state.fencing});
}

struct event_handler {
  session_state& state;
  base::time_us now;
  effects& out;

  void operator()(const control_up& event) {
    state.controls[event.link] = event.name;
    state.non_leader_links.erase(event.link);
    if (state.session_link == 0) {
      OpenSession(state, event.link, now, out);
    }
  }

  void operator()(const control_down& event) {
    state.controls.erase(event.link);
    state.incomplete_links.erase(event.link);
    state.non_leader_links.erase(event.link);
    if (state.session_link == event.link) {
      TryNextReplica(state, now, out);
    }
  }

  void operator()(const control_received& event) {
    if (const auto* refusal = std::get_if<wire::not_leader>(&event.message)) {
      HandleNotLeader(state, event.link, *refusal, now, out);
      return;
    }
    if (event.link != state.session_link) {
      if (!std::holds_alternative<wire::session_ack>(event.message) &&
          state.controls.contains(event.link)) {
        state.incomplete_links.insert(event.link);
      }
      return;
    }
    if (const auto* ack = std::get_if<wire::session_ack>(&event.message)) {
      HandleAck(state, *ack, out);
      return;
    }
    out.push_back(deliver_to_member{event.message});
  }

  void operator()(const member_changed& event) {
    const bool info_changed = state.info != event.info;
    const bool changed = info_changed || state.revision != event.revision ||
                         state.ready != event.ready;
    state.info = event.info;
    state.revision = event.revision;
    state.ready = event.ready;
    if (state.session_link == 0 || !changed) {
      return;
    }
    if (info_changed) {
      SendHello(state, out);
    }
    // Sent at once, because the status and the lease would otherwise follow a
    // new revision only after the next period.
    SendHeartbeat(state, now, out);
  }

  void operator()(const send_to_leader& event) {
    if (state.session_link == 0) {
      out.push_back(leader_unknown{event.message});
    } else {
      out.push_back(send_control{state.session_link, event.message});
    }
  }

  void operator()(const session_stop&) {
    state.stopping = true;
    state.lease_until_us = 0;
    out.push_back(lease_extended{0, state.fencing});
    if (state.session_link != 0) {
      out.push_back(send_control{state.session_link, wire::session_goodbye{}});
    }
  }

  void operator()(const session_tick&) {
    if (state.stopping) {
      return;
    }
    if (!state.confirmed && now >= state.next_probe_us) {
      TryNextReplica(state, now, out);
    } else if (state.session_link != 0 && now >= state.next_heartbeat_us) {
      SendHeartbeat(state, now, out);
    }
  }
};

}  // namespace

base::time_us HeartbeatPeriodUs(wire::member_role role) {
  return role == wire::member_role::kSidecar ? kSessionHeartbeatUs
                                             : kLeaseHeartbeatUs;
}

std::vector<session_effect> Step(session_state& state,
                                 const session_event& event,
                                 base::time_us now_us) {
  effects out;
  std::visit(event_handler{state, now_us, out}, event);
  return out;
}

}  // namespace wisteriaroute::member
