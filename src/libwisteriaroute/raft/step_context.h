#ifndef LIBWISTERIAROUTE_RAFT_STEP_CONTEXT_H_
#define LIBWISTERIAROUTE_RAFT_STEP_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/raft/raft.h"

namespace wisteriaroute::raft {

/** One step in progress. Internal to the reducer. */
struct step_context {
  raft_state& state;
  base::time_us now_us = 0;
  std::vector<effect> effects;

  /** What this step adds to the disk, apart from entries. */
  persist batch;
  bool batch_needed = false;
};

void Send(step_context& step, std::string_view to, wire::raft_message message);

/** The metadata changed and must be synced. */
void MarkMetadata(step_context& step);
/** Whether the term and vote in memory are those on disk. */
bool MetadataSynced(const raft_state& state);

/** Drops entries from `index` on, in memory and on disk. */
void TruncateLog(step_context& step, std::uint64_t index);
/** Replaces the whole log by the position after a snapshot. */
void ResetLog(step_context& step, const snapshot& base);

/**
 * Emits one `persist` effect with what is due. Returns whether entries were
 * handed over.
 */
bool FlushLog(step_context& step);

/** Raises the commit index and applies what is newly committed. */
void CommitTo(step_context& step, std::uint64_t index);

/** Sets a new randomized election timeout. */
void ResetElectionDeadline(step_context& step);

/**
 * Follows `leader` (empty: unknown) in `term`, which isn't below the current
 * one. A leader gives up its proposals and reads.
 */
void BecomeFollower(step_context& step,
                    std::uint64_t term,
                    const std::string& leader);

/**
 * The value that a majority of voters has reached: the largest v for which a
 * quorum has `value(voter) >= v`. 0 without voters.
 */
std::int64_t QuorumValue(
    const wire::replica_list& replicas,
    const std::function<std::int64_t(const wire::replica&)>& value);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_STEP_CONTEXT_H_
