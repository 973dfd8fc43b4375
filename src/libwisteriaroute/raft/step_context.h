#ifndef LIBWISTERIAROUTE_RAFT_STEP_CONTEXT_H_
#define LIBWISTERIAROUTE_RAFT_STEP_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/raft/raft.h"

namespace wisteriaroute::raft {

/** State, time and effects of one call of Step. Internal to this library. */
struct step_context {
  raft_state& state;
  base::time_us now_us = 0;
  std::vector<effect> effects;

  /** Disk changes of this step, apart from entries. */
  persist batch;
  bool batch_needed = false;
};

void Send(step_context& step, std::string_view to, wire::raft_message message);

/** Adds the changed metadata to the `persist` effect of this step. */
void MarkMetadata(step_context& step);
/** Whether the term and vote in memory are synced to disk. */
bool MetadataSynced(const raft_state& state);

/** Removes the entries at and after `index`, in memory and on disk. */
void TruncateLog(step_context& step, std::uint64_t index);
/** Removes all entries; the log continues after the snapshot `base`. */
void ResetLog(step_context& step, const snapshot& base);

/**
 * Emits a `persist` effect if this step changed the metadata, the snapshot or
 * the log, or if new entries are ready to be written. Returns whether it
 * contains entries.
 */
bool FlushLog(step_context& step);

/** Advances the commit index and applies the newly committed entries. */
void CommitTo(step_context& step, std::uint64_t index);

/** Sets a new randomized election timeout. */
void ResetElectionDeadline(step_context& step);

/**
 * Becomes a follower of `leader` (empty: unknown) in `term`, which must not be
 * below the current one. If this replica was the leader, its pending proposals
 * end as kUnknown and its pending reads fail.
 */
void BecomeFollower(step_context& step,
                    std::uint64_t term,
                    const std::string& leader);

/**
 * Returns the largest v for which a quorum of voters has `value(voter) >= v`;
 * 0 without voters.
 */
std::int64_t QuorumValue(
    const wire::replica_list& replicas,
    const std::function<std::int64_t(const wire::replica&)>& value);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_STEP_CONTEXT_H_
