#ifndef TESTS_CONTROL_FAKE_CLUSTER_H_
#define TESTS_CONTROL_FAKE_CLUSTER_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

/** Probabilities and delays of the faults in a schedule. */
struct fault_options {
  double loss = 0;
  double duplicate = 0;
  /** Messages on one link may arrive out of order. */
  bool reorder = false;
  double slow = 0.02;
  base::time_us slow_us = 1'000'000;
  double proposal_loss = 0.01;
  /** Maximum time until a replaced leader learns that it was replaced. */
  base::time_us deposed_after_us = 6'000'000;
  /** Milliseconds of wall-clock time per millisecond of the schedule. */
  base::time_ms wall_scale = 1;
};

/**
 * Control replicas above an ideal log: the proposals of the actual leader are
 * committed in order, and a replaced leader believes for a random time that it
 * still leads. Clients can have links to every replica.
 */
class fake_cluster {
 public:
  struct client {
    std::function<void(std::size_t replica, net::link_id)> on_open;
    std::function<void(net::link_id, const wire::control_message&)> on_message;
    std::function<void(net::link_id)> on_close;
  };

  fake_cluster(std::uint64_t seed, const fault_options& faults)
      : random(seed), faults_(faults), replicas_(3) {
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      replicas_[i].state.options.incarnation = 100 + i;
      replicas_[i].rate = 0.97 + 0.06 * Fraction();
      Tick(i);
    }
    Elect(0);
  }

  std::mt19937_64 random;
  base::time_us now_us = 1'000'000;
  /** Called after each step of a replica, with its local clock. */
  std::function<void(const replica_state&, base::time_us local_us)> on_step;

  double Fraction() {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }
  bool Chance(double probability) { return Fraction() < probability; }
  base::time_us Upto(base::time_us limit) {
    return static_cast<base::time_us>(Fraction() * static_cast<double>(limit));
  }
  std::uint64_t Pick(std::uint64_t count) { return random() % count; }

  void At(base::time_us delay, std::function<void()> task) {
    tasks_.emplace(now_us + delay, std::move(task));
  }

  void RunFor(base::time_us duration) {
    const base::time_us end = now_us + duration;
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      now_us = std::max(now_us, tasks_.begin()->first);
      const std::function<void()> task = std::move(tasks_.begin()->second);
      tasks_.erase(tasks_.begin());
      task();
    }
    now_us = end;
  }

  std::size_t leader() const { return leader_; }
  std::uint64_t term() const { return term_; }
  const replica_state& state(std::size_t i) const { return replicas_[i].state; }
  base::time_ms WallMs() const {
    return 1'000'000'000 + now_us / 1'000 * faults_.wall_scale;
  }
  base::time_us Delay() {
    return Chance(faults_.slow) ? Upto(faults_.slow_us) : 100 + Upto(4'000);
  }
  base::time_us LocalUs(std::size_t i) const {
    return static_cast<base::time_us>(static_cast<double>(now_us) *
                                      replicas_[i].rate);
  }

  std::size_t AddClient(client callbacks) {
    clients_.push_back(std::move(callbacks));
    return clients_.size() - 1;
  }

  net::link_id Open(std::size_t client_index, std::size_t replica) {
    const net::link_id id = next_link_++;
    links_[id] = {client_index, replica};
    if (clients_[client_index].on_open) {
      clients_[client_index].on_open(replica, id);
    }
    return id;
  }

  /** Closes a link. The client is notified at once, the replica later. */
  void Close(net::link_id id) {
    const auto found = links_.find(id);
    if (found == links_.end()) {
      return;
    }
    const fake_link closed = found->second;
    links_.erase(found);
    if (clients_[closed.client].on_close) {
      clients_[closed.client].on_close(id);
    }
    At(Delay(), [this, id, replica = closed.replica] {
      Deliver(replica, link_closed{id});
    });
  }

  std::vector<net::link_id> links() const {
    std::vector<net::link_id> ids;
    for (const auto& [id, link] : links_) {
      ids.push_back(id);
    }
    return ids;
  }

  void SendToReplica(net::link_id id, wire::control_message message) {
    Transfer(id, std::move(message), &fake_link::to_replica_us, true);
  }

  /** Elects a leader. The previous one is notified after a random time. */
  void Elect(std::size_t next) {
    const std::size_t old = leader_;
    CommitSomePending();
    leader_ = next;
    const std::uint64_t term = ++term_;
    Deliver(next, became_leader{term});
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      if (i == next) {
        continue;
      }
      const base::time_us delay =
          i == old ? Upto(faults_.deposed_after_us) : Delay();
      if (i == old) {
        replicas_[i].isolated_until_us = now_us + delay;
      }
      At(delay, [this, i, term] {
        if (term == term_ && leader_ != i) {
          Deliver(i, became_follower{Name(leader_), Name(leader_)});
        }
      });
    }
  }

  /** From now on no message is lost, very late, duplicated or reordered. */
  void EndFaults() {
    faults_ = {.slow = 0, .proposal_loss = 0, .wall_scale = faults_.wall_scale};
  }

  /** Restores a replica from a snapshot of its own state. */
  void Reload(std::size_t i) {
    if (i != leader_) {
      Deliver(i, became_follower{});
    }
    Deliver(i, state_installed{replicas_[i].applied,
                               EncodeState(replicas_[i].state.durable)});
  }

  void Deliver(std::size_t i, const replica_event& event) {
    replica& target = replicas_[i];
    const step_time now{LocalUs(i), WallMs()};
    for (replica_effect& effect : Step(target.state, event, now)) {
      Run(i, effect);
    }
    if (on_step) {
      on_step(target.state, now.now_us);
    }
  }

  static std::string Name(std::size_t i) {
    return "control-" + std::to_string(i);
  }

 private:
  struct replica {
    replica_state state;
    double rate = 1;
    std::size_t applied = 0;
    /** Until then a replaced leader in a partition doesn't see the new term. */
    base::time_us isolated_until_us = 0;
  };
  struct fake_link {
    std::size_t client = 0;
    std::size_t replica = 0;
    base::time_us to_replica_us = 0;
    base::time_us to_client_us = 0;
  };
  struct log_record {
    /** Term of the leader that committed it. */
    std::uint64_t term = 0;
    std::string payload;
  };

  void Tick(std::size_t i) {
    At(kReplicaTickUs, [this, i] {
      Deliver(i, replica_tick{});
      Tick(i);
    });
  }

  void Transfer(net::link_id id,
                wire::control_message message,
                base::time_us fake_link::*last_us,
                bool to_replica) {
    const auto found = links_.find(id);
    // A real link loses no messages while it is up. Most messages are repeated
    // by their senders, so losing them only makes schedules harder. A hello
    // isn't repeated and is therefore never lost here.
    const bool reliable = std::holds_alternative<wire::session_hello>(message);
    if (found == links_.end() || (!reliable && Chance(faults_.loss))) {
      return;
    }
    const int copies = !reliable && Chance(faults_.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      base::time_us due = now_us + Delay();
      if (!faults_.reorder || reliable) {
        due = std::max(due, found->second.*last_us);
        found->second.*last_us = due;
      }
      tasks_.emplace(due, [this, id, message, to_replica] {
        const auto link = links_.find(id);
        if (link == links_.end()) {
          return;
        }
        if (to_replica) {
          Deliver(link->second.replica, link_received{id, message});
        } else if (const auto& handler =
                       clients_[link->second.client].on_message) {
          handler(id, message);
        }
      });
    }
  }

  void Run(std::size_t i, replica_effect& effect) {
    if (auto* send = std::get_if<send_to_links>(&effect)) {
      for (const net::link_id id : send->links) {
        Transfer(id, send->message, &fake_link::to_client_us, false);
      }
    } else if (auto* proposed = std::get_if<propose_command>(&effect)) {
      Propose(i, std::move(*proposed));
    } else if (auto* confirm = std::get_if<confirm_leader>(&effect)) {
      Confirm(i, confirm->confirm_id);
    }
  }

  void Propose(std::size_t i, propose_command proposed) {
    if (i != leader_ || Chance(faults_.proposal_loss)) {
      // The proposal of a replaced leader is never committed. A failure is
      // reported after a delay, and only to the actual leader.
      At(Delay(), [this, i, id = proposed.proposal_id] {
        if (i == leader_) {
          Deliver(i, proposal_failed{id, "lost"});
        }
      });
      return;
    }
    pending_.push_back(std::move(proposed.payload));
    At(Delay(), [this, term = term_] {
      if (term == term_ && !pending_.empty()) {
        CommitFirst();
      }
    });
  }

  void CommitFirst() {
    log_.push_back({term_, std::move(pending_.front())});
    pending_.pop_front();
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      At(Delay(), [this, i, count = log_.size()] { ApplyUpTo(i, count); });
    }
  }

  /** At an election, the new leader's log has some of the pending proposals. */
  void CommitSomePending() {
    for (std::size_t keep = Pick(pending_.size() + 1); keep > 0; --keep) {
      CommitFirst();
    }
    pending_.clear();
  }

  void ApplyUpTo(std::size_t i, std::size_t count) {
    while (replicas_[i].applied < count) {
      const std::size_t position = replicas_[i].applied++;
      const log_record& record = log_[position];
      const auto& leadership = replicas_[i].state.leadership;
      if (leadership && leadership->term < record.term) {
        if (now_us < replicas_[i].isolated_until_us) {
          --replicas_[i].applied;
          At(replicas_[i].isolated_until_us - now_us,
             [this, i, count] { ApplyUpTo(i, count); });
          return;
        }
        // The sender of a log entry includes its newer term.
        Deliver(i, became_follower{});
      }
      Deliver(i, entry_committed{position + 1, record.payload});
    }
  }

  void Confirm(std::size_t i, std::uint64_t id) {
    const std::uint64_t term = term_;
    At(Delay(), [this, i, id, term] {
      // A quorum confirms only the leader that it still follows.
      const bool confirmed = i == leader_ && term == term_;
      const std::size_t committed = log_.size();
      At(Delay(), [this, i, id, confirmed, committed] {
        if (confirmed) {
          ApplyUpTo(i, committed);
        }
        Deliver(i, leader_confirmed{id, confirmed});
      });
    });
  }

  fault_options faults_;
  std::vector<replica> replicas_;
  std::vector<client> clients_;
  std::multimap<base::time_us, std::function<void()>> tasks_;
  std::map<net::link_id, fake_link> links_;
  net::link_id next_link_ = 1;
  std::deque<std::string> pending_;
  std::vector<log_record> log_;
  std::size_t leader_ = 0;
  std::uint64_t term_ = 0;
};

}  // namespace wisteriaroute::control

#endif  // TESTS_CONTROL_FAKE_CLUSTER_H_
