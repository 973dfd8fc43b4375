#ifndef LIBWISTERIAROUTE_RAFT_RAFT_H_
#define LIBWISTERIAROUTE_RAFT_RAFT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/raft/state.h"
#include "libwisteriaroute/wire/raft_messages.h"

namespace wisteriaroute::raft {

// Events.

/** To be passed every kTickPeriodUs. */
struct tick {};

/** Seeds the randomized election timeouts. To be passed once, at the start. */
struct random_seed {
  std::uint64_t seed = 0;
};

/** A message from the authenticated replica `from`. */
struct received {
  std::string from;
  wire::raft_message message;
};

/** Answered by proposal_result. */
struct propose {
  std::uint64_t proposal_id = 0;
  std::string payload;
};

enum class replica_change : std::uint8_t {
  kAddLearner,
  kPromote,
  kRemove,
  /** Exactly the listed members become voters, the others learners. */
  kSetVoters
};

/**
 * Changes the replica set. Refused while another change is not committed.
 * Answered by proposal_result.
 */
struct change_replicas {
  std::uint64_t proposal_id = 0;
  replica_change change = replica_change::kAddLearner;
  std::string name;
  /** kAddLearner only. */
  std::string address;
  /** kAddLearner only: the leader promotes it once it has caught up. */
  bool promote_when_ready = false;
  /** kSetVoters only. */
  std::vector<std::string> voters;
  /** kSetVoters only: the voter that has two votes; empty: none. */
  std::string casting_voter;
};

/** This process is about to stop; the leader is told. */
struct announce_leaving {};

/**
 * Asks whether this replica still leads, before a linearizable read. Answered
 * by read_confirmed after a quorum acknowledged a heartbeat round that began
 * after this event, or by read_failed.
 */
struct confirm_leadership {
  std::uint64_t read_id = 0;
};

/** All `persist` effects up to `sequence` are synced to disk. */
struct persisted {
  std::uint64_t sequence = 0;
};

/**
 * Writing to disk fails, or works again. Meanwhile this replica neither leads
 * nor votes nor takes entries, but answers the leader, which shows that it is
 * live. What `persist` effects hold is still to be written, in their order.
 */
struct disk_state_changed {
  bool writable = true;
};

/** The state machine's content after it applied `index`. */
struct snapshot_made {
  std::uint64_t index = 0;
  snapshot_data data;
};

/** Ignored unless this replica leads and `to` is another voter. */
struct transfer_leadership {
  std::string to;
};

using event = std::variant<tick,
                           random_seed,
                           received,
                           propose,
                           change_replicas,
                           announce_leaving,
                           confirm_leadership,
                           persisted,
                           disk_state_changed,
                           snapshot_made,
                           transfer_leadership>;

// Effects. The caller carries them out in order.

/**
 * Write to disk in the order of the fields, sync, and answer with `persisted`.
 * Batches are numbered from 1 and written in order; several may share a sync.
 */
struct persist {
  std::uint64_t sequence = 0;
  std::optional<hard_state> metadata;
  /** Replaces the older snapshot. */
  std::optional<snapshot> new_snapshot;
  /** Remove all entries; the log continues at this index; 0: unchanged. */
  std::uint64_t reset_log_to = 0;
  /** Remove the entries at and after this index; 0: none. */
  std::uint64_t truncate_from = 0;
  std::vector<wire::log_entry> entries;
  /** Entries before this index may be deleted; 0: none. */
  std::uint64_t compact_before = 0;
};

/** Messages may be lost, delayed, repeated and reordered. */
struct send_message {
  std::string to;
  /** Empty if the replica set doesn't name the receiver. */
  std::string address;
  wire::raft_message message;
};

/** Committed entries of all kinds, in order and without gaps. */
struct apply_entries {
  std::vector<wire::log_entry> entries;
};

/** Replaces the content of the state machine. */
struct install_snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  snapshot_data data;
};

enum class proposal_status : std::uint8_t {
  kCommitted,
  /** The entry is in no log and never commits. */
  kDropped,
  /** Leadership was lost; the entry may still commit. */
  kUnknown,
};

/** When committed, emitted after the apply_entries that holds the entry. */
struct proposal_result {
  std::uint64_t proposal_id = 0;
  proposal_status status = proposal_status::kDropped;
  /** kCommitted only: position of the entry. */
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  /** kDropped only: error message. */
  std::string reason;
  /** kDropped only: retries fail until the replica set has changed. */
  bool permanent = false;
};

/**
 * This replica was still the leader after the request. Everything committed
 * before the request has been applied.
 */
struct read_confirmed {
  std::uint64_t read_id = 0;
  std::uint64_t term = 0;
  std::uint64_t commit_index = 0;
};

struct read_failed {
  std::uint64_t read_id = 0;
};

/**
 * A new leader reports itself as a candidate without a known leader until its
 * no-op is committed. By then it has applied all earlier commits.
 */
struct role_changed {
  role new_role = role::kFollower;
  std::uint64_t term = 0;
  /** Empty if no leader is known. */
  std::string leader_name;
  std::string leader_address;

  bool operator==(const role_changed&) const = default;
};

/** The replica set changed. The caller keeps links to its members. */
struct replicas_changed {
  wire::replica_list replicas;
};

using effect = std::variant<persist,
                            send_message,
                            apply_entries,
                            install_snapshot,
                            proposal_result,
                            read_confirmed,
                            read_failed,
                            role_changed,
                            replicas_changed>;

/**
 * Processes one event and returns the effects. Never throws for input from
 * other replicas.
 */
std::vector<effect> Step(raft_state& state,
                         const event& event,
                         base::time_us now_us);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_RAFT_H_
