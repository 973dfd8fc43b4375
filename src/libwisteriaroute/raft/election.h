#ifndef LIBWISTERIAROUTE_RAFT_ELECTION_H_
#define LIBWISTERIAROUTE_RAFT_ELECTION_H_

#include <string>

#include "libwisteriaroute/raft/step_context.h"

namespace wisteriaroute::raft {

/** Starts a pre-vote if the election timeout is over. */
void ElectionTick(step_context& step);

/** Raises the term and asks for votes as soon as its own vote is synced. */
void StartElection(step_context& step, bool transfer);

/** Continues what waited for the sync of the metadata. */
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
