#ifndef TESTS_RAFT_CLUSTER_H_
#define TESTS_RAFT_CLUSTER_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "libwisteriaroute/raft/raft.h"

namespace wisteriaroute::raft {

/** Thrown when an invariant of Raft or of the test cluster is violated. */
class violation : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline void Require(bool condition, const std::string& what) {
  if (!condition) {
    throw violation(what);
  }
}

/** A cluster of replicas in memory. Checks Raft's invariants at every step. */
class cluster {
 public:
  struct node {
    std::string name;
    raft_state state;
    stored_state disk;
    std::deque<persist> unsynced;
    bool alive = true;
    bool disk_full = false;
    std::uint64_t applied = 0;
    /** State machine: payloads of the applied commands, one per line. */
    std::string machine;
    std::vector<wire::replica_list> seen_replicas;
  };
  struct packet {
    std::string from;
    std::string to;
    wire::raft_message message;
  };

  cluster(unsigned voters, unsigned spares, raft_options options)
      : options_(options) {
    wire::replica_list initial;
    for (unsigned i = 0; i < voters; ++i) {
      initial.push_back({.name = Name(i), .address = Name(i) + ":1"});
    }
    nodes.resize(voters + spares);
    for (unsigned i = 0; i < nodes.size(); ++i) {
      nodes[i].name = Name(i);
      nodes[i].disk =
          i < voters ? MakeBootstrapped(initial) : MakeEmpty(++last_identity_);
      Start(nodes[i]);
    }
  }

  static std::string Name(std::uint64_t i) {
    return std::string(1, static_cast<char>('a' + i));
  }
  node& Get(const std::string& name) { return nodes.at(name[0] - 'a'); }

  void Start(node& target) {
    target.alive = true;
    target.disk_full = false;
    target.unsynced.clear();
    target.machine.clear();
    target.applied = 0;
    if (target.disk.latest_snapshot) {
      target.machine = *target.disk.latest_snapshot->data;
      target.applied = target.disk.latest_snapshot->last_index;
    }
    target.state = MakeState(target.name, target.disk, options_);
    Run(target, random_seed{++last_seed_ * 7919});
  }
  /** Stops the replica; batches that weren't synced are lost on its start. */
  void Crash(node& target) { target.alive = false; }
  void Wipe(node& target) {
    Crash(target);
    target.disk = MakeEmpty(++last_identity_);
  }

  void Run(node& target, const event& input) {
    if (!target.alive) {
      return;
    }
    for (effect& one : Step(target.state, input, now_us)) {
      std::visit([&](auto& content) { Handle(target, content); }, one);
    }
    Require(target.state.applied_index == target.applied, "applied index");
  }
  void Propose(node& target) {
    const std::uint64_t id = ++last_proposal_;
    Run(target, propose{id, "p" + std::to_string(id)});
  }
  void Read(node& target) {
    const std::uint64_t id = ++last_read_;
    reads_[id] = acknowledged_index;
    Run(target, confirm_leadership{id});
  }
  /** While the disk is full, nothing is synced. */
  void SetDiskFull(node& target, bool full) {
    target.disk_full = full;
    Run(target, disk_state_changed{!full});
  }
  /** Completes the sync of the oldest unsynced batch. */
  void Sync(node& target) {
    if (target.alive && !target.disk_full && !target.unsynced.empty()) {
      const persist batch = std::move(target.unsynced.front());
      target.unsynced.pop_front();
      Store(target.disk, batch);
      Run(target, persisted{batch.sequence});
    }
  }
  void Snapshot(node& target) {
    Run(target,
        snapshot_made{target.applied,
                      std::make_shared<const std::string>(target.machine)});
  }
  void Deliver(std::size_t i, bool keep_copy) {
    const packet one = network.at(i);
    if (!keep_copy) {
      network[i] = std::move(network.back());
      network.pop_back();
    }
    if (!cut_links.contains({one.from, one.to})) {
      Run(Get(one.to), received{one.from, one.message});
    }
  }

  /** Runs for `duration`, syncing all batches and delivering all messages. */
  void RunFor(base::time_us duration) {
    for (const base::time_us end = now_us + duration; now_us < end;
         now_us += kTickPeriodUs) {
      for (node& one : nodes) {
        Run(one, tick{});
      }
      SyncAndDeliverAll();
    }
  }
  void SyncAndDeliverAll() {
    for (int round = 0; round < 50; ++round) {
      for (node& one : nodes) {
        while (one.alive && !one.disk_full && !one.unsynced.empty()) {
          Sync(one);
        }
      }
      std::vector<packet> batch;
      batch.swap(network);
      for (const packet& one : batch) {
        if (!cut_links.contains({one.from, one.to}) && !is_lost(one)) {
          wire::raft_message copy = wire::DecodeRaft(wire::Encode(one.message));
          Require(copy == one.message, "encoding of a message");
          Run(Get(one.to), received{one.from, std::move(copy)});
        }
      }
    }
  }

  node* Leader() {
    node* leader = nullptr;
    for (node& one : nodes) {
      if (one.alive && one.state.current_role == role::kLeader &&
          (leader == nullptr ||
           one.state.metadata.term > leader->state.metadata.term)) {
        leader = &one;
      }
    }
    return leader;
  }

  /** If two logs have the same term at an index, they match up to it. */
  void CheckLogMatching() const {
    for (const node& a : nodes) {
      for (const node& b : nodes) {
        const auto& x = a.state.log;
        const auto& y = b.state.log;
        bool matched = false;
        const std::uint64_t first = std::max(x.first_index(), y.first_index());
        for (std::uint64_t i = std::min(x.last_index(), y.last_index());
             i >= first && i > 0; --i) {
          matched = matched || x.TermAt(i) == y.TermAt(i);
          Require(!matched || x.At(i) == y.At(i), "log matching");
        }
      }
    }
  }

  /**
   * Whether in every replica set that may be in force a quorum, not counting
   * `without`, has kept its data directories. If not, the cluster may be unable
   * to make progress. `halves`: half of an even number counts as a quorum if
   * the set is in force for certain.
   */
  bool HasQuorumOfDisks(const node* without = nullptr,
                        bool halves = false) const {
    const auto kept = [&](const wire::replica_list& set) {
      const bool half = halves && HaveSameVoters(set, certain_set_);
      return QuorumValue(set, without, half) || set.empty();
    };
    return std::all_of(nodes.begin(), nodes.end(), [&](const node& one) {
      const auto& log =
          one.alive ? one.state.log : MakeState("", one.disk, {}).log;
      bool good = kept(log.replicas());
      for (std::uint64_t i = log.first_index() - 1; i <= log.last_index();
           ++i) {
        good = good && (i < last_committed_set_ || kept(log.ReplicasAt(i)));
      }
      return good || log.last_index() < last_committed_set_;
    });
  }

  std::vector<node> nodes;
  std::vector<packet> network;
  /** Selects messages that are lost, besides those on `cut_links`. */
  std::function<bool(const packet&)> is_lost = [](const packet&) {
    return false;
  };
  std::set<std::pair<std::string, std::string>> cut_links;
  base::time_us now_us = 1'000'000;
  std::uint64_t acknowledged_index = 0;
  std::uint64_t reads_confirmed = 0;
  /** Applied entries by index. */
  std::map<std::uint64_t, wire::log_entry> committed;
  /** Payloads whose proposals were answered with kCommitted. */
  std::vector<std::string> acknowledged;
  std::map<std::uint64_t, proposal_result> results;

 private:
  bool QuorumValue(const wire::replica_list& set,
                   const node* without,
                   bool half_counts) const {
    std::size_t votes = 0;
    std::size_t live = 0;
    for (const wire::replica& one : set) {
      const node& host = nodes.at(one.name[0] - 'a');
      const std::size_t own = !one.voter ? 0 : one.casting_vote ? 2 : 1;
      votes += own;
      live += &host != without && host.disk.metadata.identity == one.identity
                  ? own
                  : 0;
    }
    return 2 * live > votes || (half_counts && 2 * live == votes);
  }

  static void Store(stored_state& disk, const persist& batch) {
    if (batch.metadata) {
      disk.metadata = *batch.metadata;
    }
    if (batch.new_snapshot) {
      disk.latest_snapshot = *batch.new_snapshot;
    }
    auto& entries = disk.entries;
    if (batch.reset_log_to != 0) {
      entries.clear();
    }
    std::erase_if(entries, [&](const auto& entry) {
      return entry.index < batch.compact_before ||
             (batch.truncate_from != 0 && entry.index >= batch.truncate_from);
    });
    for (const wire::log_entry& entry : batch.entries) {
      Require(entries.empty() || entries.back().index + 1 == entry.index,
              "entries on disk aren't contiguous");
      entries.push_back(entry);
    }
  }

  void Handle(node& target, persist& content) {
    target.unsynced.push_back(std::move(content));
  }
  void Handle(node& target, send_message& content) {
    network.push_back({target.name, content.to, std::move(content.message)});
  }
  void Handle(node& target, apply_entries& content) {
    for (const wire::log_entry& entry : content.entries) {
      Require(entry.index == ++target.applied, "gap in applied entries");
      const auto [known, added] = committed.emplace(entry.index, entry);
      first_applied_term_.emplace(entry.index, target.state.metadata.term);
      Require(known->second == entry, "state machine safety");
      if (entry.kind == wire::entry_kind::kCommand) {
        target.machine += entry.payload + "\n";
      } else if (entry.kind == wire::entry_kind::kReplicas) {
        NoteCommittedSet(entry);
      }
    }
  }
  void NoteCommittedSet(const wire::log_entry& entry) {
    if (entry.index <= latest_set_index_) {
      return;
    }
    wire::replica_list set = wire::DecodeReplicas(entry.payload);
    // A set is in force for certain once the log repeats it.
    if (HaveSameVoters(set, latest_set_)) {
      last_committed_set_ = entry.index;
      certain_set_ = set;
    }
    latest_set_index_ = entry.index;
    latest_set_ = std::move(set);
  }
  void Handle(node& target, install_snapshot& content) {
    Require(content.index > target.applied, "snapshot goes back");
    target.applied = content.index;
    target.machine = *content.data;
    std::string expected;
    for (const auto& [index, entry] : committed) {
      if (index <= content.index && entry.kind == wire::entry_kind::kCommand) {
        expected += entry.payload + "\n";
      }
    }
    Require(target.machine == expected, "content of a snapshot");
  }
  void Handle(node&, proposal_result& content) {
    Require(!results.contains(content.proposal_id), "second result");
    results[content.proposal_id] = content;
    if (content.status == proposal_status::kCommitted) {
      acknowledged_index = std::max(acknowledged_index, content.index);
      const auto& entry = committed.at(content.index);
      Require(entry.kind != wire::entry_kind::kCommand ||
                  entry.payload == "p" + std::to_string(content.proposal_id),
              "a proposal was acknowledged at the wrong index");
      acknowledged.push_back(entry.payload);
    } else if (content.status == proposal_status::kDropped) {
      for (const auto& [index, entry] : committed) {
        Require(entry.payload != "p" + std::to_string(content.proposal_id),
                "a dropped proposal was committed");
      }
    }
  }
  void Handle(node&, read_confirmed& content) {
    Require(content.commit_index >= reads_.at(content.read_id),
            "a read missed an acknowledged entry");
    ++reads_confirmed;
  }
  void Handle(node&, read_failed&) {}
  void Handle(node& target, replicas_changed& content) {
    target.seen_replicas.push_back(content.replicas);
  }
  void Handle(node& target, role_changed& content) {
    if (content.new_role != role::kLeader) {
      return;
    }
    const auto [known, added] = leaders_.emplace(content.term, target.name);
    Require(known->second == target.name, "election safety");
    for (const auto& [index, entry] : committed) {
      const auto& log = target.state.log;
      // Delayed votes may elect a leader of an older term; it may lack entries
      // that were committed in a later term.
      const bool holds =
          index <= log.last_index() &&
          (index < log.first_index() || log.TermAt(index) == entry.term);
      Require(holds || first_applied_term_.at(index) >= content.term,
              "leader completeness");
      // A leader that hasn't applied all committed entries refuses valid
      // publications as stale.
      Require(index <= target.applied ||
                  first_applied_term_.at(index) >= content.term,
              "a leader that hasn't applied what was committed");
    }
  }

  raft_options options_;
  std::uint64_t last_identity_ = 100;
  std::uint64_t last_seed_ = 0;
  std::uint64_t last_proposal_ = 0;
  std::uint64_t last_read_ = 0;
  std::uint64_t last_committed_set_ = 0;
  std::uint64_t latest_set_index_ = 0;
  wire::replica_list latest_set_;
  /** The latest set that the committed log repeats. */
  wire::replica_list certain_set_;
  std::map<std::uint64_t, std::string> leaders_;
  /** Term of the replica that first applied an entry, by index. */
  std::map<std::uint64_t, std::uint64_t> first_applied_term_;
  std::map<std::uint64_t, std::uint64_t> reads_;
};

}  // namespace wisteriaroute::raft

#endif  // TESTS_RAFT_CLUSTER_H_
