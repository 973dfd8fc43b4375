#include "libwisteriaroute/control/coordinators.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/control/proposals.h"
#include "libwisteriaroute/control/sessions.h"

namespace wisteriaroute::control {

namespace {

// Sidecars tell that they are there every 5 s.
constexpr base::time_us kPresentUs = 12'000'000;
// A member that is away for less than this may only be reconnecting.
constexpr base::time_us kAwayUs = 1'000'000;
// All sidecars have found a new leader by then; it can't tell before who of
// those that it never heard of is away. One whose leader stands still misses
// three heartbeats of 2 s before it looks for another. What ranks say of a
// coordinator that they can't reach counts at once.
constexpr base::time_us kReturnUs = 10'000'000;
// The ranks of a group need this long to link to a new coordinator.
constexpr base::time_us kGrantPeriodUs = 2'500'000;
// A grant is committed by then; what it is about is known before.
constexpr base::time_us kProposalUs = 300'000;

const engine_shapes& Shapes(replica_state& state) {
  leader_view& leader = *state.leading;
  if (!leader.shapes) {
    leader.shapes = ReadShapes(state.options.decode_traffic,
                               DocumentBody(state.durable.config));
  }
  return *leader.shapes;
}

wire::coordinator_grant Grant(replica_state& state, const std::string& group) {
  const granted_coordinator& held = state.durable.coordinators[group];
  wire::coordinator_grant grant{.group = group,
                                .term = held.term,
                                .name = held.name,
                                .address = held.address,
                                .incarnation = held.incarnation};
  const engine_shapes& shapes = Shapes(state);
  const auto shape = shapes.find(state.leading->platform_groups[group].service);
  if (shape != shapes.end()) {
    grant.shape = SpreadShape(shape->second);
  }
  return grant;
}

/**
 * Whether the holder's process is another run. Orders of the run before may
 * still be carried out; only another term tells them from those of this run.
 */
bool IsAnotherRun(const present_group& group, const granted_coordinator& held) {
  return std::ranges::any_of(group.ranks, [&](const auto& item) {
    const present_rank& one = item.second;
    return one.member == held.name && one.incarnation != held.incarnation;
  });
}

/** Whether the holder is gone, or most ranks can't reach it. */
bool IsLost(const present_group& group,
            const granted_coordinator& held,
            base::time_us elected_us,
            base::time_us now_us) {
  std::size_t unserved = 0;
  std::size_t present = 0;
  bool holder_linked = false;
  base::time_us away_since_us = elected_us + kReturnUs;
  for (const auto& [rank, one] : group.ranks) {
    if (one.member == held.name) {
      holder_linked = one.link != 0;
      // It had found this leader.
      away_since_us = one.link_changed_us;
    }
    if (one.link != 0 && one.said.term == held.term) {
      ++present;
      unserved += one.said.coordinator_linked ? 0 : 1;
    }
  }
  const bool away = !holder_linked && now_us - away_since_us > kAwayUs;
  return away || 2 * unserved > present;
}

/** The next rank behind the holder's that is linked; null if there is none. */
const present_rank* NextHolder(const present_group& group,
                               const granted_coordinator& held) {
  std::uint32_t behind = 0;
  for (const auto& [rank, one] : group.ranks) {
    if (one.member == held.name) {
      behind = rank + 1;
    }
  }
  const present_rank* first = nullptr;
  for (const auto& [rank, one] : group.ranks) {
    if (one.link == 0 || one.member == held.name) {
      continue;
    }
    if (rank >= behind) {
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
  present_group& group = state.leading->platform_groups[presence.group];
  group.service = presence.service;
  group.size = presence.ranks;
  present_rank& one = group.ranks[presence.rank];
  if (one.link != link) {
    one.link_changed_us = now.now_us;
  }
  one.member = session->info.name;
  one.address = session->info.address;
  one.incarnation = session->info.incarnation;
  one.link = link;
  one.said = presence;
  one.heard_us = now.now_us;
  const auto held = state.durable.coordinators.find(presence.group);
  if (held != state.durable.coordinators.end() &&
      held->second.term > presence.term) {
    out.push_back(send_to_links{{link}, Grant(state, presence.group)});
  }
}

void DetachRanks(leader_view& leader, net::link_id link, const step_time& now) {
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
  leader_view& leader = *state.leading;
  const bool settled = now.now_us >= leader.elected_us + kLeaseBoundUs;
  std::erase_if(leader.platform_groups, [&](const auto& item) {
    return std::ranges::all_of(item.second.ranks, [&](const auto& rank) {
      return now.now_us - rank.second.heard_us > kPresentUs;
    });
  });
  for (auto& [name, group] : leader.platform_groups) {
    const bool whole = group.ranks.size() == group.size;
    const auto found = state.durable.coordinators.find(name);
    const granted_coordinator held = found == state.durable.coordinators.end()
                                         ? granted_coordinator()
                                         : found->second;
    const bool restarted = IsAnotherRun(group, held);
    // Ranks that don't reach a coordinator may only need time; one that is
    // another run is lost for certain.
    const base::time_us pause_us = restarted ? kProposalUs : kGrantPeriodUs;
    if (group.granted_us != 0 && now.now_us < group.granted_us + pause_us) {
      continue;
    }
    const bool lost =
        held.term == 0 || IsLost(group, held, leader.elected_us, now.now_us);
    // Just after an election only what is certain counts.
    if (!restarted && (!lost || (!whole && !settled))) {
      continue;
    }
    const present_rank* next = NextHolder(group, held);
    if (next == nullptr) {
      continue;
    }
    group.granted_us = now.now_us;
    Propose(state,
            grant_command{.group = name,
                          .name = next->member,
                          .address = next->address,
                          .incarnation = next->incarnation,
                          .replaces = held.term},
            std::monostate{}, now, out);
  }
}

void SendGrant(replica_state& state,
               const std::string& group,
               replica_effects& out) {
  std::vector<net::link_id> links;
  for (const auto& [rank, one] : state.leading->platform_groups[group].ranks) {
    if (one.link != 0) {
      links.push_back(one.link);
    }
  }
  if (!links.empty()) {
    out.push_back(send_to_links{std::move(links), Grant(state, group)});
  }
}

void SendChangedShapes(replica_state& state, replica_effects& out) {
  leader_view& leader = *state.leading;
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
