#ifndef LIBWISTERIAROUTE_RAFT_ELECTION_H_
#define LIBWISTERIAROUTE_RAFT_ELECTION_H_

#include <string>

#include "libwisteriaroute/raft/step_context.h"

namespace wisteriaroute::raft {

/** Starts a pre-vote if the election timeout has expired. */
void ElectionTick(step_context& step);

/**
 * Increments the term and votes for itself. OnMetadataSynced sends the vote
 * requests once this vote is on disk. `transfer`: started by a leadership
 * transfer; voters then grant their vote although a leader is live.
 */
void StartElection(step_context& step, bool transfer);

/**
 * Sends the vote or the vote requests that were withheld until the metadata
 * was on disk.
 */
void OnMetadataSynced(step_context& step);

void OnVoteRequest(step_context& step,
                   const std::string& from,
                   const wire::vote_request& message);
void OnVoteReply(step_context& step,
                 const std::string& from,
                 const wire::vote_reply& message);
void OnTimeoutNow(step_context& step,
                  const std::string& from,
                  const wire::timeout_now& message);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_ELECTION_H_
