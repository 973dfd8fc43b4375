#include "libwisteriaroute/raft/replication.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/raft/membership.h"
#include "libwisteriaroute/raft/peer.h"

namespace wisteriaroute::raft {

namespace {

/** Calls `function(name, progress)` for every replica but this one. */
template <typename Function>
void ForEachPeer(step_context& step, Function function) {
  ForEachReplica(step.state, [&](const wire::replica& one) {
    if (one.name != step.state.self) {
      function(one.name, PeerOf(step, one.name));
    }
  });
}

/** Whether the voter has replied since the latest known loss of another. */
bool RepliedAfterLoss(const raft_state& state, const peer_progress& peer) {
  return peer.round >= state.leader.round_after_loss;
}

/**
 * Starts a heartbeat round. Replies to it prove that this replica was the
 * leader after the start of the round.
 */
void StartRound(step_context& step) {
  raft_state& state = step.state;
  ++state.leader.round;
  state.leader.next_heartbeat_us = step.now_us + state.options.heartbeat_us;
  ForEachPeer(step, [&](const std::string& name, peer_progress& peer) {
    SendHeartbeat(step, name, peer);
    SendEntries(step, name, peer);
  });
}

/**
 * Whether `one` is this replica with its current identity. Under another
 * identity the leader doesn't count its own log.
 */
bool IsCurrentSelf(const raft_state& state, const wire::replica& one) {
  return one.name == state.self && one.identity == state.metadata.identity;
}

void AnswerProposals(step_context& step) {
  raft_state& state = step.state;
  auto& proposals = state.leader.proposals;
  while (!proposals.empty() && proposals.front().index <= state.commit_index) {
    step.effects.emplace_back(
        proposal_result{.proposal_id = proposals.front().proposal_id,
                        .status = proposal_status::kCommitted,
                        .term = state.metadata.term,
                        .index = proposals.front().index});
    proposals.pop_front();
  }
}

void AnswerReads(step_context& step) {
  raft_state& state = step.state;
  leader_state& leader = state.leader;
  const std::int64_t confirmed =
      QuorumValue(state, [&](const wire::replica& one) -> contribution {
        if (one.name == state.self) {
          return {.value = static_cast<std::int64_t>(leader.round),
                  .after_loss = true};
        }
        const peer_progress* peer = FindQuorumPeer(state, one);
        return peer == nullptr
                   ? contribution{}
                   : contribution{
                         .value = static_cast<std::int64_t>(peer->round),
                         .after_loss = RepliedAfterLoss(state, *peer)};
      });
  leader.confirmed_round =
      std::max(leader.confirmed_round, static_cast<std::uint64_t>(confirmed));
  // Until an entry of its own term is committed, a leader doesn't know how far
  // its predecessors committed.
  while (!leader.reads.empty() && leader.noop_index <= state.commit_index &&
         leader.reads.front().round <= leader.confirmed_round) {
    step.effects.emplace_back(
        read_confirmed{.read_id = leader.reads.front().read_id,
                       .term = state.metadata.term,
                       .commit_index = state.commit_index});
    leader.reads.pop_front();
  }
  // Reads that arrived during a round share the next one.
  if (!leader.reads.empty() && leader.reads.back().round > leader.round &&
      leader.confirmed_round == leader.round) {
    StartRound(step);
    if (QuorumValue(state, [&](const wire::replica& one) {
          return contribution{.value = IsCurrentSelf(state, one) ? 1 : 0,
                              .after_loss = true};
        }) > 0) {
      AnswerReads(step);
    }
  }
}

void TransferIfReady(step_context& step) {
  const raft_state& state = step.state;
  const auto peer = state.leader.peers.find(state.leader.transfer_to);
  if (peer != state.leader.peers.end() &&
      peer->second.match_index == state.log.last_index()) {
    Send(step, peer->first, wire::timeout_now{.term = state.metadata.term});
  }
}

/**
 * Steps down if `term`, from a reply, is newer. Returns whether this replica is
 * the leader in `term`.
 */
bool CheckReplyTerm(step_context& step, std::uint64_t term) {
  if (term > step.state.metadata.term) {
    BecomeFollower(step, term, {});
  }
  return step.state.current_role == role::kLeader &&
         term == step.state.metadata.term;
}

void DropProposal(step_context& step,
                  std::uint64_t proposal_id,
                  std::string reason) {
  step.effects.emplace_back(proposal_result{.proposal_id = proposal_id,
                                            .status = proposal_status::kDropped,
                                            .reason = std::move(reason)});
}

}  // namespace

void BecomeLeader(step_context& step) {
  raft_state& state = step.state;
  state.current_role = role::kLeader;
  state.leader_name = state.self;
  state.leader = {};
  state.leader.elected_us = step.now_us;
  // Creates the progress of each peer first, so that it starts at the no-op,
  // which the peers don't have yet.
  ForEachPeer(step, [](const std::string&, const peer_progress&) {});
  state.leader.noop_index =
      AppendAsLeader(step, wire::entry_kind::kNoOp, std::string());
  StartRound(step);
}

void StepDown(step_context& step) {
  const raft_state& state = step.state;
  const std::string* successor = nullptr;
  std::uint64_t best_match = 0;
  for (const wire::replica& one : Replicas(state)) {
    const peer_progress* peer =
        one.name == state.self ? nullptr : FindQuorumPeer(state, one);
    if (one.voter && peer != nullptr && !peer->leaving &&
        step.now_us - peer->last_reply_us < state.options.election_min_us &&
        (successor == nullptr || peer->match_index > best_match)) {
      successor = &one.name;
      best_match = peer->match_index;
    }
  }
  if (successor != nullptr) {
    Send(step, *successor, wire::timeout_now{.term = state.metadata.term});
  }
  BecomeFollower(step, state.metadata.term, {});
}

void LeaderTick(step_context& step) {
  raft_state& state = step.state;
  if (!IsQuorumActive(step)) {
    BecomeFollower(step, state.metadata.term, {});
    return;
  }
  if (!state.leader.transfer_to.empty() &&
      step.now_us >= state.leader.transfer_until_us) {
    state.leader.transfer_to.clear();
  }
  if (step.now_us >= state.leader.next_heartbeat_us) {
    StartRound(step);
    TransferIfReady(step);
  }
  ForEachPeer(step, [&](const std::string& name, peer_progress& peer) {
    RetryChunk(step, name, peer);
  });
  MaintainReplicas(step);
}

std::uint64_t AppendAsLeader(step_context& step,
                             wire::entry_kind kind,
                             std::string payload) {
  raft_state& state = step.state;
  const std::uint64_t index = state.log.last_index() + 1;
  state.log.Append({.term = state.metadata.term,
                    .index = index,
                    .kind = kind,
                    .payload = std::move(payload)});
  return index;
}

void SendToAll(step_context& step) {
  ForEachPeer(step, [&](const std::string& name, peer_progress& peer) {
    SendEntries(step, name, peer);
  });
}

void AdvanceCommit(step_context& step) {
  raft_state& state = step.state;
  const auto synced = static_cast<std::uint64_t>(
      QuorumValue(state, [&](const wire::replica& one) -> contribution {
        if (IsCurrentSelf(state, one)) {
          return {.value = static_cast<std::int64_t>(state.synced_index),
                  .after_loss = true};
        }
        const peer_progress* peer = FindQuorumPeer(state, one);
        return peer == nullptr
                   ? contribution{}
                   : contribution{
                         .value = static_cast<std::int64_t>(peer->match_index),
                         .after_loss = RepliedAfterLoss(state, *peer)};
      }));
  // An entry of an older term can still be overwritten although a quorum has
  // it. It commits together with a later entry of the current term.
  if (synced > state.commit_index && state.log.HasTermAt(synced) &&
      state.log.TermAt(synced) == state.metadata.term) {
    CommitTo(step, synced);
    AnswerProposals(step);
    if (state.log.replicas_index() <= state.commit_index && !IsVoter(state)) {
      // The removal of this replica is committed.
      BecomeFollower(step, state.metadata.term, {});
      return;
    }
  }
  AnswerReads(step);
}

void OnPropose(step_context& step, const propose& event) {
  raft_state& state = step.state;
  if (state.current_role != role::kLeader) {
    DropProposal(step, event.proposal_id, "this replica isn't the leader");
  } else if (!state.leader.transfer_to.empty()) {
    DropProposal(step, event.proposal_id, "leadership is being transferred");
  } else if (event.payload.size() > state.options.max_payload_bytes) {
    DropProposal(step, event.proposal_id, "the payload is too large");
  } else {
    const std::uint64_t index =
        AppendAsLeader(step, wire::entry_kind::kCommand, event.payload);
    state.leader.proposals.push_back(
        {.proposal_id = event.proposal_id, .index = index});
  }
}

void OnConfirmLeadership(step_context& step, const confirm_leadership& event) {
  raft_state& state = step.state;
  if (state.current_role != role::kLeader) {
    step.effects.emplace_back(read_failed{.read_id = event.read_id});
    return;
  }
  state.leader.reads.push_back(
      {.read_id = event.read_id, .round = state.leader.round + 1});
  AnswerReads(step);
}

void OnTransferLeadership(step_context& step,
                          const transfer_leadership& event) {
  raft_state& state = step.state;
  const wire::replica* target = FindReplica(state, event.to);
  if (state.current_role != role::kLeader || event.to == state.self ||
      target == nullptr || !target->voter) {
    return;
  }
  state.leader.transfer_to = event.to;
  state.leader.transfer_until_us = step.now_us + state.options.election_min_us;
  TransferIfReady(step);
}

void OnAppendReply(step_context& step,
                   const std::string& from,
                   const wire::append_reply& message) {
  if (!CheckReplyTerm(step, message.term)) {
    return;
  }
  peer_progress* peer = RecordReply(step, from, message.identity,
                                    message.asked_identity, message.round);
  if (peer == nullptr) {
    return;
  }
  peer->leaving = message.leaving;
  UpdateMatch(step, from, *peer, message);
  AdvanceCommit(step);
  if (step.state.current_role == role::kLeader) {
    TransferIfReady(step);
    MaintainReplicas(step);
  }
}

void OnSnapshotReply(step_context& step,
                     const std::string& from,
                     const wire::snapshot_reply& message) {
  if (!CheckReplyTerm(step, message.term)) {
    return;
  }
  peer_progress* peer =
      RecordReply(step, from, message.identity, 0, message.round);
  if (peer != nullptr) {
    UpdateChunk(step, from, *peer, message);
    AnswerReads(step);
  }
}

}  // namespace wisteriaroute::raft
