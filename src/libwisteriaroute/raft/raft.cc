#include "libwisteriaroute/raft/raft.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "libwisteriaroute/raft/election.h"
#include "libwisteriaroute/raft/follower.h"
#include "libwisteriaroute/raft/membership.h"
#include "libwisteriaroute/raft/replication.h"
#include "libwisteriaroute/raft/step_context.h"

namespace wisteriaroute::raft {

namespace {

void OnPersisted(step_context& step, const persisted& event) {
  raft_state& state = step.state;
  const bool metadata_was_synced = MetadataSynced(state);
  state.synced_sequence = std::max(state.synced_sequence, event.sequence);
  while (!state.unsynced.empty() &&
         state.unsynced.front().sequence <= event.sequence) {
    state.synced_index = state.unsynced.front().last_index;
    state.unsynced.pop_front();
  }
  if (!metadata_was_synced && MetadataSynced(state)) {
    OnMetadataSynced(step);
  }
  if (state.current_role == role::kLeader) {
    AdvanceCommit(step);
  } else {
    ReportMatch(step, false);
  }
}

void OnDiskStateChanged(step_context& step, const disk_state_changed& event) {
  raft_state& state = step.state;
  if (event.writable == std::exchange(state.disk_writable, event.writable)) {
    return;
  }
  if (state.current_role == role::kLeader) {
    StepDown(step);
  } else if (state.current_role != role::kFollower) {
    BecomeFollower(step, state.metadata.term, {});
  } else {
    ResetElectionDeadline(step);
  }
}

/** Index of the first entry that is kept after a snapshot at `index`. */
std::uint64_t FirstKeptIndex(const raft_state& state, std::uint64_t index) {
  const raft_options& options = state.options;
  std::uint64_t first = index + 1;
  std::size_t bytes = 0;
  while (first > state.log.first_index() &&
         index + 1 - first < options.keep_entries) {
    bytes += state.log.At(first - 1).payload.size();
    if (bytes > options.keep_bytes) {
      break;
    }
    --first;
  }
  return first;
}

void OnSnapshotMade(step_context& step, const snapshot_made& event) {
  raft_state& state = step.state;
  const bool newer = state.latest_snapshot == nullptr ||
                     event.index > state.latest_snapshot->last_index;
  if (!newer || !state.disk_writable || event.data == nullptr ||
      event.index > state.applied_index || !state.log.HasTermAt(event.index)) {
    return;
  }
  state.latest_snapshot = std::make_shared<const snapshot>(
      snapshot{.last_index = event.index,
               .last_term = state.log.TermAt(event.index),
               .replicas = state.log.ReplicasAt(event.index),
               .data = event.data});
  step.batch.new_snapshot = *state.latest_snapshot;
  step.batch_needed = true;
  step.batch.compact_before = FirstKeptIndex(state, event.index);
  state.log.CompactBefore(step.batch.compact_before);
}

struct message_visitor {
  step_context& step;
  const std::string& from;

  void operator()(const wire::vote_request& message) {
    OnVoteRequest(step, from, message);
  }
  void operator()(const wire::vote_reply& message) {
    OnVoteReply(step, from, message);
  }
  void operator()(const wire::append_request& message) {
    OnAppendRequest(step, from, message);
  }
  void operator()(const wire::append_reply& message) {
    OnAppendReply(step, from, message);
  }
  void operator()(const wire::snapshot_chunk& message) {
    OnSnapshotChunk(step, from, message);
  }
  void operator()(const wire::snapshot_reply& message) {
    OnSnapshotReply(step, from, message);
  }
  void operator()(const wire::timeout_now& message) {
    OnTimeoutNow(step, from, message);
  }
};

struct event_visitor {
  step_context& step;

  void operator()(const tick&) {
    if (step.state.current_role == role::kLeader) {
      LeaderTick(step);
    } else {
      ElectionTick(step);
    }
  }
  void operator()(const random_seed& event) {
    step.state.rng_state = event.seed | 1;  // xorshift must not start at 0.
  }
  void operator()(const received& event) {
    if (event.from != step.state.self) {
      std::visit(message_visitor{step, event.from}, event.message);
    }
  }
  void operator()(const propose& event) { OnPropose(step, event); }
  void operator()(const change_replicas& event) {
    OnChangeReplicas(step, event);
  }
  void operator()(const announce_leaving&) {
    step.state.leaving = true;
    ReportMatch(step, true);
  }
  void operator()(const confirm_leadership& event) {
    OnConfirmLeadership(step, event);
  }
  void operator()(const persisted& event) { OnPersisted(step, event); }
  void operator()(const disk_state_changed& event) {
    OnDiskStateChanged(step, event);
  }
  void operator()(const snapshot_made& event) { OnSnapshotMade(step, event); }
  void operator()(const transfer_leadership& event) {
    OnTransferLeadership(step, event);
  }
};

role_changed ReportedRole(const raft_state& state) {
  if (state.current_role == role::kLeader &&
      state.commit_index < state.leader.noop_index) {
    return {.new_role = role::kCandidate, .term = state.metadata.term};
  }
  const wire::replica* leader = FindReplica(state, state.leader_name);
  return {
      .new_role = state.current_role,
      .term = state.metadata.term,
      .leader_name = state.leader_name,
      .leader_address = leader == nullptr ? std::string() : leader->address};
}

}  // namespace

std::vector<effect> Step(raft_state& state,
                         const event& event,
                         base::time_us now_us) {
  step_context step{.state = state, .now_us = now_us};
  const role_changed role_before = ReportedRole(state);
  const std::uint64_t replicas_before = state.log.replicas_revision();

  std::visit(event_visitor{step}, event);
  if (FlushLog(step) && state.current_role == role::kLeader) {
    SendToAll(step);
  }

  if (role_changed role_after = ReportedRole(state);
      role_after != role_before) {
    step.effects.emplace_back(std::move(role_after));
  }
  if (state.log.replicas_revision() != replicas_before) {
    step.effects.emplace_back(replicas_changed{state.log.replicas()});
  }
  return std::move(step.effects);
}

}  // namespace wisteriaroute::raft
