#ifndef LIBWISTERIAROUTE_RAFT_LOG_H_
#define LIBWISTERIAROUTE_RAFT_LOG_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "libwisteriaroute/wire/raft_messages.h"

namespace wisteriaroute::raft {

/** The small part of the durable state, replaced as a whole. */
struct hard_state {
  std::uint64_t term = 0;
  /** Candidate that got this replica's vote in `term`; empty: none. */
  std::string voted_for;
  /** Random, chosen when the data directory was created. */
  std::uint64_t identity = 0;

  bool operator==(const hard_state&) const = default;
};

using snapshot_data = std::shared_ptr<const std::string>;

/** Content of the state machine after `last_index`. */
struct snapshot {
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  /** The replica set at last_index. */
  wire::replica_list replicas;
  snapshot_data data;
};

/** The log in memory, from the base of the last compaction on. */
class replicated_log {
 public:
  replicated_log() = default;

  /** Empty, continues after `base_index`, whose replica set is given. */
  void Reset(std::uint64_t base_index,
             std::uint64_t base_term,
             wire::replica_list replicas);

  std::uint64_t first_index() const { return base_index_ + 1; }
  std::uint64_t last_index() const { return base_index_ + entries_.size(); }
  std::uint64_t last_term() const;

  /** Whether the term at `index` is known: at or after the base. */
  bool Knows(std::uint64_t index) const;
  std::uint64_t TermAt(std::uint64_t index) const;
  const wire::log_entry& At(std::uint64_t index) const;

  /** Throws malformed_message for an undecodable replica set. */
  void Append(wire::log_entry entry);
  /** Removes `index` and all that follow. */
  void TruncateFrom(std::uint64_t index);
  /** Removes all before `index`. */
  void CompactBefore(std::uint64_t index);

  /** Entries from `from` to before `to`; fewer if they exceed `max_bytes`. */
  std::vector<wire::log_entry> Slice(std::uint64_t from,
                                     std::uint64_t to,
                                     std::size_t max_bytes) const;

  /** The replica set in force at `index`, which is at or after the base. */
  const wire::replica_list& ReplicasAt(std::uint64_t index) const;
  /** The replica set in force, the index of its entry, and a change count. */
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
