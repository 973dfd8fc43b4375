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
  /** A snapshot chunk that isn't acknowledged is sent again after this. */
  base::time_us chunk_retry_us = 300'000;
  /** Of the entries in one append; one entry is always allowed. */
  std::size_t max_append_bytes = 1 << 20;
  std::size_t max_append_entries = 1024;
  /** Entries sent to a replica but not acknowledged. */
  std::uint64_t window_entries = 8192;
  std::size_t max_payload_bytes = 4 << 20;
  std::size_t chunk_bytes = 512 << 10;
  /**
   * Entries kept before a snapshot, for replicas that are slightly behind, and
   * their bytes; replicas that are further behind get the snapshot.
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

/** What the leader knows of another replica. */
struct peer_progress {
  /** Identity that `match_index` belongs to; 0 until the first reply. */
  std::uint64_t identity = 0;
  std::uint64_t match_index = 0;
  std::uint64_t next_index = 1;
  /** Appends are pipelined; false while the match is being searched. */
  bool pipelining = false;
  /** Highest round that this identity acknowledged. */
  std::uint64_t round = 0;
  base::time_us last_reply_us = 0;
  /** Commit index when this identity was first heard of. */
  std::uint64_t commit_at_join = 0;
  /** The snapshot being sent, if any. */
  std::shared_ptr<const snapshot> sending;
  std::uint64_t offset = 0;
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
  base::time_us next_heartbeat_us = 0;
  base::time_us elected_us = 0;
  std::uint64_t noop_index = 0;
  std::deque<pending_proposal> proposals;
  std::deque<pending_read> reads;
  /** Successor, while leadership is being transferred. */
  std::string transfer_to;
  base::time_us transfer_until_us = 0;
};

/** A replica. Made by MakeState, changed only by Step. */
struct raft_state {
  std::string self;
  raft_options options;

  // Synced before anything that depends on it is sent.
  hard_state hard;
  replicated_log log;

  role current_role = role::kFollower;
  std::string leader_name;
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;

  // Disk.
  std::uint64_t last_sequence = 0;
  std::uint64_t synced_sequence = 0;
  /** Sequence of the last batch that held metadata. */
  std::uint64_t metadata_sequence = 0;
  std::deque<pending_persist> unsynced;
  std::uint64_t synced_index = 0;
  /** Entries from here on aren't handed to a `persist` effect yet. */
  std::uint64_t flush_from = 1;
  std::shared_ptr<const snapshot> latest_snapshot;

  // Elections.
  std::uint64_t random = 0x9e3779b97f4a7c15;
  base::time_us election_deadline_us = 0;
  base::time_us leader_heard_us = 0;
  std::set<std::string> votes;
  bool transfer_election = false;
  /** Candidate whose granted vote waits for the sync of the metadata. */
  std::string unsent_vote;

  // Follower.
  /** The log equals the leader's up to here. */
  std::uint64_t leader_match = 0;
  std::uint64_t reported_match = 0;
  std::uint64_t seen_round = 0;
  std::uint64_t reported_round = 0;
  /** Snapshot being received; `data` grows. */
  std::optional<wire::snapshot_chunk> incoming;

  leader_state leader;
};

/** What a replica finds on its disk. */
struct stored_state {
  hard_state hard;
  std::optional<snapshot> latest_snapshot;
  /** Contiguous; may begin before the end of the snapshot. */
  std::vector<wire::log_entry> entries;
};

/**
 * Content of an empty data directory. Without --bootstrap pass a new random
 * identity: the replica then neither votes nor counts until the leader has
 * sent it the log and promoted it.
 */
stored_state MakeEmpty(std::uint64_t random_identity);

/**
 * With --bootstrap: `initial` are the first voters (names and addresses), the
 * same on each of them. A data directory that was lost must not be
 * bootstrapped again, because the replica may have voted before.
 */
stored_state MakeBootstrapped(const wire::replica_list& initial);

/** The state after a start. Its snapshot, if any, is already applied. */
raft_state MakeState(std::string self,
                     stored_state stored,
                     const raft_options& options = {});

/** The replica set in force: that of the last such entry in the log. */
const wire::replica_list& Replicas(const raft_state& state);

const wire::replica* FindReplica(const raft_state& state,
                                 std::string_view name);

/** Whether the replica set names this replica, with its identity, a voter. */
bool IsVoter(const raft_state& state);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_STATE_H_
