// A model, not a case: what tests/raft/cluster.h leaves out. There a replica
// that crashes loses what it hasn't synced. A process that is killed keeps it
// ("When a process dies, its files remain as they were"), and only a loss of
// power takes it. storage::log_store reads such entries on start and counts them
// as synced without syncing them, so the replica acknowledges them.
//
// usage: unsynced FIRST LAST KILLS: schedules FIRST to LAST - 1; KILLS 0: without
// kills, 1: with them. Three voters; no disk is lost.

#define DOCTEST_CONFIG_IMPLEMENT
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>

#include "tests/raft/schedules.h"

using namespace wisteriaroute;
using namespace wisteriaroute::raft;

namespace {

// What a disk would have after a loss of power, by replica, while that differs
// from what its process reads.
std::map<std::string, stored_state> durable;

void Write(stored_state& disk, const persist& batch) {
  if (batch.metadata) {
    disk.metadata = *batch.metadata;
  }
  if (batch.new_snapshot) {
    disk.latest_snapshot = *batch.new_snapshot;
  }
  if (batch.reset_log_to != 0) {
    disk.entries.clear();
  }
  std::erase_if(disk.entries, [&](const auto& entry) {
    return entry.index < batch.compact_before ||
           (batch.truncate_from != 0 && entry.index >= batch.truncate_from);
  });
  disk.entries.insert(disk.entries.end(), batch.entries.begin(), batch.entries.end());
}

/** Nothing was synced since the start, so what the kill left is still at risk. */
bool IsAtRisk(const cluster::node& one) {
  return durable.contains(one.name) && one.state.synced_sequence == 0;
}

void Kill(cluster& replicas, cluster::node& target, std::size_t written) {
  if (!target.alive) {
    return;
  }
  if (!IsAtRisk(target)) {
    durable[target.name] = target.disk;
  }
  for (std::size_t i = 0; i < written && i < target.unsynced.size(); ++i) {
    Write(target.disk, target.unsynced[i]);
  }
  replicas.Start(target);
}

void LosePowerOfAll(cluster& replicas) {
  for (cluster::node& one : replicas.nodes) {
    if (IsAtRisk(one)) {
      one.disk = durable.at(one.name);
    }
    durable.erase(one.name);
    replicas.Crash(one);
  }
  replicas.network.clear();
  for (cluster::node& one : replicas.nodes) {
    replicas.Start(one);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return 2;
  }
  const int first = std::atoi(argv[1]);
  const int last = std::atoi(argv[2]);
  const bool kills = std::atoi(argv[3]) != 0;
  std::map<std::string, int> broken;
  int first_seed = -1;
  for (int seed = first; seed < last; ++seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    cluster replicas(3, 0, SmallLimits());
    durable.clear();
    const fault_set faults{.bursts = seed % 2 != 0};
    try {
      for (int i = 0; i < 700; ++i) {
        const std::uint64_t kind = random() % 200;
        if (kind == 0) {
          LosePowerOfAll(replicas);
        } else if (kind <= 2 && kills) {
          Kill(replicas, replicas.nodes[random() % 3], random() % 4);
        } else {
          RandomStep(replicas, faults, random());
        }
      }
      replicas.CheckLogMatching();
      CheckRecovery(replicas);
    } catch (const violation& found) {
      ++broken[found.what()];
      first_seed = first_seed < 0 ? seed : first_seed;
    }
  }
  std::printf("kills %d, schedules %d to %d, first broken: %d\n", kills, first, last - 1,
              first_seed);
  for (const auto& [what, count] : broken) {
    std::printf("  %d x %s\n", count, what.c_str());
  }
  return broken.empty() ? 0 : 1;
}
