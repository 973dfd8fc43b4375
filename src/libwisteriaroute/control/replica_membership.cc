#include "libwisteriaroute/control/replica_membership.h"

#include <algorithm>
#include <utility>

namespace wisteriaroute::control {

namespace {

// Longer than an election and a restart, so that a restarting voter isn't
// removed from the replica set.
constexpr base::time_ms kRemovalSilenceMs = 4'000;
// A standby takes the place of a silent voter, so the set isn't weaker if that
// one returns. Shorter than a replaced host takes to stop counting as lost.
constexpr base::time_ms kReplacementSilenceMs = 1'500;
// The same for a voter that a new leader hasn't heard at all: the time before
// the election, which it was silent for as well, isn't known.
constexpr base::time_ms kNeverHeardMs = 750;
// A live voter answers every heartbeat, sent each 100 ms.
constexpr base::time_ms kMaxLiveSilenceMs = 1'000;

// A standby becomes a further voter only after this time. A host that was lost
// as it came is then known to be silent, and the standby takes its place.
constexpr base::time_ms kFurtherVoterMs = 2'500;

// Ticks that are later than this many periods show a pause.
constexpr base::time_us kLatePeriods = 2;

bool IsLive(const replica_view& one, std::string_view self) {
  return one.name == self ||
         (one.answered && one.silent_ms <= kMaxLiveSilenceMs);
}

raft::change_replicas SetVoters(std::vector<std::string> voters,
                                std::string casting_voter) {
  return {.change = raft::replica_change::kSetVoters,
          .voters = std::move(voters),
          .casting_voter = std::move(casting_voter)};
}

/** The replica set, by what its members may contribute. */
struct member_groups {
  std::vector<std::string> staying;
  /** Voters that are leaving, then those that are silent. */
  std::vector<std::string> going;
  std::vector<std::string> standbys;
  /** Of the standbys, those that may become further voters. */
  std::size_t settled_standbys = 0;
  std::size_t leaving = 0;
  /** Of those that stay. */
  std::size_t live_staying = 0;
  bool all_voters_live = true;
};

member_groups GroupMembers(std::span<const replica_view> replicas,
                           std::string_view self) {
  member_groups groups;
  for (const replica_view& one : replicas) {
    const bool live = IsLive(one, self);
    if (!one.voter) {
      if (live && one.caught_up && !one.leaving) {
        groups.standbys.push_back(one.name);
        groups.settled_standbys += one.known_ms >= kFurtherVoterMs ? 1 : 0;
      }
      continue;
    }
    groups.all_voters_live = groups.all_voters_live && live;
    const bool silent =
        one.name != self &&
        one.silent_ms > (one.answered ? kReplacementSilenceMs : kNeverHeardMs);
    if (one.leaving) {
      groups.going.insert(
          groups.going.begin() + static_cast<long>(groups.leaving++), one.name);
    } else if (silent) {
      groups.going.push_back(one.name);
    } else {
      groups.staying.push_back(one.name);
      groups.live_staying += live ? 1 : 0;
    }
  }
  return groups;
}

/** Moves the first `count` elements of `from` to the end of `to`. */
void MoveFirst(std::vector<std::string>& from,
               std::size_t count,
               std::vector<std::string>& to) {
  const auto end = from.begin() + static_cast<long>(count);
  to.insert(to.end(), std::make_move_iterator(from.begin()),
            std::make_move_iterator(end));
  from.erase(from.begin(), end);
}

/**
 * Standbys take the votes of voters that are going. Votes that none takes are
 * dropped if `target_voters` live voters stay.
 */
void ReplaceGoing(member_groups& groups, std::size_t target_voters) {
  const std::size_t taken =
      std::min(groups.going.size(), groups.standbys.size());
  const bool may_drop = groups.live_staying + taken >= target_voters;
  groups.going.erase(groups.going.begin(),
                     may_drop
                         ? groups.going.end()
                         : groups.going.begin() + static_cast<long>(taken));
  MoveFirst(groups.standbys, taken, groups.staying);
  MoveFirst(groups.going, groups.going.size(), groups.staying);
}

/**
 * An even number of voters bears no more losses than the odd one below it. The
 * exception is one successor beside `target_voters`: a predecessor that goes
 * without notice must not leave too few that hold the log. See
 * docs/design/control-membership.md.
 */
std::size_t UsefulVoters(std::size_t available, std::size_t target_voters) {
  return available <= target_voters + 1 ? available : (available - 1) | 1U;
}

/** While all voters are live, standbys become further voters. */
void AddStandbys(member_groups& groups, std::size_t target_voters) {
  if (groups.standbys.empty() || !groups.all_voters_live ||
      groups.settled_standbys < groups.standbys.size()) {
    return;
  }
  const std::size_t wanted = UsefulVoters(
      groups.staying.size() + groups.standbys.size(), target_voters);
  MoveFirst(groups.standbys,
            std::max(wanted, groups.staying.size()) - groups.staying.size(),
            groups.staying);
}

/** Drops the vote of the last voter that isn't `self` if it has no use. */
void DropUselessVote(std::vector<std::string>& voters,
                     std::string_view self,
                     std::size_t target_voters) {
  if (UsefulVoters(voters.size(), target_voters) < voters.size()) {
    voters.erase(voters.back() == self ? voters.end() - 2 : voters.end() - 1);
  }
}

/**
 * The voter that has two votes; empty: none. Of `target_voters` and one
 * successor, no rule without a second vote lets those decide that remain if a
 * predecessor and one more are lost at the same time. It is the member that
 * joined last, as that is the one whose removal is least likely.
 */
std::string CastingVoter(std::span<const replica_view> replicas,
                         const std::vector<std::string>& voters,
                         std::size_t target_voters) {
  if (voters.size() != target_voters + 1 || voters.size() % 2 != 0) {
    return {};
  }
  std::string last;
  for (const replica_view& one : replicas) {
    if (std::ranges::find(voters, one.name) != voters.end()) {
      last = one.name;
    }
  }
  return last;
}

std::optional<raft::change_replicas> NextVoters(
    std::span<const replica_view> replicas,
    std::string_view self,
    std::size_t target_voters) {
  member_groups groups = GroupMembers(replicas, self);
  std::vector<std::string> before = groups.staying;
  before.insert(before.end(), groups.going.begin(), groups.going.end());

  ReplaceGoing(groups, target_voters);
  AddStandbys(groups, target_voters);
  std::vector<std::string>& voters = groups.staying;
  if (voters != before || groups.all_voters_live) {
    DropUselessVote(voters, self, target_voters);
  }
  const std::string casting = CastingVoter(replicas, voters, target_voters);
  const bool same_casting =
      std::ranges::all_of(replicas, [&](const replica_view& one) {
        return (one.voter && one.casting_vote) == (one.name == casting);
      });
  if (voters == before && (same_casting || !groups.all_voters_live)) {
    return std::nullopt;
  }
  return SetVoters(std::move(voters), casting);
}

}  // namespace

void silence_clock::Tick(base::time_us now_us, base::time_us period_us) {
  if (now_us - last_tick_us_ > kLatePeriods * period_us) {
    running_since_us_ = now_us;
  }
  last_tick_us_ = now_us;
}

base::time_ms silence_clock::SilentMs(base::time_us last_reply_us,
                                      base::time_us now_us) const {
  return (now_us - std::max(last_reply_us, running_since_us_)) / 1'000;
}

std::vector<replica_view> ViewReplicas(const raft::raft_state& raft,
                                       const silence_clock& silence,
                                       base::time_us now_us) {
  const bool is_leader = raft.current_role == raft::role::kLeader;
  std::vector<replica_view> views;
  for (const wire::replica& replica : raft::Replicas(raft)) {
    replica_view view{.name = replica.name,
                      .address = replica.address,
                      .identity = replica.identity,
                      .voter = replica.voter,
                      .casting_vote = replica.casting_vote,
                      .leader = replica.name == raft.leader_name};
    if (replica.name == raft.self) {
      view.leader = is_leader;
      view.match_index = raft.synced_index;
      view.caught_up = is_leader;
    } else if (is_leader) {
      const auto peer = raft.leader.peers.find(replica.name);
      if (peer != raft.leader.peers.end()) {
        view.match_index = peer->second.match_index;
        view.silent_ms = silence.SilentMs(peer->second.last_reply_us, now_us);
        view.caught_up = raft::HasCaughtUp(raft, peer->second);
        view.answered = peer->second.identity != 0;
        view.known_ms = peer->second.first_reply_us == 0
                            ? 0
                            : (now_us - peer->second.first_reply_us) / 1'000;
        view.leaving = peer->second.leaving;
      }
    }
    views.push_back(std::move(view));
  }
  return views;
}

std::optional<raft::change_replicas> NextReplicaChange(
    std::span<const replica_view> replicas,
    std::span<const replica_address> connected,
    std::string_view self,
    std::size_t target_voters) {
  for (const replica_address& one : connected) {
    const bool known = std::ranges::any_of(
        replicas, [&](const replica_view& r) { return r.name == one.name; });
    if (!known && !one.address.empty()) {
      return raft::change_replicas{.change = raft::replica_change::kAddLearner,
                                   .name = one.name,
                                   .address = one.address};
    }
  }
  if (auto change = NextVoters(replicas, self, target_voters)) {
    return change;
  }
  const auto live = std::ranges::count_if(
      replicas,
      [&](const replica_view& one) { return one.voter && IsLive(one, self); });
  if (static_cast<std::size_t>(live) < target_voters) {
    return std::nullopt;
  }
  for (const replica_view& one : replicas) {
    if (one.name != self && one.silent_ms > kRemovalSilenceMs) {
      return raft::change_replicas{.change = raft::replica_change::kRemove,
                                   .name = one.name};
    }
  }
  return std::nullopt;
}

bool AwaitsReplacement(const raft::raft_state& raft,
                       std::size_t target_voters) {
  const wire::replica_list& replicas = raft::Replicas(raft);
  return !raft::HasGivenUpVote(raft) && replicas.size() > target_voters;
}

}  // namespace wisteriaroute::control
