#include "libwisteriaroute/control/coordinators.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/control/proposals.h"
#include "libwisteriaroute/control/sessions.h"

namespace wisteriaroute::control {

namespace {

// Sidecars report their presence every 5 s, so this allows for one lost report.
constexpr base::time_us kPresenceTimeoutUs = 12'000'000;
// A member that is disconnected for less than this may only be reconnecting.
constexpr base::time_us kReconnectGraceUs = 1'000'000;
// Time after an election in which all sidecars find the new leader. A sidecar
// whose leader has stalled misses three heartbeats of 2 s before it looks for
// another one. Until then a coordinator that has never connected to this leader
// doesn't count as lost for that reason. Reports of ranks that can't reach
// their coordinator count immediately.
constexpr base::time_us kSidecarReconnectUs = 10'000'000;
// Time that the ranks of a group need to connect to a new coordinator.
constexpr base::time_us kMinGrantIntervalUs = 2'500'000;
// Time in which a proposed grant is committed. A restart of the coordinator's
// process is certain, so the next grant waits only for this time.
constexpr base::time_us kGrantCommitUs = 300'000;

const engine_shapes& Shapes(replica_state& state) {
  leader_state& leader = *state.leadership;
  if (!leader.shapes) {
    leader.shapes = ReadShapes(state.options.decode_traffic,
                               DocumentBody(state.durable.config));
  }
  return *leader.shapes;
}

wire::coordinator_grant Grant(replica_state& state, const std::string& group) {
  const granted_coordinator& granted = state.durable.coordinators[group];
  wire::coordinator_grant grant{.group = group,
                                .term = granted.term,
                                .name = granted.name,
                                .address = granted.address,
                                .incarnation = granted.incarnation};
  const engine_shapes& shapes = Shapes(state);
  const auto shape =
      shapes.find(state.leadership->platform_groups[group].service);
  if (shape != shapes.end()) {
    grant.shape = SpreadShape(shape->second);
  }
  return grant;
}

/**
 * Whether the coordinator's process was restarted since the grant. Orders of
 * the earlier incarnation may still be carried out; only a new term
 * distinguishes them from those of the current one.
 */
bool IsRestarted(const platform_group& group,
                 const granted_coordinator& granted) {
  return std::ranges::any_of(group.ranks, [&](const auto& item) {
    const platform_rank& one = item.second;
    return one.member == granted.name && one.incarnation != granted.incarnation;
  });
}

/**
 * Whether the coordinator is disconnected, or more than half of the connected
 * ranks that know the grant can't reach it.
 */
bool IsLost(const platform_group& group,
            const granted_coordinator& granted,
            base::time_us elected_us,
            base::time_us now_us) {
  std::size_t unreachable = 0;
  std::size_t present = 0;
  bool coordinator_linked = false;
  base::time_us disconnected_since_us = elected_us + kSidecarReconnectUs;
  for (const auto& [rank, one] : group.ranks) {
    if (one.member == granted.name) {
      coordinator_linked = one.link != 0;
      // It was connected to this leader before.
      disconnected_since_us = one.link_changed_us;
    }
    if (one.link != 0 && one.last_presence.term == granted.term) {
      ++present;
      unreachable += one.last_presence.coordinator_linked ? 0 : 1;
    }
  }
  const bool disconnected =
      !coordinator_linked && now_us - disconnected_since_us > kReconnectGraceUs;
  return disconnected || 2 * unreachable > present;
}

/**
 * The next connected rank after the coordinator's, cyclically; null if there is
 * none.
 */
const platform_rank* NextCoordinator(const platform_group& group,
                                     const granted_coordinator& granted) {
  std::uint32_t next_rank = 0;
  for (const auto& [rank, one] : group.ranks) {
    if (one.member == granted.name) {
      next_rank = rank + 1;
    }
  }
  const platform_rank* first = nullptr;
  for (const auto& [rank, one] : group.ranks) {
    if (one.link == 0 || one.member == granted.name) {
      continue;
    }
    if (rank >= next_rank) {
      return &one;
    }
    if (first == nullptr) {
      first = &one;
    }
  }
  return first;
}

}  // namespace

void HandlePresence(replica_state& state,
                    net::link_id link,
                    const wire::rank_presence& presence,
                    const step_time& now,
                    replica_effects& out) {
  const member_session* session = FindSession(state, link);
  if (session == nullptr || presence.group.empty() ||
      presence.rank >= presence.ranks) {
    return;
  }
  platform_group& group = state.leadership->platform_groups[presence.group];
  group.service = presence.service;
  group.rank_count = presence.ranks;
  platform_rank& one = group.ranks[presence.rank];
  if (one.link != link) {
    one.link_changed_us = now.now_us;
  }
  one.member = session->info.name;
  one.address = session->info.address;
  one.incarnation = session->info.incarnation;
  one.link = link;
  one.last_presence = presence;
  one.last_message_us = now.now_us;
  const auto granted = state.durable.coordinators.find(presence.group);
  if (granted != state.durable.coordinators.end() &&
      granted->second.term > presence.term) {
    out.push_back(send_to_links{{link}, Grant(state, presence.group)});
  }
}

void DetachRanks(leader_state& leader,
                 net::link_id link,
                 const step_time& now) {
  for (auto& [name, group] : leader.platform_groups) {
    for (auto& [rank, one] : group.ranks) {
      if (one.link == link) {
        one.link = 0;
        one.link_changed_us = now.now_us;
      }
    }
  }
}

void GrantCoordinators(replica_state& state,
                       const step_time& now,
                       replica_effects& out) {
  leader_state& leader = *state.leadership;
  const bool reconnect_time_elapsed =
      now.now_us >= leader.elected_us + kLeaseBoundUs;
  std::erase_if(leader.platform_groups, [&](const auto& item) {
    return std::ranges::all_of(item.second.ranks, [&](const auto& rank) {
      return now.now_us - rank.second.last_message_us > kPresenceTimeoutUs;
    });
  });
  for (auto& [name, group] : leader.platform_groups) {
    const bool complete = group.ranks.size() == group.rank_count;
    const auto found = state.durable.coordinators.find(name);
    const granted_coordinator granted =
        found == state.durable.coordinators.end() ? granted_coordinator()
                                                  : found->second;
    const bool restarted = IsRestarted(group, granted);
    // Ranks that can't reach a coordinator may only need more time to connect;
    // a coordinator that was restarted is certainly lost.
    const base::time_us interval_us =
        restarted ? kGrantCommitUs : kMinGrantIntervalUs;
    if (group.last_grant_us != 0 &&
        now.now_us < group.last_grant_us + interval_us) {
      continue;
    }
    const bool lost = granted.term == 0 ||
                      IsLost(group, granted, leader.elected_us, now.now_us);
    // Shortly after an election the ranks of an incomplete group may still be
    // reconnecting, so its coordinator is replaced only if it was restarted.
    if (!restarted && (!lost || (!complete && !reconnect_time_elapsed))) {
      continue;
    }
    const platform_rank* next = NextCoordinator(group, granted);
    if (next == nullptr) {
      continue;
    }
    group.last_grant_us = now.now_us;
    Propose(state,
            grant_command{.group = name,
                          .name = next->member,
                          .address = next->address,
                          .incarnation = next->incarnation,
                          .replaces = granted.term},
            std::monostate{}, now, out);
  }
}

void SendGrant(replica_state& state,
               const std::string& group,
               replica_effects& out) {
  std::vector<net::link_id> links;
  for (const auto& [rank, one] :
       state.leadership->platform_groups[group].ranks) {
    if (one.link != 0) {
      links.push_back(one.link);
    }
  }
  if (!links.empty()) {
    out.push_back(send_to_links{std::move(links), Grant(state, group)});
  }
}

void SendChangedShapes(replica_state& state, replica_effects& out) {
  leader_state& leader = *state.leadership;
  const engine_shapes before =
      std::exchange(leader.shapes, std::nullopt).value_or(engine_shapes());
  if (leader.platform_groups.empty() || before == Shapes(state)) {
    return;
  }
  for (const auto& [name, group] : leader.platform_groups) {
    if (state.durable.coordinators.contains(name)) {
      SendGrant(state, name, out);
    }
  }
}

wire::placement_shape SpreadShape(const config::engine_shape& engine) {
  return {.sets = static_cast<std::uint32_t>(engine.expert_sets),
          .experts = static_cast<std::uint32_t>(engine.experts),
          .slots = static_cast<std::uint32_t>(engine.expert_slots),
          .spare_slots = static_cast<std::uint32_t>(engine.spare_slots),
          .copy_us = static_cast<std::uint64_t>(engine.expert_copy_ms * 1e3)};
}

engine_shapes ReadShapes(const traffic_decoder& decode,
                         std::string_view document) {
  engine_shapes shapes;
  base::findings ignored;
  const auto set =
      decode ? decode(document, ignored) : std::optional<config::traffic_set>();
  if (!set) {
    return shapes;
  }
  for (const config::traffic_service& one : set->services) {
    if (one.engine && one.engine->expert_sets > 0) {
      shapes[one.name] = *one.engine;
    }
  }
  return shapes;
}

}  // namespace wisteriaroute::control
