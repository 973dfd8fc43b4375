// Measures the consensus reducer and the log on disk. Each case prints minimum,
// median and maximum of three runs.

#include <malloc.h>
#include <stdlib.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/raft/raft.h"
#include "libwisteriaroute/storage/log_store.h"

namespace wisteriaroute {
namespace {

constexpr int kRuns = 3;
constexpr std::size_t kPayloadBytes = 200;

template <typename Run>
void Report(const std::string& name, const char* unit, Run run) {
  std::array<double, kRuns> results{};
  for (double& one : results) {
    one = run();
  }
  std::sort(results.begin(), results.end());
  std::printf("%-44s min %.0f  median %.0f  max %.0f %s\n", name.c_str(),
              results[0], results[1], results[2], unit);
  std::fflush(stdout);
}

/** A cluster in memory, whose disk syncs and messages take no time. */
struct memory_cluster {
  explicit memory_cluster(int count) {
    wire::replica_list initial;
    for (int i = 0; i < count; ++i) {
      initial.push_back({.name = std::to_string(i)});
    }
    for (int i = 0; i < count; ++i) {
      replicas.push_back(
          raft::MakeState(std::to_string(i), raft::MakeBootstrapped(initial)));
    }
  }

  void Run(std::size_t to, const raft::event& event) {
    for (raft::effect& one : raft::Step(replicas[to], event, now_us)) {
      if (auto* message = std::get_if<raft::send_message>(&one)) {
        queue.emplace_back(
            std::stoul(message->to),
            raft::received{replicas[to].self, std::move(message->message)});
      } else if (const auto* batch = std::get_if<raft::persist>(&one)) {
        queue.emplace_back(to, raft::persisted{batch->sequence});
      } else if (std::holds_alternative<raft::proposal_result>(one)) {
        ++answered;
      }
    }
  }
  void SyncAndDeliverAll() {
    while (!queue.empty()) {
      std::vector<std::pair<std::size_t, raft::event>> batch;
      batch.swap(queue);
      for (const auto& [to, event] : batch) {
        Run(to, event);
      }
    }
  }
  void ElectFirst() {
    while (replicas[0].current_role != raft::role::kLeader) {
      now_us += raft::kTickPeriodUs;
      Run(0, raft::tick{});
      SyncAndDeliverAll();
    }
  }

  std::vector<raft::raft_state> replicas;
  std::vector<std::pair<std::size_t, raft::event>> queue;
  base::time_us now_us = 1;
  std::uint64_t answered = 0;
};

/** Returns proposals per second if `batch` of them arrive in each sync. */
double ProposalsPerS(int count, std::uint64_t batch) {
  constexpr std::uint64_t kProposals = 200'000;
  memory_cluster cluster(count);
  cluster.ElectFirst();
  const std::string payload(kPayloadBytes, 'x');
  const base::time_us start = base::MonotonicUs();
  for (std::uint64_t id = 0; id < kProposals; ++id) {
    cluster.Run(0, raft::propose{id, payload});
    if (id % batch == batch - 1) {
      cluster.SyncAndDeliverAll();
    }
  }
  cluster.SyncAndDeliverAll();
  const auto elapsed = static_cast<double>(base::MonotonicUs() - start);
  if (cluster.answered != kProposals) {
    std::printf("only %llu proposals were answered\n",
                static_cast<unsigned long long>(cluster.answered));
    std::exit(1);
  }
  return kProposals * 1e6 / elapsed;
}

/** Returns entries per second with a sync per batch, over about 1 s. */
double SyncedEntriesPerS(std::uint64_t batch) {
  std::string directory =
      std::filesystem::temp_directory_path() / "wr_raft_bench_XXXXXX";
  if (mkdtemp(directory.data()) == nullptr) {
    std::perror("mkdtemp");
    std::exit(1);
  }
  double result = 0;
  {
    storage::log_store store(directory);
    store.Initialize(raft::MakeEmpty(1));
    constexpr base::time_us kDurationUs = 1'000'000;
    const base::time_us start = base::MonotonicUs();
    std::uint64_t index = 0;
    while (base::MonotonicUs() - start < kDurationUs) {
      raft::persist entries;
      for (std::uint64_t i = 0; i < batch; ++i) {
        entries.entries.push_back({.term = 1,
                                   .index = ++index,
                                   .kind = wire::entry_kind::kCommand,
                                   .payload = std::string(kPayloadBytes, 'x')});
      }
      store.Write(entries);
      store.Sync();
    }
    result = static_cast<double>(index) * 1e6 /
             static_cast<double>(base::MonotonicUs() - start);
  }
  std::filesystem::remove_all(directory);
  return result;
}

/** Returns heap bytes per entry of the log in memory, payload included. */
double BytesPerEntry(std::uint64_t entries) {
  const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  raft::replicated_log log;
  for (std::uint64_t i = 1; i <= entries; ++i) {
    log.Append({.term = 1,
                .index = i,
                .kind = wire::entry_kind::kCommand,
                .payload = std::string(kPayloadBytes, 'x')});
  }
  const std::size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
  return static_cast<double>(after - before) / static_cast<double>(entries);
}

}  // namespace
}  // namespace wisteriaroute

int main() {
  using namespace wisteriaroute;
  for (const int count : {3, 5}) {
    for (const std::uint64_t batch : {1, 64}) {
      Report("reducer, " + std::to_string(count) + " replicas, " +
                 std::to_string(batch) + " per sync",
             "proposals/s", [&] { return ProposalsPerS(count, batch); });
    }
  }
  for (const std::uint64_t batch : {1, 16, 256}) {
    Report("append and sync, batch of " + std::to_string(batch), "entries/s",
           [&] { return SyncedEntriesPerS(batch); });
  }
  for (const std::uint64_t entries : {10'000, 100'000, 1'000'000}) {
    Report("memory with " + std::to_string(entries) + " entries of 200 bytes",
           "bytes/entry", [&] { return BytesPerEntry(entries); });
  }
}
