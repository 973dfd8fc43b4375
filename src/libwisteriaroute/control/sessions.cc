#include "libwisteriaroute/control/sessions.h"

#include <algorithm>

#include "libwisteriaroute/control/updates.h"

namespace wisteriaroute::control {

namespace {

// A member that still reports an old revision this long after an update was
// sent is assumed to have lost the update.
constexpr base::time_us kConfigRetryUs = 1'000'000;

/** Lowest fencing number of the orders that the member may accept. */
wire::fencing_number FencingFor(const replica_state& state,
                                const wire::member_info& info) {
  wire::fencing_number number{.term = state.leadership->term};
  const auto group = state.durable.groups.groups.find(info.backend.group);
  if (group != state.durable.groups.groups.end()) {
    number.index = group->second.order_index;
  }
  return number;
}

void KeepOldLease(leader_state& leader,
                  const member_session& session,
                  base::time_us now_us) {
  if (session.lease_until_us > now_us) {
    leader.old_leases.push_back({session.revision, session.lease_until_us});
  }
}

void ForgetMember(leader_state& leader,
                  const std::string& name,
                  wire::member_role role) {
  leader.changed_members.erase(name);
  if (IsListed(role)) {
    leader.removed_members.insert(name);
  }
  leader.entries_changed |= role == wire::member_role::kEntry;
}

bool IsExpired(const member_session& session, base::time_us now_us) {
  if (session.info.role == wire::member_role::kServer) {
    return session.last_message_us + kServerTimeoutUs <= now_us;
  }
  if (session.info.role == wire::member_role::kSidecar) {
    return session.last_message_us + kSidecarTimeoutUs <= now_us;
  }
  return session.lease_until_us <= now_us &&
         session.last_message_us + kLeaseBoundUs <= now_us;
}

}  // namespace

bool IsListed(wire::member_role role) {
  return role == wire::member_role::kAgent ||
         role == wire::member_role::kServer;
}

bool FollowsConfig(wire::member_role role) {
  return role == wire::member_role::kEntry || role == wire::member_role::kAgent;
}

const char* RoleName(wire::member_role role) {
  switch (role) {
    case wire::member_role::kEntry:
      return "entry";
    case wire::member_role::kAgent:
      return "agent";
    case wire::member_role::kServer:
      return "server";
    case wire::member_role::kSidecar:
      return "sidecar";
  }
  return "unknown";
}

void RecordMemberEvent(const wire::member_info& info,
                       const char* kind,
                       replica_effects& out) {
  out.push_back(record_event{{.kind = kind,
                              .group = info.backend.group,
                              .server = info.name,
                              .detail = RoleName(info.role)}});
}

void HandleHello(replica_state& state,
                 net::link_id link,
                 const wire::session_hello& hello,
                 const step_time& now,
                 replica_effects& out) {
  leader_state& leader = *state.leadership;
  const std::string& name = hello.info.name;
  const auto earlier = leader.session_links.find(link);
  if (earlier != leader.session_links.end() && earlier->second != name) {
    DetachSession(state, link);
  }
  member_session& session = leader.sessions[name];
  const bool restarted = session.info.incarnation != hello.info.incarnation;
  if (restarted) {
    KeepOldLease(leader, session, now.now_us);
    leader.session_links.erase(session.link);
    session = {.revision = hello.revision};
    leader.entries_changed |= hello.info.role == wire::member_role::kEntry;
    RecordMemberEvent(hello.info, "session_opened", out);
  }
  const bool lacks_lists = session.link != link || hello.resend;
  if (lacks_lists) {
    leader.session_links.erase(session.link);
    session.link = link;
    leader.session_links[link] = name;
    session.sent_revision = hello.revision;
  }
  session.last_message_us = now.now_us;
  session.revision = std::max(session.revision, hello.revision);
  if (session.info != hello.info) {
    session.info = hello.info;
    if (hello.info.role == wire::member_role::kAgent) {
      leader.changed_members.insert(name);
      leader.removed_members.erase(name);
    }
  }
  if (lacks_lists && FollowsConfig(hello.info.role)) {
    SendConfig(state, session, now, out);
    SendInitialLists(state, session, now, out);
  }
}

void HandleHeartbeat(replica_state& state,
                     net::link_id link,
                     const wire::session_heartbeat& heartbeat,
                     const step_time& now,
                     replica_effects& out) {
  member_session* session = FindSession(state, link);
  if (session == nullptr) {
    // The hello was lost or came on an older link. not_leader makes the member
    // send it again.
    out.push_back(send_to_links{{link}, wire::not_leader{}});
    return;
  }
  session->last_message_us = now.now_us;
  session->revision = std::max(session->revision, heartbeat.revision);
  session->ready = heartbeat.ready;
  if (FollowsConfig(session->info.role) &&
      session->revision < state.durable.config.revision &&
      now.now_us - session->config_sent_us > kConfigRetryUs) {
    session->sent_revision = session->revision;
    SendConfig(state, *session, now, out);
  }
  state.leadership->next_batch.heartbeats.push_back(
      {link, heartbeat.sequence, now.now_us});
  BeginConfirm(state, now, out);
}

void HandleGoodbye(replica_state& state,
                   net::link_id link,
                   replica_effects& out) {
  leader_state& leader = *state.leadership;
  const auto found = leader.session_links.find(link);
  if (found == leader.session_links.end()) {
    return;
  }
  const std::string name = found->second;
  RecordMemberEvent(leader.sessions[name].info, "session_closed", out);
  leader.session_links.erase(found);
  ForgetMember(leader, name, leader.sessions[name].info.role);
  leader.sessions.erase(name);
}

void DetachSession(replica_state& state, net::link_id link) {
  if (member_session* session = FindSession(state, link)) {
    session->link = 0;
    state.leadership->session_links.erase(link);
  }
}

void ExpireSessions(replica_state& state,
                    const step_time& now,
                    replica_effects& out) {
  leader_state& leader = *state.leadership;
  std::erase_if(leader.old_leases, [&](const old_lease& lease) {
    return lease.until_us <= now.now_us;
  });
  std::erase_if(leader.sessions, [&](const auto& item) {
    const auto& [name, session] = item;
    if (!IsExpired(session, now.now_us)) {
      return false;
    }
    RecordMemberEvent(session.info, "session_expired", out);
    leader.session_links.erase(session.link);
    ForgetMember(leader, name, session.info.role);
    return true;
  });
}

void BeginConfirm(replica_state& state,
                  const step_time& now,
                  replica_effects& out) {
  leader_state& leader = *state.leadership;
  const bool wanted =
      !leader.next_batch.heartbeats.empty() || !leader.next_batch.reads.empty();
  if (!wanted || leader.confirm_id != 0 ||
      now.now_us < leader.next_confirm_us) {
    return;
  }
  leader.confirm_id = state.next_id++;
  leader.current_batch = std::exchange(leader.next_batch, {});
  leader.next_confirm_us = now.now_us + state.options.confirm_interval_us;
  out.push_back(confirm_leader{leader.confirm_id});
}

void AcknowledgeHeartbeats(replica_state& state,
                           const std::vector<waiting_heartbeat>& heartbeats,
                           replica_effects& out) {
  for (const waiting_heartbeat& heartbeat : heartbeats) {
    member_session* session = FindSession(state, heartbeat.link);
    if (session == nullptr) {
      continue;
    }
    session->lease_until_us =
        std::max(session->lease_until_us, heartbeat.arrived_us + kLeaseBoundUs);
    out.push_back(send_to_links{
        {heartbeat.link},
        wire::session_ack{.sequence = heartbeat.sequence,
                          .fencing = FencingFor(state, session->info),
                          .lease_ms = kLeaseMs,
                          .revision = state.durable.config.revision}});
  }
}

member_session* FindSession(replica_state& state, net::link_id link) {
  const auto found = state.leadership->session_links.find(link);
  if (found == state.leadership->session_links.end()) {
    return nullptr;
  }
  return &state.leadership->sessions.find(found->second)->second;
}

std::optional<std::uint64_t> RevisionInForce(const replica_state& state,
                                             base::time_us now_us) {
  if (!state.leadership ||
      now_us < state.leadership->elected_us + kLeaseBoundUs) {
    return std::nullopt;
  }
  std::uint64_t revision = state.durable.config.revision;
  for (const auto& [name, session] : state.leadership->sessions) {
    if (!FollowsConfig(session.info.role)) {
      continue;
    }
    revision = std::min(revision, session.revision);
  }
  for (const old_lease& lease : state.leadership->old_leases) {
    if (lease.until_us > now_us) {
      revision = std::min(revision, lease.revision);
    }
  }
  return revision;
}

}  // namespace wisteriaroute::control
