#include "libwisteriaroute/raft/membership.h"

#include <algorithm>
#include <string>
#include <utility>

#include "libwisteriaroute/raft/peer.h"
#include "libwisteriaroute/raft/replication.h"

namespace wisteriaroute::raft {

namespace {

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

std::uint64_t AppendReplicas(step_context& step,
                             const wire::replica_list& replicas) {
  return AppendAsLeader(step, wire::entry_kind::kReplicas,
                        wire::EncodeReplicas(replicas));
}

struct change_error {
  std::string reason;
  bool permanent = false;
};

/** Makes the members named in `voters` the only voters of `replicas`. */
change_error SetVoters(step_context& step,
                       const std::vector<std::string>& voters,
                       std::string_view casting_voter,
                       wire::replica_list& replicas) {
  const wire::replica_list before = replicas;
  std::size_t found = 0;
  for (wire::replica& one : replicas) {
    one.promote_when_ready = false;
    one.casting_vote = one.name == casting_voter;
    if (std::ranges::find(voters, one.name) == voters.end()) {
      one.voter = false;
      one.identity = 0;
      continue;
    }
    ++found;
    if (one.voter) {
      continue;
    }
    // The leader's own log is complete.
    const bool is_self = one.name == step.state.self;
    const peer_progress& peer = PeerOf(step, one.name);
    if (!is_self && !HasCaughtUp(step.state, peer)) {
      return {"a new voter hasn't caught up with the leader"};
    }
    one.voter = true;
    one.identity = is_self ? step.state.metadata.identity : peer.identity;
  }
  if (found == 0 || found != voters.size()) {
    return {"a voter isn't in the replica set", true};
  }
  if (!casting_voter.empty() && (found % 2 != 0 || !HasCastingVote(replicas))) {
    return {"only one of an even number of voters may have two votes", true};
  }
  if (HaveSameVoters(before, replicas)) {
    return {"these are the voters already", true};
  }
  if (!IsQuorumActive(step, replicas, {}) ||
      !IsQuorumActive(step, before, {})) {
    return {"no quorum of the voters is reachable"};
  }
  return {};
}

/** Changes `replicas`, or returns the reason why it can't. */
change_error ApplyChange(step_context& step,
                         const change_replicas& event,
                         wire::replica_list& replicas) {
  if (event.change == replica_change::kSetVoters) {
    return SetVoters(step, event.voters, event.casting_voter, replicas);
  }
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
    if (found->voter) {
      ClearCastingVote(replicas);
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
  ClearCastingVote(replicas);
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
      ClearCastingVote(replicas);
      one.voter = false;
      one.identity = 0;
      one.promote_when_ready = true;
    } else if (!one.voter && one.promote_when_ready &&
               HasCaughtUp(state, peer)) {
      ClearCastingVote(replicas);
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
