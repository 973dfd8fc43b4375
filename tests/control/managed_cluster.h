#ifndef TESTS_CONTROL_MANAGED_CLUSTER_H_
#define TESTS_CONTROL_MANAGED_CLUSTER_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "libwisteriaroute/control/replica_membership.h"
#include "tests/raft/cluster.h"

namespace wisteriaroute::control {

inline constexpr base::time_us kSecond = 1'000'000;

/**
 * Replicas in memory whose leader changes the replica set by
 * NextReplicaChange(), as control's daemon does.
 */
class managed_cluster {
 public:
  /** `spares` hosts are down until they are started. */
  managed_cluster(unsigned tolerated, unsigned voters, unsigned spares)
      : replicas(voters, spares, {}), target_voters_(2 * tolerated + 1) {
    for (std::size_t i = voters; i < replicas.nodes.size(); ++i) {
      replicas.Crash(replicas.nodes[i]);
    }
    RunFor(2 * kSecond);
  }

  void RunFor(base::time_us duration) {
    for (const base::time_us end = replicas.now_us + duration;
         replicas.now_us < end;) {
      replicas.RunFor(raft::kTickPeriodUs);
      if (replicas.now_us >= next_report_us_) {
        next_report_us_ = replicas.now_us + kReportUs;
        Report();
      }
    }
  }

  void Start(const std::string& name) {
    stop_limit_us_.erase(name);
    replicas.Start(replicas.Get(name));
  }

  /** The host is gone at once, for good or until it is started again. */
  void Lose(const std::string& name) { replicas.Crash(replicas.Get(name)); }

  /** Tells the process to stop. */
  void Terminate(const std::string& name) {
    replicas.Run(replicas.Get(name), raft::announce_leaving{});
    stop_limit_us_[name] = replicas.now_us + 5 * kSecond;
  }
  /** Whether a process that was told to stop has ended, or ends now. */
  bool HasStopped(const std::string& name) {
    raft::cluster::node& node = replicas.Get(name);
    if (!node.alive) {
      return true;
    }
    if (replicas.now_us < stop_limit_us_[name]) {
      if (node.state.current_role == raft::role::kLeader) {
        TransferFrom(node);
        return false;
      }
      if (AwaitsReplacement(node.state, target_voters_)) {
        return false;
      }
    }
    Lose(name);
    return true;
  }
  void TerminateAndWait(const std::string& name) {
    Terminate(name);
    while (!HasStopped(name)) {
      RunFor(raft::kTickPeriodUs);
    }
  }

  /** The voters in the leader's replica set; 0 without a leader. */
  std::size_t VoterCount() {
    raft::cluster::node* leader = replicas.Leader();
    return leader == nullptr
               ? 0
               : static_cast<std::size_t>(std::ranges::count_if(
                     raft::Replicas(leader->state),
                     [](const wire::replica& one) { return one.voter; }));
  }

  /** Whether a leader has all that was acknowledged, and commits. */
  bool Decides() {
    raft::cluster::node* leader = replicas.Leader();
    if (leader == nullptr) {
      return false;
    }
    for (const std::string& payload : replicas.acknowledged) {
      if (payload[0] == 'p' &&
          leader->machine.find(payload + "\n") == std::string::npos) {
        return false;
      }
    }
    const std::size_t before = replicas.acknowledged.size();
    replicas.Propose(*leader);
    RunFor(kSecond / 2);
    return replicas.acknowledged.size() > before;
  }

  raft::cluster replicas;

 private:
  static constexpr base::time_us kReportUs = 250'000;

  void TransferFrom(raft::cluster::node& leader) {
    for (const wire::replica& one : raft::Replicas(leader.state)) {
      if (one.voter && one.name != leader.name &&
          !stop_limit_us_.contains(one.name) && replicas.Get(one.name).alive &&
          leader.state.leader.transfer_to.empty()) {
        replicas.Run(leader, raft::transfer_leadership{one.name});
      }
    }
  }

  void Report() {
    std::vector<replica_address> connected;
    for (const raft::cluster::node& one : replicas.nodes) {
      if (one.alive) {
        connected.push_back({one.name, one.name + ":1"});
      }
    }
    for (raft::cluster::node& one : replicas.nodes) {
      silence_clock& clock = clocks_[one.name];
      clock.Tick(replicas.now_us, kReportUs);
      if (!one.alive || one.state.current_role != raft::role::kLeader) {
        continue;
      }
      auto change =
          NextReplicaChange(ViewReplicas(one.state, clock, replicas.now_us),
                            connected, one.name, target_voters_);
      if (change) {
        change->proposal_id = ++last_change_;
        replicas.Run(one, *change);
      }
    }
  }

  std::size_t target_voters_;
  base::time_us next_report_us_ = 0;
  std::uint64_t last_change_ = 5'000'000;
  std::map<std::string, silence_clock> clocks_;
  std::map<std::string, base::time_us> stop_limit_us_;
};

}  // namespace wisteriaroute::control

#endif  // TESTS_CONTROL_MANAGED_CLUSTER_H_
