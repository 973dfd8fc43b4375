#include "libwisteriaroute/control/updates.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/control/sessions.h"
#include "libwisteriaroute/policy/cold_share.h"

namespace wisteriaroute::control {

namespace {

using wire::member_role;

// Bounds the traffic while many entries start: the list of 410 entries has
// 3.3 KB, and goes to each of them.
constexpr base::time_us kEntriesIntervalUs = 250'000;

std::vector<std::string> DrainedServers(const replica_state& state) {
  return {state.durable.drained.begin(), state.durable.drained.end()};
}

/** What entries are told of a member at this time. */
wire::member_info Announcement(const member_session& session,
                               const step_time& now) {
  wire::member_info info = session.info;
  if (session.cold_until_us) {
    // Rounded up: one ms less would end the time too early.
    info.cold_left_ms =
        (std::max<base::time_us>(0, *session.cold_until_us - now.now_us) +
         999) /
        1'000;
  }
  return info;
}

std::vector<wire::member_info> ListedMembers(const leader_state& leader,
                                             const step_time& now) {
  std::vector<wire::member_info> members;
  for (const auto& [name, session] : leader.sessions) {
    if (IsListed(session.info.role)) {
      members.push_back(Announcement(session, now));
    }
  }
  return members;
}

std::vector<std::uint64_t> EntryIds(const leader_state& leader) {
  std::vector<std::uint64_t> ids;
  for (const auto& [name, session] : leader.sessions) {
    if (session.info.role == member_role::kEntry) {
      ids.push_back(policy::EntryId(name));
    }
  }
  return ids;
}

// A list that lacks entries would let the others send too much to cold servers,
// so none is sent before the entries of an earlier leader have had time to
// reconnect.
wire::member_update AllMembers(const replica_state& state,
                               bool full,
                               const step_time& now) {
  const leader_state& leader = *state.leadership;
  return {.full = full,
          .changed = ListedMembers(leader, now),
          .drained = DrainedServers(state),
          .evacuations = EvacuationList(state.durable.evacuations, now.wall_ms),
          .entry_ids = full ? EntryIds(leader) : std::vector<std::uint64_t>()};
}

/** Whether the list of entries is due; if so, it counts as sent. */
bool TakeEntriesDue(leader_state& leader, const step_time& now) {
  if (!leader.entries_changed || !leader.full_list_sent ||
      now.now_us < leader.next_entries_us) {
    return false;
  }
  leader.entries_changed = false;
  leader.next_entries_us = now.now_us + kEntriesIntervalUs;
  return true;
}

/** Whether the members of an earlier leader have had time to reconnect. */
bool ReconnectTimeElapsed(const leader_state& leader, const step_time& now) {
  return now.now_us >= leader.elected_us + kLeaseBoundUs;
}

void Send(std::vector<net::link_id> links,
          wire::control_message message,
          replica_effects& out) {
  if (!links.empty()) {
    out.push_back(send_to_links{std::move(links), std::move(message)});
  }
}

}  // namespace

std::vector<net::link_id> LinksOf(const leader_state& leader,
                                  member_role role) {
  std::vector<net::link_id> links;
  for (const auto& [name, session] : leader.sessions) {
    if (session.link != 0 && session.info.role == role) {
      links.push_back(session.link);
    }
  }
  return links;
}

void SendConfig(replica_state& state,
                member_session& session,
                const step_time& now,
                replica_effects& out) {
  const std::uint64_t revision = state.durable.config.revision;
  if (session.link == 0 || session.sent_revision >= revision) {
    return;
  }
  Send({session.link}, UpdateSince(state.durable.config, session.sent_revision),
       out);
  session.sent_revision = revision;
  session.config_sent_us = now.now_us;
}

void SendConfigToAll(replica_state& state,
                     const step_time& now,
                     replica_effects& out) {
  const std::uint64_t revision = state.durable.config.revision;
  std::map<std::uint64_t, std::vector<net::link_id>> by_base;
  for (auto& [name, session] : state.leadership->sessions) {
    if (session.link != 0 && FollowsConfig(session.info.role) &&
        session.sent_revision < revision) {
      by_base[session.sent_revision].push_back(session.link);
      session.sent_revision = revision;
      session.config_sent_us = now.now_us;
    }
  }
  for (auto& [base, links] : by_base) {
    Send(std::move(links), UpdateSince(state.durable.config, base), out);
  }
}

void SendInitialLists(const replica_state& state,
                      const member_session& session,
                      const step_time& now,
                      replica_effects& out) {
  if (session.info.role == member_role::kAgent) {
    Send({session.link}, wire::member_update{.drained = DrainedServers(state)},
         out);
    return;
  }
  // Shortly after an election most agents have no session yet. A full list
  // would make the entry remove them.
  Send({session.link},
       AllMembers(state, ReconnectTimeElapsed(*state.leadership, now), now),
       out);
  wire::quarantine_update update{.full = true};
  for (const auto& [fingerprint, entry] : state.durable.quarantine.entries) {
    update.changed.push_back(entry);
  }
  Send({session.link}, std::move(update), out);
}

void FlushMembers(replica_state& state,
                  const step_time& now,
                  replica_effects& out) {
  leader_state& leader = *state.leadership;
  if (!leader.full_list_sent && ReconnectTimeElapsed(leader, now)) {
    leader.full_list_sent = true;
    leader.changed_members.clear();
    leader.removed_members.clear();
    leader.entries_changed = false;
    Send(LinksOf(leader, member_role::kEntry), AllMembers(state, true, now),
         out);
    return;
  }
  const bool entries_due = TakeEntriesDue(leader, now);
  if (std::exchange(leader.drained_changed, false)) {
    Send(LinksOf(leader, member_role::kAgent),
         wire::member_update{.drained = DrainedServers(state)}, out);
  } else if (leader.changed_members.empty() && leader.removed_members.empty() &&
             !entries_due) {
    return;
  }
  wire::member_update update{
      .drained = DrainedServers(state),
      .evacuations = EvacuationList(state.durable.evacuations, now.wall_ms)};
  if (entries_due) {
    update.entry_ids = EntryIds(leader);
  }
  for (const std::string& name : std::exchange(leader.changed_members, {})) {
    update.changed.push_back(Announcement(leader.sessions[name], now));
  }
  const auto removed = std::exchange(leader.removed_members, {});
  update.removed.assign(removed.begin(), removed.end());
  Send(LinksOf(leader, member_role::kEntry), std::move(update), out);
}

void SendEvacuations(const replica_state& state,
                     const step_time& now,
                     replica_effects& out) {
  Send(LinksOf(*state.leadership, member_role::kEntry),
       wire::member_update{.drained = DrainedServers(state),
                           .evacuations = EvacuationList(
                               state.durable.evacuations, now.wall_ms)},
       out);
}

void SendQuarantine(replica_state& state,
                    const quarantine_changes& changes,
                    replica_effects& out) {
  if (changes.empty()) {
    return;
  }
  wire::quarantine_update update;
  for (const base::digest128& fingerprint : changes) {
    const auto found = state.durable.quarantine.entries.find(fingerprint);
    if (found == state.durable.quarantine.entries.end()) {
      update.removed.push_back(fingerprint);
      continue;
    }
    update.changed.push_back(found->second);
    if (found->second.state == wire::quarantine_state::kQuarantined) {
      out.push_back(record_event{
          {.kind = "quarantined", .detail = base::ToString(fingerprint)}});
    }
  }
  Send(LinksOf(*state.leadership, member_role::kEntry), std::move(update), out);
}

}  // namespace wisteriaroute::control
