#ifndef TESTS_RAFT_SCHEDULES_H_
#define TESTS_RAFT_SCHEDULES_H_

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "tests/raft/cluster.h"

// Random schedules of events and faults for a cluster in memory.

namespace wisteriaroute::raft {

inline constexpr int kStepsPerSchedule = 700;

/** RapidCheck's default of 100 schedules is too low; RC_PARAMS may raise it. */
inline const bool kRaisedCount = [] {
  const char* given = std::getenv("RC_PARAMS");
  const std::string params = given == nullptr ? "" : given;
  if (params.find("max_success") == std::string::npos) {
    setenv("RC_PARAMS", (params + " max_success=1000").c_str(), 1);
  }
  return true;
}();

/** Small limits make short schedules reach full windows and snapshots. */
inline raft_options SmallLimits() {
  return {.max_append_entries = 4,
          .window_entries = 8,
          .chunk_bytes = 16,
          .keep_entries = 3};
}

/** Kinds of faults that a schedule may contain. */
struct fault_set {
  bool wipes = false;
  bool membership = false;
  /** Let a subset of the replicas run for a while, see Burst. */
  bool bursts = false;
  /** Half of an even number of disks may be lost. */
  bool halves = false;
  /** Disks are full for a while. */
  bool full_disks = false;
};

/** Random choices of one step, all derived from one number. */
struct choices {
  std::uint64_t value;

  std::uint64_t Below(std::uint64_t limit) {
    value = value * 6364136223846793005 + 1442695040888963407;
    return (value >> 33) % limit;
  }
};

inline void ChangeReplicasRandomly(cluster& replicas,
                                   cluster::node& target,
                                   choices& pick) {
  static std::uint64_t id = 1'000'000;
  if (pick.Below(4) == 0) {
    change_replicas change{.proposal_id = ++id,
                           .change = replica_change::kSetVoters};
    for (const cluster::node& one : replicas.nodes) {
      if (pick.Below(2) == 0) {
        change.voters.push_back(one.name);
      }
    }
    if (!change.voters.empty() && change.voters.size() % 2 == 0 &&
        pick.Below(2) == 0) {
      change.casting_voter = change.voters[pick.Below(change.voters.size())];
    }
    replicas.Run(target, change);
    return;
  }
  replicas.Run(
      target,
      change_replicas{.proposal_id = ++id,
                      .change = static_cast<replica_change>(pick.Below(3)),
                      .name = cluster::Name(pick.Below(replicas.nodes.size())),
                      .address = "x:1",
                      .promote_when_ready = pick.Below(2) == 0});
}

inline void InjectFault(cluster& replicas,
                        const fault_set& faults,
                        choices& pick) {
  cluster::node& target = replicas.nodes[pick.Below(replicas.nodes.size())];
  const std::string other = cluster::Name(pick.Below(replicas.nodes.size()));
  switch (pick.Below(8)) {
    case 0:
      replicas.Crash(target);
      break;
    case 1:
    case 2:
      if (!target.alive) {
        replicas.Start(target);
      }
      break;
    case 3:
      replicas.cut_links.insert({target.name, other});
      break;
    case 4:
      for (const cluster::node& one : replicas.nodes) {
        replicas.cut_links.insert({target.name, one.name});
        replicas.cut_links.insert({one.name, target.name});
      }
      break;
    case 5:
      replicas.cut_links.clear();
      break;
    case 6:
      if (faults.wipes && replicas.HasQuorumOfDisks(&target, faults.halves)) {
        replicas.Wipe(target);
        replicas.Start(target);
      }
      break;
    default:
      if (faults.membership) {
        ChangeReplicasRandomly(replicas, target, pick);
      }
  }
}

inline void DeliverOrDrop(cluster& replicas, choices& pick) {
  auto& network = replicas.network;
  if (network.empty()) {
    return;
  }
  const std::size_t at = pick.Below(3) != 0 ? 0 : pick.Below(network.size());
  const std::uint64_t kind = pick.Below(20);
  if (kind == 0) {
    network.erase(network.begin() + static_cast<long>(at));
  } else {
    replicas.Deliver(at, kind == 1);
  }
}

/**
 * Runs a subset of the replicas for a while, mostly without faults. The others
 * don't run, and few of the messages to and from them are kept. This reaches
 * states that need several elections by different majorities.
 */
inline void Burst(cluster& replicas, choices& pick) {
  const std::uint64_t members = pick.Below(1U << replicas.nodes.size());
  const auto in_group = [&](const std::string& name) {
    return ((members >> (name[0] - 'a')) & 1) != 0;
  };
  const std::uint64_t ticks = pick.Below(80);
  const bool proposals = pick.Below(2) == 0;
  for (std::uint64_t i = 0; i < ticks; ++i) {
    replicas.now_us += kTickPeriodUs;
    for (cluster::node& one : replicas.nodes) {
      if (in_group(one.name)) {
        replicas.Run(one, tick{});
        for (std::uint64_t n = pick.Below(8); n > 0; --n) {
          replicas.Sync(one);
        }
        if (proposals && pick.Below(16) == 0 &&
            one.state.current_role == role::kLeader) {
          replicas.Propose(one);
        }
      }
    }
    std::vector<cluster::packet> batch;
    batch.swap(replicas.network);
    for (cluster::packet& one : batch) {
      if (!in_group(one.from) || !in_group(one.to)) {
        if (pick.Below(8) == 0) {
          replicas.network.push_back(std::move(one));
        }
      } else if (pick.Below(16) != 0) {
        replicas.Run(replicas.Get(one.to), received{one.from, one.message});
      }
    }
  }
}

inline void RandomStep(cluster& replicas,
                       const fault_set& faults,
                       std::uint64_t number) {
  choices pick{number};
  cluster::node& target = replicas.nodes[pick.Below(replicas.nodes.size())];
  if (faults.full_disks && choices{~number}.Below(50) == 0) {
    replicas.SetDiskFull(target, !target.disk_full);
    return;
  }
  cluster::node* leader = replicas.Leader();
  const std::uint64_t kind = pick.Below(100);
  if (kind < 5 && faults.bursts) {
    Burst(replicas, pick);
  } else if (kind < 46) {
    DeliverOrDrop(replicas, pick);
  } else if (kind < 68) {
    replicas.Sync(target);
  } else if (kind < 84) {
    replicas.now_us += static_cast<base::time_us>(pick.Below(60'000));
    replicas.Run(target, tick{});
  } else if (kind < 91) {
    replicas.Propose(leader != nullptr && pick.Below(4) != 0 ? *leader
                                                             : target);
  } else if (kind < 93) {
    replicas.Read(leader != nullptr ? *leader : target);
  } else if (kind < 95) {
    replicas.Snapshot(target);
  } else if (kind < 96) {
    replicas.now_us += 300'000;
  } else if (kind < 97 && leader != nullptr) {
    replicas.Run(*leader, transfer_leadership{target.name});
  } else {
    InjectFault(replicas, faults, pick);
  }
}

/**
 * After all faults have ended, a leader must commit a proposal and have every
 * acknowledged proposal.
 */
inline void CheckRecovery(cluster& replicas) {
  replicas.cut_links.clear();
  replicas.network.clear();
  for (cluster::node& one : replicas.nodes) {
    if (!one.alive) {
      replicas.Start(one);
    } else if (one.disk_full) {
      replicas.SetDiskFull(one, false);
    }
  }
  replicas.RunFor(5'000'000);
  cluster::node* leader = replicas.Leader();
  Require(leader != nullptr, "no leader after all faults are gone");
  const std::size_t before = replicas.acknowledged.size();
  replicas.Propose(*leader);
  replicas.RunFor(500'000);
  Require(replicas.acknowledged.size() == before + 1, "no commit");
  for (const std::string& payload : replicas.acknowledged) {
    Require(payload[0] != 'p' ||
                ("\n" + leader->machine).find("\n" + payload + "\n") !=
                    std::string::npos,
            "an acknowledged proposal is lost");
  }
  for (const wire::replica& one : Replicas(leader->state)) {
    Require(!one.voter || replicas.Get(one.name).machine == leader->machine,
            "a voter hasn't caught up");
  }
}

struct totals {
  std::size_t schedules = 0;
  std::size_t recoveries = 0;
  std::size_t acknowledged = 0;
  std::size_t reads = 0;
};

inline void RunSchedules(const std::string& name,
                         unsigned voters,
                         unsigned spares,
                         fault_set allowed) {
  REQUIRE(kRaisedCount);
  totals sum;
  const bool held = rc::check(name, [&] {
    const auto numbers = *rc::gen::container<std::vector<std::uint64_t>>(
        kStepsPerSchedule,
        rc::gen::noShrink(rc::gen::resize(
            rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>())));
    cluster replicas(voters, spares, SmallLimits());
    fault_set faults = allowed;
    faults.bursts = !numbers.empty() && numbers.front() % 2 == 0;
    try {
      for (const std::uint64_t number : numbers) {
        RandomStep(replicas, faults, number);
      }
      replicas.CheckLogMatching();
      ++sum.schedules;
      sum.acknowledged += replicas.acknowledged.size();
      sum.reads += replicas.reads_confirmed;
      if (replicas.HasQuorumOfDisks(nullptr, faults.halves)) {
        ++sum.recoveries;
        CheckRecovery(replicas);
        replicas.CheckLogMatching();
      }
    } catch (const violation& broken) {
      RC_FAIL(broken.what());
    }
  });
  std::cout << name << ": schedules=" << sum.schedules
            << " recoveries=" << sum.recoveries
            << " acknowledged=" << sum.acknowledged << " reads=" << sum.reads
            << "\n";
  CHECK(held);
  // Guards against schedules that commit, read or recover too little.
  CHECK(sum.acknowledged > sum.schedules);
  CHECK(sum.reads > sum.schedules / 4);
  CHECK(sum.recoveries * 10 > sum.schedules * 9);
}

}  // namespace wisteriaroute::raft

#endif  // TESTS_RAFT_SCHEDULES_H_
