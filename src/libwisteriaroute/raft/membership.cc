#include "libwisteriaroute/raft/membership.h"

#include <algorithm>
#include <string>
#include <utility>

#include "libwisteriaroute/raft/peer.h"
#include "libwisteriaroute/raft/replication.h"

namespace wisteriaroute::raft {

namespace {

/** Maximum lag behind the commit index at which a learner is promoted. */
constexpr std::uint64_t kPromotionLagEntries = 256;

/**
 * Whether the leader may append a change of the replica set. The quorums before
 * and after a change of one voter are sure to overlap only if the previous
 * change and an entry of the leader's own term are committed.
 */
bool CanChangeReplicas(const raft_state& state) {
  return state.current_role == role::kLeader &&
         state.leader.noop_index <= state.commit_index &&
         state.log.replicas_index() <= state.commit_index &&
         state.leader.transfer_to.empty();
}

bool HasCaughtUp(const raft_state& state, const peer_progress& peer) {
  return peer.identity != 0 &&
         peer.match_index >= peer.commit_index_at_first_reply &&
         peer.match_index >= state.leader.noop_index &&
         peer.match_index + kPromotionLagEntries >= state.commit_index;
}

std::uint64_t AppendReplicas(step_context& step,
                             const wire::replica_list& replicas) {
  return AppendAsLeader(step, wire::entry_kind::kReplicas,
                        wire::EncodeReplicas(replicas));
}

/**
 * Whether the log itself shows that the replica set is committed: it repeats
 * the voters of the set before it. The commit index isn't on disk, so after a
 * restart quorums of both sets would be needed, and the old one may be gone.
 */
bool IsKnownCommitted(const raft_state& state) {
  const std::uint64_t changed_at = state.log.replicas_index();
  if (changed_at < state.log.first_index()) {
    return true;
  }
  const wire::replica_list& previous = state.log.ReplicasAt(changed_at - 1);
  return previous.empty() || HaveSameVoters(previous, Replicas(state));
}

struct change_error {
  std::string reason;
  bool permanent = false;
};

/** Changes `replicas`, or returns the reason why it can't. */
change_error ApplyChange(step_context& step,
                         const change_replicas& event,
                         wire::replica_list& replicas) {
  const auto found =
      std::find_if(replicas.begin(), replicas.end(),
                   [&](const auto& one) { return one.name == event.name; });
  if (event.change == replica_change::kAddLearner) {
    if (found != replicas.end()) {
      return {"the replica already exists", true};
    }
    replicas.push_back({.name = event.name,
                        .address = event.address,
                        .promote_when_ready = event.promote_when_ready});
    return {};
  }
  if (found == replicas.end()) {
    return {"there is no such replica", true};
  }
  if (event.change == replica_change::kRemove) {
    const auto voters =
        std::count_if(replicas.begin(), replicas.end(),
                      [](const auto& one) { return one.voter; });
    if (found->voter && voters == 1) {
      return {"the replica is the last voter", true};
    }
    replicas.erase(found);
    // While another voter is lost, the removal might never commit and would
    // block the repair of that voter. Both sets may have to agree, without the
    // removed voter, unless that is the leader.
    const std::string_view without =
        event.name == step.state.self ? std::string_view() : event.name;
    if (!IsQuorumActive(step, replicas, {}) ||
        !IsQuorumActive(step, Replicas(step.state), without)) {
      return {"no quorum of the remaining voters is reachable"};
    }
    return {};
  }
  const peer_progress& peer = PeerOf(step, event.name);
  if (found->voter) {
    return {"the replica is already a voter", true};
  }
  if (!HasCaughtUp(step.state, peer)) {
    return {"the replica hasn't caught up with the leader"};
  }
  found->voter = true;
  found->identity = peer.identity;
  found->promote_when_ready = false;
  return {};
}

}  // namespace

void OnChangeReplicas(step_context& step, const change_replicas& event) {
  raft_state& state = step.state;
  wire::replica_list replicas = Replicas(state);
  change_error error;
  if (state.current_role != role::kLeader) {
    error.reason = "this replica isn't the leader";
  } else if (!CanChangeReplicas(state)) {
    error.reason =
        "the leader isn't ready, or another change or a leadership transfer is "
        "in progress";
  } else {
    error = ApplyChange(step, event, replicas);
  }
  if (!error.reason.empty()) {
    step.effects.emplace_back(
        proposal_result{.proposal_id = event.proposal_id,
                        .status = proposal_status::kDropped,
                        .reason = std::move(error.reason),
                        .permanent = error.permanent});
    return;
  }
  if (event.change == replica_change::kRemove) {
    state.leader.peers.erase(event.name);
  }
  state.leader.proposals.push_back({.proposal_id = event.proposal_id,
                                    .index = AppendReplicas(step, replicas)});
}

void MaintainReplicas(step_context& step) {
  raft_state& state = step.state;
  if (!CanChangeReplicas(state)) {
    return;
  }
  wire::replica_list replicas = Replicas(state);
  if (!IsKnownCommitted(state)) {
    AppendReplicas(step, replicas);
    return;
  }
  for (wire::replica& one : replicas) {
    if (one.name == state.self) {
      continue;
    }
    const peer_progress& peer = PeerOf(step, one.name);
    if (one.voter && state.lost_voters.contains({one.name, one.identity})) {
      one.voter = false;
      one.identity = 0;
      one.promote_when_ready = true;
    } else if (!one.voter && one.promote_when_ready &&
               HasCaughtUp(state, peer)) {
      one.voter = true;
      one.identity = peer.identity;
      one.promote_when_ready = false;
    } else {
      continue;
    }
    AppendReplicas(step, replicas);
    return;
  }
}

}  // namespace wisteriaroute::raft
