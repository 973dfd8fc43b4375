#ifndef LIBWISTERIAROUTE_RAFT_REPLICATION_H_
#define LIBWISTERIAROUTE_RAFT_REPLICATION_H_

#include <string>

#include "libwisteriaroute/raft/step_context.h"

namespace wisteriaroute::raft {

void BecomeLeader(step_context& step);

/** Ends the leadership and tells the voter that holds most to take over. */
void StepDown(step_context& step);

/**
 * Sends heartbeats, resends snapshot chunks, maintains the replica set and ends
 * a leadership transfer that timed out. Steps down if no quorum replied within
 * the longest election timeout.
 */
void LeaderTick(step_context& step);

/** Appends an entry of the current term; returns its index. */
std::uint64_t AppendAsLeader(step_context& step,
                             wire::entry_kind kind,
                             std::string payload);

/** Sends new entries to every replica, within its window. */
void SendToAll(step_context& step);

/**
 * Commits the entries that a quorum has synced, and answers proposals and
 * reads. Steps down once the replica set without this voter is committed.
 */
void AdvanceCommit(step_context& step);

void OnPropose(step_context& step, const propose& event);
void OnConfirmLeadership(step_context& step, const confirm_leadership& event);
void OnTransferLeadership(step_context& step, const transfer_leadership& event);

void OnAppendReply(step_context& step,
                   const std::string& from,
                   const wire::append_reply& message);
void OnSnapshotReply(step_context& step,
                     const std::string& from,
                     const wire::snapshot_reply& message);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_REPLICATION_H_
