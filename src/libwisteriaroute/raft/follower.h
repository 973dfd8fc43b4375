#ifndef LIBWISTERIAROUTE_RAFT_FOLLOWER_H_
#define LIBWISTERIAROUTE_RAFT_FOLLOWER_H_

#include <string>

#include "libwisteriaroute/raft/step_context.h"

namespace wisteriaroute::raft {

void OnAppendRequest(step_context& step,
                     const std::string& from,
                     const wire::append_request& message);
void OnSnapshotChunk(step_context& step,
                     const std::string& from,
                     const wire::snapshot_chunk& message);

/**
 * Sends the leader the index up to which the synced log matches its own.
 * `always`: even if nothing changed since the last report.
 */
void ReportMatch(step_context& step, bool always);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_FOLLOWER_H_
