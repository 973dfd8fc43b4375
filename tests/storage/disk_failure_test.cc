#include <doctest/doctest.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/storage/log_writer.h"

namespace wisteriaroute::storage {
namespace {

// Small segments, so that the batches begin several.
constexpr store_options kSmallSegments{.segment_bytes = 300};

wire::log_entry Entry(std::uint64_t index, std::uint64_t term) {
  return {.term = term,
          .index = index,
          .payload = "entry " + std::to_string(index) + " of term " +
                     std::to_string(term)};
}

raft::snapshot Snapshot(std::uint64_t index, std::uint64_t term) {
  return {.last_index = index,
          .last_term = term,
          .data = std::make_shared<const std::string>("state after " +
                                                      std::to_string(index))};
}

/** Batches with every kind of change. */
std::vector<raft::persist> Batches() {
  std::vector<raft::persist> batches(8);
  for (std::size_t i = 0; i < batches.size(); ++i) {
    batches[i].sequence = i + 1;
  }
  batches[0].metadata = {.term = 1, .voted_for = "a", .identity = 4};
  for (std::uint64_t i = 1; i <= 12; ++i) {
    batches[1].entries.push_back(Entry(i, 1));
  }
  batches[2].truncate_from = 4;
  batches[2].metadata = {.term = 2, .identity = 4};
  for (std::uint64_t i = 4; i <= 20; ++i) {
    batches[2].entries.push_back(Entry(i, 2));
  }
  batches[3].new_snapshot = Snapshot(16, 2);
  batches[3].compact_before = 10;
  batches[4].entries = {Entry(21, 2), Entry(22, 2)};
  batches[5].new_snapshot = Snapshot(40, 3);
  batches[5].reset_log_to = 41;
  batches[6].entries = {Entry(41, 3), Entry(42, 3)};
  batches[7].metadata = {.term = 4, .voted_for = "b", .identity = 4};
  return batches;
}

/** Lets each change after the first `working` fail until End(). */
class failing_disk {
 public:
  explicit failing_disk(int working) {
    SetChangeObserver([this, working](file_change, const auto&) {
      if (failing_ && changes_++ >= working) {
        throw std::system_error(ENOSPC, std::generic_category());
      }
    });
  }
  ~failing_disk() { SetChangeObserver(nullptr); }
  failing_disk(const failing_disk&) = delete;
  failing_disk& operator=(const failing_disk&) = delete;

  void End() { failing_ = false; }
  int changes() const { return changes_; }

 private:
  std::atomic<bool> failing_ = true;
  std::atomic<int> changes_ = 0;
};

struct writer_result {
  std::uint64_t persisted = 0;
  int failures = 0;
  int recoveries = 0;
  std::string fatal;
};

/** Writes all batches; the disk fails after `working` changes, then recovers.
 */
writer_result WriteOnFailingDisk(log_store& store, failing_disk& disk) {
  writer_result result;
  net::loop event_loop;
  const std::vector<raft::persist> batches = Batches();
  log_writer writer(event_loop.ev(), store,
                    {.on_persisted =
                         [&](std::uint64_t sequence) {
                           result.persisted = sequence;
                           if (sequence == batches.size()) {
                             event_loop.Stop();
                           }
                         },
                     .on_disk_failed =
                         [&](const std::string&) {
                           ++result.failures;
                           disk.End();
                         },
                     .on_disk_recovered = [&] { ++result.recoveries; },
                     .on_failed =
                         [&](const std::string& reason) {
                           result.fatal = reason;
                           event_loop.Stop();
                         }});
  for (const raft::persist& batch : batches) {
    writer.Submit(batch);
    // Without a pause, all of them are written in one turn.
    if (batch.sequence % 3 == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  event_loop.Run();
  return result;
}

void CheckContent(const std::string& directory) {
  log_store store(directory, kSmallSegments);
  const raft::stored_state content = store.TakeContent();
  CHECK(content.metadata ==
        raft::hard_state{.term = 4, .voted_for = "b", .identity = 4});
  REQUIRE(content.latest_snapshot);
  CHECK(content.latest_snapshot->last_index == 40);
  CHECK(*content.latest_snapshot->data == "state after 40");
  CHECK(content.entries ==
        std::vector<wire::log_entry>{Entry(41, 3), Entry(42, 3)});
}

// Guards against a process that ends itself at a failed write, and against one
// that goes on with a log that lacks what was written before the failure.
TEST_CASE("any write fails until there is room again") {
  int all_changes = 1 << 20;
  for (int working = 0; working < all_changes; ++working) {
    CAPTURE(working);
    std::string name = "/dev/shm/wr_failing_XXXXXX";
    if (!std::filesystem::exists("/dev/shm")) {
      name = std::filesystem::temp_directory_path() / "wr_failing_XXXXXX";
    }
    REQUIRE(mkdtemp(name.data()) != nullptr);
    {
      log_store store(name, kSmallSegments);
      store.Initialize({.metadata = {.identity = 4}});
      store.TakeContent();
      failing_disk disk(working);
      const writer_result result = WriteOnFailingDisk(store, disk);
      CHECK(result.fatal.empty());
      CHECK(result.persisted == Batches().size());
      CHECK(result.failures == result.recoveries);
      if (result.failures == 0) {
        all_changes = std::min(all_changes, working);
      }
    }
    CheckContent(name);
    std::filesystem::remove_all(name);
  }
  CHECK(all_changes > 30);
}

}  // namespace
}  // namespace wisteriaroute::storage
