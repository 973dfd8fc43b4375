#ifndef LIBWISTERIAROUTE_RAFT_LOG_H_
#define LIBWISTERIAROUTE_RAFT_LOG_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "libwisteriaroute/wire/raft_messages.h"

namespace wisteriaroute::raft {

/** Persistent state besides the log and the snapshot; replaced as a whole. */
struct hard_state {
  std::uint64_t term = 0;
  /** Candidate that this replica voted for in `term`; empty: none. */
  std::string voted_for;
  /** Random, chosen when the data directory was created. */
  std::uint64_t identity = 0;

  bool operator==(const hard_state&) const = default;
};

using snapshot_data = std::shared_ptr<const std::string>;

/** Content of the state machine after it applied `last_index`. */
struct snapshot {
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  /** The replica set at last_index. */
  wire::replica_list replicas;
  snapshot_data data;
};

/**
 * The part of the log that is in memory: the entries after the base, which is
 * the last entry removed by compaction or covered by an installed snapshot.
 */
class replicated_log {
 public:
  replicated_log() = default;

  /**
   * Removes all entries; the next one follows `base_index`. `replicas` is the
   * replica set in force at `base_index`.
   */
  void Reset(std::uint64_t base_index,
             std::uint64_t base_term,
             wire::replica_list replicas);

  std::uint64_t first_index() const { return base_index_ + 1; }
  std::uint64_t last_index() const { return base_index_ + entries_.size(); }
  std::uint64_t last_term() const;

  /** Whether `index` lies between the base and the last entry, inclusive. */
  bool HasTermAt(std::uint64_t index) const;
  std::uint64_t TermAt(std::uint64_t index) const;
  const wire::log_entry& At(std::uint64_t index) const;

  /** Throws malformed_message if a replica set can't be decoded. */
  void Append(wire::log_entry entry);
  /** Removes the entries at and after `index`. */
  void TruncateFrom(std::uint64_t index);
  /** Removes the entries before `index`. */
  void CompactBefore(std::uint64_t index);

  /**
   * Entries in [from, to), cut off before the payloads exceed `max_bytes`. The
   * first entry is always returned.
   */
  std::vector<wire::log_entry> Slice(std::uint64_t from,
                                     std::uint64_t to,
                                     std::size_t max_bytes) const;

  /** The replica set in force at `index`, which is at or after the base. */
  const wire::replica_list& ReplicasAt(std::uint64_t index) const;
  /**
   * The latest replica set in the log, the index of its entry, and a counter
   * that grows whenever the set changes.
   */
  const wire::replica_list& replicas() const;
  std::uint64_t replicas_index() const;
  std::uint64_t replicas_revision() const { return replicas_revision_; }

 private:
  struct replica_version {
    std::uint64_t index = 0;
    wire::replica_list replicas;
  };

  std::uint64_t base_index_ = 0;
  std::uint64_t base_term_ = 0;
  std::deque<wire::log_entry> entries_;
  /** Ascending; the first is in force at the base. */
  std::vector<replica_version> versions_{replica_version{}};
  std::uint64_t replicas_revision_ = 0;
};

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_LOG_H_
