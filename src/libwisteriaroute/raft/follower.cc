#include "libwisteriaroute/raft/follower.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "libwisteriaroute/base/digest.h"

namespace wisteriaroute::raft {

namespace {

/**
 * Accepts the sender as the leader. Returns false if its term is out of date or
 * this replica is itself the leader of that term.
 */
bool AcceptLeader(step_context& step,
                  const std::string& from,
                  std::uint64_t term,
                  std::uint64_t round) {
  raft_state& state = step.state;
  if (term < state.metadata.term) {
    Send(step, from,
         wire::append_reply{.term = state.metadata.term,
                            .identity = state.metadata.identity});
    return false;
  }
  if (term == state.metadata.term && state.current_role == role::kLeader) {
    return false;
  }
  if (term > state.metadata.term || state.leader_name != from ||
      state.current_role != role::kFollower) {
    BecomeFollower(step, term, from);
  }
  state.last_leader_message_us = step.now_us;
  state.last_leader_round = std::max(state.last_leader_round, round);
  ResetElectionDeadline(step);
  return true;
}

/**
 * Whether the indices are contiguous and the terms neither decrease nor exceed
 * the term of the message.
 */
bool IsWellFormed(const wire::append_request& message) {
  std::uint64_t index = message.previous_index;
  std::uint64_t term = message.previous_term;
  for (const wire::log_entry& entry : message.entries) {
    if (entry.index != ++index || entry.term < term) {
      return false;
    }
    term = entry.term;
  }
  return term <= message.term;
}

bool MatchesPrevious(const raft_state& state,
                     const wire::append_request& message) {
  const std::uint64_t base = state.log.first_index() - 1;
  // Entries before the base are committed and therefore match.
  return message.previous_index < base ||
         (message.previous_index <= state.log.last_index() &&
          state.log.TermAt(message.previous_index) == message.previous_term);
}

void Reject(step_context& step,
            const std::string& to,
            const wire::append_request& message) {
  const raft_state& state = step.state;
  std::uint64_t hint = std::min(message.previous_index, state.log.last_index());
  if (hint == message.previous_index) {
    // Skips all entries of the conflicting term in one round trip.
    const std::uint64_t term = state.log.TermAt(hint);
    while (hint > state.commit_index && hint >= state.log.first_index() &&
           state.log.TermAt(hint) == term) {
      --hint;
    }
  }
  if (MetadataSynced(state)) {
    Send(step, to,
         wire::append_reply{.term = state.metadata.term,
                            .identity = state.metadata.identity,
                            .round = state.last_leader_round,
                            .rejected_index = message.previous_index,
                            .hint_index = hint,
                            .asked_identity = state.asked_identity,
                            .leaving = state.leaving});
  }
}

/** Returns false if an entry conflicts with a committed one. */
bool AppendEntries(step_context& step, const wire::append_request& message) {
  raft_state& state = step.state;
  for (const wire::log_entry& entry : message.entries) {
    if (entry.index < state.log.first_index()) {
      continue;
    }
    if (entry.index <= state.log.last_index()) {
      if (state.log.TermAt(entry.index) == entry.term) {
        continue;
      }
      if (entry.index <= state.commit_index) {
        return false;
      }
      TruncateLog(step, entry.index);
    }
    state.log.Append(entry);
  }
  return true;
}

/**
 * Tells the leader only that this replica is live. Neither its term nor any
 * entry is sure to be on disk, so the reply acknowledges no round and no match,
 * and the leader takes it for an outdated rejection.
 */
void ReportAlive(step_context& step, const std::string& to) {
  const raft_state& state = step.state;
  Send(step, to,
       wire::append_reply{.term = state.metadata.term,
                          .identity = state.metadata.identity,
                          .asked_identity = state.asked_identity,
                          .leaving = state.leaving});
}

void SendSnapshotReply(step_context& step,
                       const std::string& to,
                       const wire::snapshot_chunk& message,
                       std::uint64_t next_offset) {
  Send(step, to,
       wire::snapshot_reply{.term = step.state.metadata.term,
                            .identity = step.state.metadata.identity,
                            .round = message.round,
                            .last_index = message.last_index,
                            .next_offset = next_offset});
}

/**
 * Appends the chunk to the incoming snapshot if it is the next one. A chunk of
 * another snapshot discards what was received so far.
 */
void AppendChunk(raft_state& state, const wire::snapshot_chunk& message) {
  const bool same = state.incoming_snapshot &&
                    state.incoming_snapshot->last_index == message.last_index &&
                    state.incoming_snapshot->last_term == message.last_term &&
                    state.incoming_snapshot->checksum == message.checksum &&
                    state.incoming_snapshot->total_bytes == message.total_bytes;
  if (!same) {
    state.incoming_snapshot = message;
    state.incoming_snapshot->data.clear();
  }
  std::string& data = state.incoming_snapshot->data;
  if (message.offset == data.size() &&
      message.data.size() <= message.total_bytes - data.size()) {
    data += message.data;
  }
}

void InstallSnapshot(step_context& step, wire::snapshot_chunk complete) {
  raft_state& state = step.state;
  auto installed = std::make_shared<const snapshot>(snapshot{
      .last_index = complete.last_index,
      .last_term = complete.last_term,
      .replicas = std::move(complete.replicas),
      .data = std::make_shared<const std::string>(std::move(complete.data))});
  state.latest_snapshot = installed;
  step.batch.new_snapshot = *installed;
  step.batch_needed = true;
  // Entries after the snapshot are kept only if the log matches the snapshot.
  if (!state.log.HasTermAt(installed->last_index) ||
      state.log.TermAt(installed->last_index) != installed->last_term) {
    ResetLog(step, *installed);
  }
  state.commit_index = installed->last_index;
  state.applied_index = installed->last_index;
  state.leader_match = std::max(state.leader_match, installed->last_index);
  step.effects.emplace_back(install_snapshot{.index = installed->last_index,
                                             .term = installed->last_term,
                                             .data = installed->data});
}

}  // namespace

void OnAppendRequest(step_context& step,
                     const std::string& from,
                     const wire::append_request& message) {
  raft_state& state = step.state;
  if (!IsWellFormed(message) ||
      !AcceptLeader(step, from, message.term, message.round)) {
    return;
  }
  state.asked_identity = message.receiver_identity;
  if (!state.disk_writable) {
    ReportAlive(step, from);
    return;
  }
  if (!MatchesPrevious(state, message)) {
    Reject(step, from, message);
    return;
  }
  if (!AppendEntries(step, message)) {
    return;
  }
  state.leader_match = std::max(
      state.leader_match, message.previous_index + message.entries.size());
  CommitTo(step, std::min(message.commit_index, state.leader_match));
  ReportMatch(step, message.entries.empty());
}

void OnSnapshotChunk(step_context& step,
                     const std::string& from,
                     const wire::snapshot_chunk& message) {
  raft_state& state = step.state;
  if (!AcceptLeader(step, from, message.term, message.round)) {
    return;
  }
  if (!state.disk_writable) {
    ReportAlive(step, from);
    return;
  }
  if (!MetadataSynced(state)) {
    return;
  }
  if (message.last_index <= state.commit_index) {
    state.leader_match = std::max(state.leader_match, message.last_index);
    SendSnapshotReply(step, from, message, message.total_bytes);
    return;
  }
  AppendChunk(state, message);
  const std::uint64_t received = state.incoming_snapshot->data.size();
  if (received < message.total_bytes) {
    SendSnapshotReply(step, from, message, received);
    return;
  }
  wire::snapshot_chunk complete = std::move(*state.incoming_snapshot);
  state.incoming_snapshot.reset();
  if (base::Hash64(complete.data) != complete.checksum) {
    SendSnapshotReply(step, from, message, 0);
    return;
  }
  InstallSnapshot(step, std::move(complete));
  SendSnapshotReply(step, from, message, message.total_bytes);
}

void ReportMatch(step_context& step, bool always) {
  raft_state& state = step.state;
  if (state.current_role != role::kFollower || state.leader_name.empty() ||
      !MetadataSynced(state) || !state.disk_writable) {
    return;
  }
  const std::uint64_t match = std::min(state.leader_match, state.synced_index);
  if (!always && match <= state.reported_match &&
      state.last_leader_round <= state.reported_round) {
    return;
  }
  state.reported_match = std::max(state.reported_match, match);
  state.reported_round = state.last_leader_round;
  Send(step, state.leader_name,
       wire::append_reply{.term = state.metadata.term,
                          .identity = state.metadata.identity,
                          .round = state.last_leader_round,
                          .success = true,
                          .match_index = match,
                          .asked_identity = state.asked_identity,
                          .leaving = state.leaving});
}

}  // namespace wisteriaroute::raft
