#include "libwisteriaroute/raft/state.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace wisteriaroute::raft {

namespace {

/** Maximum lag behind the commit index at which a learner is promoted. */
constexpr std::uint64_t kPromotionLagEntries = 256;

}  // namespace

std::string_view ToString(role value) {
  switch (value) {
    case role::kFollower:
      return "follower";
    case role::kPreCandidate:
      return "pre_candidate";
    case role::kCandidate:
      return "candidate";
    case role::kLeader:
      return "leader";
  }
  return "unknown";
}

stored_state MakeEmpty(std::uint64_t random_identity) {
  // 0 means an unknown identity, 1 a bootstrapped replica.
  return {.metadata = {.identity =
                           std::max(random_identity, kBootstrapIdentity + 1)}};
}

stored_state MakeBootstrapped(const wire::replica_list& initial) {
  wire::replica_list voters = initial;
  for (wire::replica& one : voters) {
    one.identity = kBootstrapIdentity;
    one.voter = true;
    one.promote_when_ready = false;
  }
  std::sort(voters.begin(), voters.end(),
            [](const wire::replica& a, const wire::replica& b) {
              return a.name < b.name;
            });
  return {.metadata = {.term = 1, .identity = kBootstrapIdentity},
          .entries = {{.term = 1,
                       .index = 1,
                       .kind = wire::entry_kind::kReplicas,
                       .payload = wire::EncodeReplicas(voters)}}};
}

raft_state MakeState(std::string self,
                     stored_state stored,
                     const raft_options& options) {
  raft_state state{.self = std::move(self),
                   .options = options,
                   .metadata = std::move(stored.metadata)};
  if (stored.latest_snapshot) {
    const snapshot& base = *stored.latest_snapshot;
    state.log.Reset(base.last_index, base.last_term, base.replicas);
    state.commit_index = base.last_index;
    state.applied_index = base.last_index;
    state.latest_snapshot = std::make_shared<const snapshot>(base);
  }
  for (wire::log_entry& entry : stored.entries) {
    if (entry.index > state.log.last_index()) {
      state.log.Append(std::move(entry));
    }
  }
  state.metadata.term = std::max(state.metadata.term, state.log.last_term());
  state.synced_index = state.log.last_index();
  state.flush_from = state.log.last_index() + 1;
  return state;
}

const wire::replica_list& Replicas(const raft_state& state) {
  return state.log.replicas();
}

const wire::replica* FindIn(const wire::replica_list& replicas,
                            std::string_view name) {
  const auto found =
      std::find_if(replicas.begin(), replicas.end(),
                   [&](const wire::replica& one) { return one.name == name; });
  return found == replicas.end() ? nullptr : &*found;
}

const wire::replica* FindReplica(const raft_state& state,
                                 std::string_view name) {
  return FindIn(state.log.replicas(), name);
}

const wire::replica_list* PreviousReplicas(const raft_state& state) {
  const std::uint64_t changed_at = state.log.replicas_index();
  if (changed_at <= state.commit_index ||
      changed_at < state.log.first_index()) {
    return nullptr;
  }
  const wire::replica_list& previous = state.log.ReplicasAt(changed_at - 1);
  // The first set has none before it.
  return previous.empty() || HaveSameVoters(previous, Replicas(state))
             ? nullptr
             : &previous;
}

bool HaveSameVoters(const wire::replica_list& a, const wire::replica_list& b) {
  const auto voters = [](const wire::replica_list& replicas) {
    std::set<std::tuple<std::string, std::uint64_t, bool>> found;
    for (const wire::replica& one : replicas) {
      if (one.voter) {
        found.emplace(one.name, one.identity, one.casting_vote);
      }
    }
    return found;
  };
  return voters(a) == voters(b);
}

bool HasCastingVote(const wire::replica_list& replicas) {
  return std::ranges::any_of(replicas, [](const wire::replica& one) {
    return one.voter && one.casting_vote;
  });
}

void ClearCastingVote(wire::replica_list& replicas) {
  for (wire::replica& one : replicas) {
    one.casting_vote = false;
  }
}

bool IsVoter(const raft_state& state) {
  const wire::replica* self = FindReplica(state, state.self);
  return self != nullptr && self->voter &&
         self->identity == state.metadata.identity;
}

bool HasCaughtUp(const raft_state& state, const peer_progress& peer) {
  return peer.identity != 0 &&
         peer.match_index >= peer.commit_index_at_first_reply &&
         peer.match_index >= state.leader.noop_index &&
         peer.match_index + kPromotionLagEntries >= state.commit_index;
}

// The commit index isn't on disk, so after a restart quorums of both sets would
// be needed, and the old one may be gone.
bool IsKnownCommitted(const raft_state& state) {
  const std::uint64_t changed_at = state.log.replicas_index();
  if (changed_at < state.log.first_index()) {
    return true;
  }
  const wire::replica_list& previous = state.log.ReplicasAt(changed_at - 1);
  return previous.empty() || HaveSameVoters(previous, Replicas(state));
}

bool HasGivenUpVote(const raft_state& state) {
  return !IsVoter(state) && state.log.replicas_index() <= state.commit_index &&
         IsKnownCommitted(state);
}

}  // namespace wisteriaroute::raft
