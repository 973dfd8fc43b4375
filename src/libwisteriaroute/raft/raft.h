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

/** Due every kTickPeriodUs. */
struct tick {};

/** Sets the source of randomized election timeouts. Due once, at the start. */
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

enum class replica_change : std::uint8_t { kAddLearner, kPromote, kRemove };

/**
 * Changes the replica set; one change at a time, refused while another one is
 * not committed. Answered by proposal_result.
 */
struct change_replicas {
  std::uint64_t proposal_id = 0;
  replica_change change = replica_change::kAddLearner;
  std::string name;
  /** kAddLearner only. */
  std::string address;
  /** kAddLearner only: promoted by the leader when it has caught up. */
  bool promote_when_ready = false;
};

/**
 * Asks whether this replica leads. Answered by read_confirmed after a quorum
 * acknowledged a round that began after this event, or by read_failed.
 */
struct confirm_leadership {
  std::uint64_t read_id = 0;
};

/** All `persist` effects up to this sequence are synced to disk. */
struct persisted {
  std::uint64_t sequence = 0;
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
                           confirm_leadership,
                           persisted,
                           snapshot_made,
                           transfer_leadership>;

// Effects, to be carried out in order.

/**
 * Write to disk in the order of the fields, sync, and answer with `persisted`.
 * Batches are numbered from 1 and written in order; several may share a sync.
 */
struct persist {
  std::uint64_t sequence = 0;
  std::optional<hard_state> metadata;
  /** Replaces the older snapshot. */
  std::optional<snapshot> new_snapshot;
  /** The log is empty and continues at this index; 0: unchanged. */
  std::uint64_t reset_log_to = 0;
  /** Entries from this index on are removed; 0: none. */
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

/** Committed entries in order, without gaps; all kinds. */
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
  /** It is in no log and never commits. */
  kDropped,
  /** Leadership was lost; it may still commit. */
  kUnknown,
};

/** Follows the apply_entries that holds the entry. */
struct proposal_result {
  std::uint64_t proposal_id = 0;
  proposal_status status = proposal_status::kDropped;
  /** kCommitted: where. */
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  /** kDropped: the cause in a few words. */
  std::string reason;
  /** kDropped: no repetition succeeds until the replicas have changed. */
  bool permanent = false;
};

/** Everything committed before the request has been applied. */
struct read_confirmed {
  std::uint64_t read_id = 0;
  std::uint64_t term = 0;
  std::uint64_t commit_index = 0;
};

struct read_failed {
  std::uint64_t read_id = 0;
};

/**
 * A replica is called the leader once its no-op is committed, so that it has
 * applied all that was committed before; until then no leader is known to it.
 */
struct role_changed {
  role new_role = role::kFollower;
  std::uint64_t term = 0;
  /** Empty if no leader is known. */
  std::string leader_name;
  std::string leader_address;

  bool operator==(const role_changed&) const = default;
};

/** The replica set in force changed; links are kept to its members. */
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

/** One step of a replica. Never throws for input from other replicas. */
std::vector<effect> Step(raft_state& state,
                         const event& event,
                         base::time_us now_us);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_RAFT_H_
