#include "libwisteriaroute/raft/election.h"

#include <algorithm>

#include "libwisteriaroute/raft/replication.h"

namespace wisteriaroute::raft {

namespace {

void RequestVotes(step_context& step, bool pre_vote) {
  const raft_state& state = step.state;
  const auto request = [&](const wire::replica& one) {
    if (one.voter && one.name != state.self) {
      Send(step, one.name,
           wire::vote_request{
               .term = pre_vote ? state.metadata.term + 1 : state.metadata.term,
               .pre_vote = pre_vote,
               .transfer = !pre_vote && state.transfer_election,
               .voter_identity = one.identity,
               .last_index = state.log.last_index(),
               .last_term = state.log.last_term(),
               .known_losses =
                   static_cast<std::uint32_t>(state.lost_voters.size())});
    }
  };
  ForEachReplica(state, request);
}

bool HasVotes(const raft_state& state) {
  return QuorumValue(state, [&](const wire::replica& one) {
           return contribution{
               .value = state.votes.contains(one.name) ? 1 : 0,
               .after_loss = one.name == state.self ||
                             state.votes_after_loss.contains(one.name)};
         }) > 0;
}

void StartPreVote(step_context& step) {
  step.state.current_role = role::kPreCandidate;
  step.state.leader_name.clear();
  step.state.votes = {step.state.self};
  step.state.votes_after_loss.clear();
  ResetElectionDeadline(step);
  if (HasVotes(step.state)) {
    StartElection(step, false);
  } else {
    RequestVotes(step, true);
  }
}

bool IsVoterIn(const raft_state& state, const wire::replica_list& replicas) {
  return std::any_of(replicas.begin(), replicas.end(),
                     [&](const wire::replica& one) {
                       return one.voter && one.name == state.self &&
                              one.identity == state.metadata.identity;
                     });
}

/**
 * Whether this replica may start an election: it is a voter, or its removal
 * isn't known to be committed. In that case it may be the only replica whose
 * log is long enough to win.
 */
bool MayCampaign(const raft_state& state) {
  const std::uint64_t changed_at = state.log.replicas_index();
  return IsVoterIn(state, Replicas(state)) ||
         (changed_at > state.commit_index &&
          changed_at >= state.log.first_index() &&
          IsVoterIn(state, state.log.ReplicasAt(changed_at - 1)));
}

bool HasLiveLeader(const step_context& step) {
  const raft_state& state = step.state;
  if (state.current_role == role::kLeader) {
    return true;
  }
  return !state.leader_name.empty() &&
         step.now_us - state.last_leader_message_us <
             state.options.election_min_us;
}

bool IsUpToDate(const raft_state& state, const wire::vote_request& message) {
  if (message.last_term != state.log.last_term()) {
    return message.last_term > state.log.last_term();
  }
  return message.last_index >= state.log.last_index();
}

void SendVoteReply(step_context& step,
                   const std::string& to,
                   const wire::vote_request& message,
                   bool granted) {
  Send(step, to,
       wire::vote_reply{
           .term = granted ? message.term : step.state.metadata.term,
           .pre_vote = message.pre_vote,
           .granted = granted,
           .identity = step.state.metadata.identity,
           .asked_identity = message.voter_identity,
           .known_losses = message.known_losses});
}

void Vote(step_context& step,
          const std::string& from,
          const wire::vote_request& message) {
  raft_state& state = step.state;
  if (message.term > state.metadata.term) {
    BecomeFollower(step, message.term, {});
  }
  const bool vote_available =
      state.metadata.voted_for.empty() || state.metadata.voted_for == from;
  if (message.term < state.metadata.term || !vote_available ||
      !state.leader_name.empty() || !IsUpToDate(state, message)) {
    SendVoteReply(step, from, message, false);
    return;
  }
  if (state.metadata.voted_for.empty()) {
    state.metadata.voted_for = from;
    MarkMetadata(step);
  }
  ResetElectionDeadline(step);
  if (MetadataSynced(state)) {
    SendVoteReply(step, from, message, true);
  } else {
    state.pending_vote_to = from;
    state.pending_vote_known_losses = message.known_losses;
  }
}

}  // namespace

void ElectionTick(step_context& step) {
  raft_state& state = step.state;
  if (state.election_deadline_us == 0 || !state.disk_writable ||
      !MayCampaign(state)) {
    ResetElectionDeadline(step);
  } else if (step.now_us >= state.election_deadline_us) {
    StartPreVote(step);
  }
}

void StartElection(step_context& step, bool transfer) {
  raft_state& state = step.state;
  state.current_role = role::kCandidate;
  state.leader_name.clear();
  ++state.metadata.term;
  state.metadata.voted_for = state.self;
  state.pending_vote_to.clear();
  state.votes.clear();
  state.votes_after_loss.clear();
  state.transfer_election = transfer;
  MarkMetadata(step);
  ResetElectionDeadline(step);
}

void OnMetadataSynced(step_context& step) {
  raft_state& state = step.state;
  if (!state.pending_vote_to.empty()) {
    Send(step, state.pending_vote_to,
         wire::vote_reply{.term = state.metadata.term,
                          .granted = true,
                          .identity = state.metadata.identity,
                          .asked_identity = state.metadata.identity,
                          .known_losses = state.pending_vote_known_losses});
    state.pending_vote_to.clear();
  }
  if (state.current_role == role::kCandidate &&
      state.votes.insert(state.self).second) {
    if (HasVotes(state)) {
      BecomeLeader(step);
    } else {
      RequestVotes(step, false);
    }
  }
}

void OnVoteRequest(step_context& step,
                   const std::string& from,
                   const wire::vote_request& message) {
  const raft_state& state = step.state;
  // The candidate knows this voter by the identity of a data directory that was
  // replaced since. This replica may have voted in this term before, and it may
  // lack entries that it acknowledged. The reply says so.
  if (message.voter_identity != state.metadata.identity) {
    SendVoteReply(step, from, message, false);
    return;
  }
  if (!state.disk_writable) {
    SendVoteReply(step, from, message, false);
    return;
  }
  if (message.pre_vote) {
    SendVoteReply(step, from, message,
                  message.term > state.metadata.term && !HasLiveLeader(step) &&
                      IsUpToDate(state, message));
    return;
  }
  // A removed or partitioned replica must not depose a live leader.
  if (message.transfer || !HasLiveLeader(step)) {
    Vote(step, from, message);
  }
}

void OnVoteReply(step_context& step,
                 const std::string& from,
                 const wire::vote_reply& message) {
  raft_state& state = step.state;
  if (message.asked_identity != 0 &&
      message.asked_identity != message.identity) {
    const bool is_news = NoteLostVoter(state, from, message.asked_identity);
    // Only votes that are given from now on show that their senders had not
    // lost anything when this was known.
    if (is_news && state.current_role == role::kPreCandidate) {
      RequestVotes(step, true);
    } else if (is_news && state.current_role == role::kCandidate &&
               MetadataSynced(state)) {
      RequestVotes(step, false);
    }
    return;
  }
  if (!message.granted) {
    if (message.term > state.metadata.term) {
      BecomeFollower(step, message.term, {});
    }
    return;
  }
  const bool expected = message.pre_vote
                            ? state.current_role == role::kPreCandidate &&
                                  message.term == state.metadata.term + 1
                            : state.current_role == role::kCandidate &&
                                  message.term == state.metadata.term;
  const wire::replica* voter = FindDecider(state, from);
  if (!expected || voter == nullptr || voter->identity != message.identity) {
    return;
  }
  state.votes.insert(from);
  if (message.known_losses == state.lost_voters.size()) {
    state.votes_after_loss.insert(from);
  }
  if (!HasVotes(state)) {
    return;
  }
  if (message.pre_vote) {
    StartElection(step, false);
  } else {
    BecomeLeader(step);
  }
}

void OnTimeoutNow(step_context& step,
                  const std::string& from,
                  const wire::timeout_now& message) {
  const raft_state& state = step.state;
  if (message.term == state.metadata.term && from == state.leader_name &&
      state.current_role == role::kFollower && IsVoter(state) &&
      state.disk_writable) {
    StartElection(step, true);
  }
}

}  // namespace wisteriaroute::raft
