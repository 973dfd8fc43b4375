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

/** What a voter contributes to a decision. */
struct contribution {
  std::int64_t value = 0;
  /** Whether it was given to this replica after this one knew of each voter in
   * `lost_voters`. */
  bool after_loss = false;
};

using contribution_of = std::function<contribution(const wire::replica&)>;

/** What counts as a quorum of a replica set. */
enum class quorum : std::uint8_t {
  kMajority,
  /** Also half of an even number of voters if one of the others is lost. */
  kHalfAfterLoss
};

/**
 * Returns the largest v for which a quorum of the set's voters contributes a
 * value of at least v; 0 without voters.
 */
std::int64_t QuorumOf(const raft_state& state,
                      const wire::replica_list& replicas,
                      quorum kind,
                      const contribution_of& of);

/**
 * As QuorumOf, of the replica sets that decide: the current one, and the one
 * before it while the change isn't known to be committed.
 */
std::int64_t QuorumValue(const raft_state& state, const contribution_of& of);

/**
 * Handles that `name`, asked for the identity `asked`, has another one, so its
 * data directory is lost. Returns whether this was news.
 */
bool NoteLostVoter(raft_state& state,
                   const std::string& name,
                   std::uint64_t asked);

/** Finds a member of the sets that decide; null if there is none. */
const wire::replica* FindDecider(const raft_state& state,
                                 std::string_view name);

/** Calls `function(replica)` for each member of the sets that decide; of one
 * that is in both, for the entry that is a voter. */
template <typename Function>
void ForEachReplica(const raft_state& state, Function function) {
  const wire::replica_list* previous = PreviousReplicas(state);
  for (const wire::replica& one : Replicas(state)) {
    const wire::replica* voter =
        one.voter || previous == nullptr ? &one : FindIn(*previous, one.name);
    function(voter != nullptr && voter->voter ? *voter : one);
  }
  if (previous != nullptr) {
    for (const wire::replica& one : *previous) {
      if (FindReplica(state, one.name) == nullptr) {
        function(one);
      }
    }
  }
}

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_STEP_CONTEXT_H_
