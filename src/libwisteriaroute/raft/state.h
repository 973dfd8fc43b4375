#ifndef LIBWISTERIAROUTE_RAFT_STATE_H_
#define LIBWISTERIAROUTE_RAFT_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/raft/log.h"
#include "libwisteriaroute/wire/raft_messages.h"

namespace wisteriaroute::raft {

inline constexpr base::time_us kTickPeriodUs = 20'000;

/** Identity of the replicas that were started with --bootstrap. */
inline constexpr std::uint64_t kBootstrapIdentity = 1;

struct raft_options {
  base::time_us heartbeat_us = 100'000;
  base::time_us election_min_us = 600'000;
  base::time_us election_max_us = 1'000'000;
  /** A snapshot chunk that isn't acknowledged is resent after this time. */
  base::time_us chunk_retry_us = 300'000;
  /** Payload limit of one append request; one entry is always allowed. */
  std::size_t max_append_bytes = 1 << 20;
  std::size_t max_append_entries = 1024;
  /** Limit of the entries sent to a replica but not acknowledged. */
  std::uint64_t window_entries = 8192;
  std::size_t max_payload_bytes = 4 << 20;
  std::size_t chunk_bytes = 512 << 10;
  /**
   * Limits of the entries, and of their payload bytes, that are kept before a
   * snapshot for replicas that are slightly behind. Replicas that are further
   * behind get the snapshot.
   */
  std::uint64_t keep_entries = 4096;
  std::size_t keep_bytes = 4 << 20;
};

enum class role : std::uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

std::string_view ToString(role value);

/** The leader's view of another replica. */
struct peer_progress {
  /** Identity that `match_index` belongs to; 0 until the first reply. */
  std::uint64_t identity = 0;
  std::uint64_t match_index = 0;
  std::uint64_t next_index = 1;
  /**
   * Append requests are sent without waiting for replies. False while the
   * leader searches for the last entry that both logs have in common.
   */
  bool pipelining = false;
  /** Highest round that this identity acknowledged. */
  std::uint64_t round = 0;
  base::time_us last_reply_us = 0;
  /** Time of the first reply of this identity; 0 if there was none. */
  base::time_us first_reply_us = 0;
  /** Its process has said that it is about to stop. */
  bool leaving = false;
  /** The leader's commit index at the first reply of this identity. */
  std::uint64_t commit_index_at_first_reply = 0;
  /** The snapshot being sent, if any. */
  std::shared_ptr<const snapshot> pending_snapshot;
  std::uint64_t snapshot_offset = 0;
  base::time_us chunk_sent_us = 0;
};

struct pending_proposal {
  std::uint64_t proposal_id = 0;
  std::uint64_t index = 0;
};

struct pending_read {
  std::uint64_t read_id = 0;
  /** The first round that began after the request. */
  std::uint64_t round = 0;
};

struct pending_persist {
  std::uint64_t sequence = 0;
  std::uint64_t last_index = 0;
};

struct leader_state {
  std::map<std::string, peer_progress> peers;
  std::uint64_t round = 0;
  std::uint64_t confirmed_round = 0;
  /** The first round that began after the latest known loss of a voter. */
  std::uint64_t round_after_loss = 1;
  base::time_us next_heartbeat_us = 0;
  base::time_us elected_us = 0;
  std::uint64_t noop_index = 0;
  std::deque<pending_proposal> proposals;
  std::deque<pending_read> reads;
  /** Target of a leadership transfer in progress; empty: none. */
  std::string transfer_to;
  base::time_us transfer_until_us = 0;
};

/** State of a replica. Created by MakeState, changed only by Step. */
struct raft_state {
  std::string self;
  raft_options options;

  // Persistent state, synced before any message that depends on it is sent.
  hard_state metadata;
  replicated_log log;

  role current_role = role::kFollower;
  std::string leader_name;
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;

  // Disk.
  bool disk_writable = true;
  std::uint64_t last_sequence = 0;
  std::uint64_t synced_sequence = 0;
  /** Sequence of the last batch that held metadata. */
  std::uint64_t metadata_sequence = 0;
  std::deque<pending_persist> unsynced;
  std::uint64_t synced_index = 0;
  /** Index of the first entry that no `persist` effect has contained yet. */
  std::uint64_t flush_from = 1;
  std::shared_ptr<const snapshot> latest_snapshot;

  // Elections.
  std::uint64_t rng_state = 0x9e3779b97f4a7c15;
  base::time_us election_deadline_us = 0;
  base::time_us last_leader_message_us = 0;
  std::set<std::string> votes;
  /** Of these, the votes that answer a request sent after the latest loss of a
   * voter was known. */
  std::set<std::string> votes_after_loss;
  bool transfer_election = false;
  /** Candidate whose vote is sent once the metadata is synced; empty: none. */
  std::string pending_vote_to;
  /** As in the request of that candidate. */
  std::uint32_t pending_vote_known_losses = 0;
  /** Name and identity of voters whose data directories are lost for certain:
   * under the same name, another identity has answered to a request that named
   * them. */
  std::set<std::pair<std::string, std::uint64_t>> lost_voters;

  // Follower.
  /** The log is known to match the leader's up to this index. */
  std::uint64_t leader_match = 0;
  std::uint64_t reported_match = 0;
  std::uint64_t last_leader_round = 0;
  std::uint64_t reported_round = 0;
  /** This replica's identity in the leader's replica set. */
  std::uint64_t asked_identity = 0;
  /** The process is about to stop; the leader is told with each reply. */
  bool leaving = false;
  /** Snapshot being received; `data` holds the bytes received so far. */
  std::optional<wire::snapshot_chunk> incoming_snapshot;

  leader_state leader;
};

/** Persistent state that a replica reads on start. */
struct stored_state {
  hard_state metadata;
  std::optional<snapshot> latest_snapshot;
  /** Contiguous; may begin before the end of the snapshot. */
  std::vector<wire::log_entry> entries;
};

/**
 * Initial state of a replica that starts without --bootstrap on an empty data
 * directory. The caller passes a new random identity. The replica neither votes
 * nor counts towards a quorum until the leader has sent it the log and promoted
 * it.
 */
stored_state MakeEmpty(std::uint64_t random_identity);

/**
 * Initial state of a replica that starts with --bootstrap. `initial` lists the
 * first voters (names and addresses) and must be the same on each of them. A
 * replica that lost its data directory must not be bootstrapped again, because
 * it may have voted before.
 */
stored_state MakeBootstrapped(const wire::replica_list& initial);

/**
 * The state of a replica after its start. The snapshot, if any, counts as
 * applied: the caller loads it into the state machine.
 */
raft_state MakeState(std::string self,
                     stored_state stored,
                     const raft_options& options = {});

/** The replica set in force: the latest one in the log, committed or not. */
const wire::replica_list& Replicas(const raft_state& state);

/** Finds a member by name; null if there is none. */
const wire::replica* FindIn(const wire::replica_list& replicas,
                            std::string_view name);

/** As FindIn, in the replica set in force. */
const wire::replica* FindReplica(const raft_state& state,
                                 std::string_view name);

/** Whether both sets have the same voters, with the same identities and votes.
 */
bool HaveSameVoters(const wire::replica_list& a, const wire::replica_list& b);

/** Whether one of the voters has two votes. */
bool HasCastingVote(const wire::replica_list& replicas);

/** Leaves each voter one vote. */
void ClearCastingVote(wire::replica_list& replicas);

/**
 * The replica set before the latest change, if it isn't known that the change
 * is committed; otherwise null.
 */
const wire::replica_list* PreviousReplicas(const raft_state& state);

/** Whether this replica, with its current identity, is a voter. */
bool IsVoter(const raft_state& state);

/** Leader only: whether a learner may become a voter at once. */
bool HasCaughtUp(const raft_state& state, const peer_progress& peer);

/**
 * Whether the log itself shows that its latest replica set is committed: it
 * repeats the voters of the set before it. Replicas that restart then need no
 * quorum of the earlier set.
 */
bool IsKnownCommitted(const raft_state& state);

/**
 * Whether this replica has no vote any more and that is certain for all others,
 * whichever of them is lost next.
 */
bool HasGivenUpVote(const raft_state& state);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_STATE_H_
