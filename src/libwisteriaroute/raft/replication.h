#ifndef LIBWISTERIAROUTE_RAFT_REPLICATION_H_
#define LIBWISTERIAROUTE_RAFT_REPLICATION_H_

#include <string>

#include "libwisteriaroute/raft/step_context.h"

namespace wisteriaroute::raft {

void BecomeLeader(step_context& step);

/** Heartbeats, the check for a quorum, and retries. */
void LeaderTick(step_context& step);

/** Adds an entry of the current term to the leader's log. */
std::uint64_t AppendAsLeader(step_context& step,
                             wire::entry_kind kind,
                             std::string payload);

/** Sends every replica what is new, within its window. */
void SendToAll(step_context& step);

/** Commits what a quorum has synced; answers proposals and reads. */
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
