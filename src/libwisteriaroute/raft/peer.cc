#include "libwisteriaroute/raft/peer.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/base/digest.h"

namespace wisteriaroute::raft {

namespace {

peer_progress NewProgress(const step_context& step, std::uint64_t identity) {
  return {.identity = identity,
          .next_index = step.state.flush_from,
          .last_reply_us = step.now_us,
          .commit_index_at_first_reply = step.state.commit_index};
}

/** The identity that a voter has in the replica set; 0 for others. */
std::uint64_t VoterIdentity(const raft_state& state, std::string_view name) {
  const wire::replica* replica = FindDecider(state, name);
  return replica != nullptr && replica->voter ? replica->identity : 0;
}

void SendChunk(step_context& step,
               const std::string& name,
               peer_progress& peer) {
  const snapshot& source = *peer.pending_snapshot;
  peer.chunk_sent_us = step.now_us;
  Send(step, name,
       wire::snapshot_chunk{
           .term = step.state.metadata.term,
           .round = step.state.leader.round,
           .last_index = source.last_index,
           .last_term = source.last_term,
           .replicas = source.replicas,
           .total_bytes = source.data->size(),
           .checksum = base::Hash64(*source.data),
           .offset = peer.snapshot_offset,
           .data = source.data->substr(peer.snapshot_offset,
                                       step.state.options.chunk_bytes)});
}

/** The term at `next_index - 1` and the entries after it must be in memory. */
void SendSlice(step_context& step,
               const std::string& name,
               peer_progress& peer) {
  const raft_state& state = step.state;
  const std::uint64_t end = std::min(
      state.flush_from, peer.next_index + state.options.max_append_entries);
  wire::append_request message{
      .term = state.metadata.term,
      .round = state.leader.round,
      .previous_index = peer.next_index - 1,
      .previous_term = state.log.TermAt(peer.next_index - 1),
      .commit_index = state.commit_index,
      .entries =
          state.log.Slice(peer.next_index, end, state.options.max_append_bytes),
      .receiver_identity = VoterIdentity(state, name)};
  peer.next_index += message.entries.size();
  Send(step, name, std::move(message));
}

/** The times of the voters' last replies, without one of them. */
contribution_of LastReplies(const step_context& step,
                            std::string_view without) {
  return [&step, without](const wire::replica& one) -> contribution {
    const raft_state& state = step.state;
    if (one.name == without) {
      return {};
    }
    if (one.name == state.self) {
      return {.value = step.now_us, .after_loss = true};
    }
    const peer_progress* peer = FindQuorumPeer(state, one);
    return {.value =
                peer == nullptr ? state.leader.elected_us : peer->last_reply_us,
            .after_loss = true};
  };
}

bool WasRecent(const step_context& step, base::time_us quorum_reply_us) {
  return step.now_us - quorum_reply_us < step.state.options.election_max_us;
}

}  // namespace

peer_progress& PeerOf(step_context& step, const std::string& name) {
  const auto [found, inserted] =
      step.state.leader.peers.try_emplace(name, NewProgress(step, 0));
  return found->second;
}

const peer_progress* FindQuorumPeer(const raft_state& state,
                                    const wire::replica& voter) {
  const auto found = state.leader.peers.find(voter.name);
  const bool counted = found != state.leader.peers.end() &&
                       found->second.identity == voter.identity;
  return counted ? &found->second : nullptr;
}

bool IsQuorumActive(const step_context& step) {
  return WasRecent(step, QuorumValue(step.state, LastReplies(step, {})));
}

bool IsQuorumActive(const step_context& step,
                    const wire::replica_list& replicas,
                    std::string_view without) {
  return WasRecent(step, QuorumOf(step.state, replicas, quorum::kHalfAfterLoss,
                                  LastReplies(step, without)));
}

peer_progress* RecordReply(step_context& step,
                           const std::string& from,
                           std::uint64_t identity,
                           std::uint64_t asked_identity,
                           std::uint64_t round) {
  raft_state& state = step.state;
  if (asked_identity != 0 && asked_identity != identity) {
    NoteLostVoter(state, from, asked_identity);
  }
  const wire::replica* replica = FindDecider(state, from);
  if (replica == nullptr) {
    return nullptr;
  }
  // Replies of a voter don't count if they were sent before it lost its data
  // directory. Those of another identity count once it is certain that the
  // voter's is lost; others are from before its time.
  if (replica->voter && state.lost_voters.contains({from, replica->identity}) ==
                            (identity == replica->identity)) {
    return nullptr;
  }
  peer_progress& peer = PeerOf(step, from);
  if (peer.identity != identity) {
    // Keeps next_index on the first reply: append requests may have advanced
    // it.
    if (peer.identity == 0) {
      peer.identity = identity;
      peer.commit_index_at_first_reply = state.commit_index;
    } else {
      peer = NewProgress(step, identity);
    }
  }
  peer.last_reply_us = step.now_us;
  if (peer.first_reply_us == 0) {
    peer.first_reply_us = step.now_us;
  }
  peer.round = std::max(peer.round, std::min(round, state.leader.round));
  return &peer;
}

void SendHeartbeat(step_context& step,
                   const std::string& name,
                   const peer_progress& peer) {
  const raft_state& state = step.state;
  std::uint64_t previous = peer.next_index - 1;
  if (peer.pending_snapshot != nullptr || !state.log.HasTermAt(previous)) {
    // During a snapshot transfer only the round of the reply matters.
    previous = 0;
  }
  Send(step, name,
       wire::append_request{
           .term = state.metadata.term,
           .round = state.leader.round,
           .previous_index = previous,
           .previous_term = previous == 0 ? 0 : state.log.TermAt(previous),
           .commit_index = state.commit_index,
           .receiver_identity = VoterIdentity(state, name)});
}

void SendEntries(step_context& step,
                 const std::string& name,
                 peer_progress& peer) {
  raft_state& state = step.state;
  if (peer.pending_snapshot != nullptr) {
    return;
  }
  if (!state.log.HasTermAt(peer.next_index - 1)) {
    if (peer.identity != 0) {
      peer.pending_snapshot = state.latest_snapshot;
      peer.snapshot_offset = 0;
      peer.pipelining = false;
      SendChunk(step, name, peer);
    }
    return;
  }
  while (peer.pipelining && peer.next_index < state.flush_from &&
         peer.next_index <= peer.match_index + state.options.window_entries) {
    SendSlice(step, name, peer);
  }
}

void RetryChunk(step_context& step,
                const std::string& name,
                peer_progress& peer) {
  if (peer.pending_snapshot != nullptr &&
      step.now_us - peer.chunk_sent_us >= step.state.options.chunk_retry_us) {
    SendChunk(step, name, peer);
  }
}

void UpdateMatch(step_context& step,
                 const std::string& name,
                 peer_progress& peer,
                 const wire::append_reply& message) {
  const raft_state& state = step.state;
  if (message.success) {
    peer.match_index =
        std::max(peer.match_index,
                 std::min(message.match_index, state.log.last_index()));
    peer.next_index = std::max(peer.next_index, peer.match_index + 1);
    peer.pipelining = peer.pending_snapshot == nullptr;
    SendEntries(step, name, peer);
    return;
  }
  // Ignores rejections of append requests that were sent before the search for
  // the match index began.
  const bool stale =
      message.rejected_index <= peer.match_index ||
      message.rejected_index >= peer.next_index ||
      (!peer.pipelining && message.rejected_index != peer.next_index - 1);
  if (stale || peer.pending_snapshot != nullptr) {
    return;
  }
  peer.pipelining = false;
  peer.next_index =
      std::max(peer.match_index,
               std::min(message.hint_index, message.rejected_index)) +
      1;
  if (state.log.HasTermAt(peer.next_index - 1)) {
    SendHeartbeat(step, name, peer);
  } else {
    SendEntries(step, name, peer);
  }
}

void UpdateChunk(step_context& step,
                 const std::string& name,
                 peer_progress& peer,
                 const wire::snapshot_reply& message) {
  if (peer.pending_snapshot == nullptr ||
      peer.pending_snapshot->last_index != message.last_index ||
      // The chunk at this offset has already been sent.
      (message.next_offset == peer.snapshot_offset &&
       !peer.pending_snapshot->data->empty())) {
    return;
  }
  const std::uint64_t total = peer.pending_snapshot->data->size();
  peer.snapshot_offset = std::min<std::uint64_t>(message.next_offset, total);
  if (peer.snapshot_offset < total) {
    SendChunk(step, name, peer);
    return;
  }
  peer.next_index = peer.pending_snapshot->last_index + 1;
  peer.pending_snapshot.reset();
  SendHeartbeat(step, name, peer);
}

}  // namespace wisteriaroute::raft
