#ifndef LIBWISTERIAROUTE_WIRE_RAFT_MESSAGES_H_
#define LIBWISTERIAROUTE_WIRE_RAFT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libwisteriaroute/wire/common.h"

namespace wisteriaroute::wire {

/** A member of the replica set, as the log records it. */
struct replica {
  std::string name;
  /** Address of the link, `host:port`. */
  std::string address;
  /**
   * Identifies one incarnation of the replica's data directory. Votes and
   * acknowledgements with another identity don't count. 0 for learners.
   */
  std::uint64_t identity = 0;
  bool voter = false;
  /** The leader promotes this learner to a voter once it has caught up. */
  bool promote_when_ready = false;
  /** This voter has two votes. At most one has, of an even number of voters. */
  bool casting_vote = false;

  bool operator==(const replica&) const = default;
};

using replica_list = std::vector<replica>;

enum class entry_kind : std::uint8_t { kNoOp, kCommand, kReplicas };

/** A log entry. The payload of kReplicas is an encoded replica_list. */
struct log_entry {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  entry_kind kind = entry_kind::kNoOp;
  std::string payload;

  bool operator==(const log_entry&) const = default;
};

struct vote_request {
  std::uint64_t term = 0;
  /** Only asks whether a vote would be granted; changes no state. */
  bool pre_vote = false;
  /** Set in a leadership transfer: voters ignore that the leader is alive. */
  bool transfer = false;
  /** The receiver's identity in the candidate's replica set. */
  std::uint64_t voter_identity = 0;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  /** Number of voters whose data directories the candidate knows to be lost. */
  std::uint32_t known_losses = 0;

  bool operator==(const vote_request&) const = default;
};

struct vote_reply {
  /** The requested term if granted, otherwise the sender's term. */
  std::uint64_t term = 0;
  bool pre_vote = false;
  bool granted = false;
  std::uint64_t identity = 0;
  /** The identity that the request asked for. If it isn't the sender's, the
   * sender's earlier data directory is lost. */
  std::uint64_t asked_identity = 0;
  /** As in the request. */
  std::uint32_t known_losses = 0;

  bool operator==(const vote_reply&) const = default;
};

struct append_request {
  std::uint64_t term = 0;
  /** Number of the leader's heartbeat round; replies echo it. */
  std::uint64_t round = 0;
  std::uint64_t previous_index = 0;
  std::uint64_t previous_term = 0;
  std::uint64_t commit_index = 0;
  std::vector<log_entry> entries;
  /** The receiver's identity in the leader's replica set; 0: not a voter. */
  std::uint64_t receiver_identity = 0;

  bool operator==(const append_request&) const = default;
};

struct append_reply {
  std::uint64_t term = 0;
  std::uint64_t identity = 0;
  std::uint64_t round = 0;
  /** False: the log doesn't match at `rejected_index`. */
  bool success = false;
  /** Success: the log is synced and equals the leader's up to this index. */
  std::uint64_t match_index = 0;
  std::uint64_t rejected_index = 0;
  /** Failure: the leader resumes replication after this index. */
  std::uint64_t hint_index = 0;
  /** As in vote_reply; 0: none. */
  std::uint64_t asked_identity = 0;
  /** The sender's process is about to stop. */
  bool leaving = false;

  bool operator==(const append_reply&) const = default;
};

struct snapshot_chunk {
  std::uint64_t term = 0;
  std::uint64_t round = 0;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  replica_list replicas;
  std::uint64_t total_bytes = 0;
  /** XXH3-64 of the whole snapshot. */
  std::uint64_t checksum = 0;
  std::uint64_t offset = 0;
  std::string data;

  bool operator==(const snapshot_chunk&) const = default;
};

struct snapshot_reply {
  std::uint64_t term = 0;
  std::uint64_t identity = 0;
  std::uint64_t round = 0;
  std::uint64_t last_index = 0;
  /** Offset of the next chunk that the leader sends. */
  std::uint64_t next_offset = 0;

  bool operator==(const snapshot_reply&) const = default;
};

/** Leader to the target of a leadership transfer: start an election now. */
struct timeout_now {
  std::uint64_t term = 0;

  bool operator==(const timeout_now&) const = default;
};

using raft_message = std::variant<vote_request,
                                  vote_reply,
                                  append_request,
                                  append_reply,
                                  snapshot_chunk,
                                  snapshot_reply,
                                  timeout_now>;

/** Encodes for a link. */
std::string Encode(const raft_message& message);

/** Throws malformed_message. */
raft_message DecodeRaft(std::string_view bytes);

/** Encodes for a log entry or a snapshot file. */
std::string EncodeReplicas(const replica_list& replicas);

/** Throws malformed_message. */
replica_list DecodeReplicas(std::string_view bytes);

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_RAFT_MESSAGES_H_
