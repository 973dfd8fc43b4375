#include "libwisteriaroute/storage/log_writer.h"

#include <doctest/doctest.h>

#include <cstdlib>

#include "libwisteriaroute/net/loop.h"

namespace wisteriaroute::storage {
namespace {

raft::persist Batch(std::uint64_t sequence, std::uint64_t index) {
  return {.sequence = sequence,
          .entries = {{.term = 1, .index = index, .payload = "x"}}};
}

TEST_CASE(
    "the writer thread reports synced batches and stops after a failure") {
  std::string name =
      std::filesystem::temp_directory_path() / "wr_writer_XXXXXX";
  REQUIRE(mkdtemp(name.data()) != nullptr);
  net::loop event_loop;
  std::vector<std::uint64_t> synced;
  std::string failure;
  {
    log_store store(name);
    store.Initialize({.metadata = {.identity = 4}});
    log_writer writer(event_loop.ev(), store,
                      {.on_persisted =
                           [&](std::uint64_t sequence) {
                             synced.push_back(sequence);
                             if (sequence == 100) {
                               event_loop.Stop();
                             }
                           },
                       .on_failed =
                           [&](const std::string& reason) {
                             failure = reason;
                             event_loop.Stop();
                           }});
    for (std::uint64_t i = 1; i <= 100; ++i) {
      writer.Submit(Batch(i, i));
    }
    event_loop.Run();
    CHECK(failure.empty());
    REQUIRE_FALSE(synced.empty());
    CHECK(synced.back() == 100);
    CHECK(std::is_sorted(synced.begin(), synced.end()));
    // Batches that were queued during a sync share the next one.
    CHECK(writer.sync_count() < 100);

    // Guards against acknowledging batches after an error: entry 102 would
    // leave a gap and fails.
    writer.Submit(Batch(101, 102));
    event_loop.Run();
    CHECK(failure.find("102") != std::string::npos);
    CHECK(synced.back() == 100);
  }
  CHECK(log_store(name).TakeContent().entries.size() == 100);
  std::filesystem::remove_all(name);
}

}  // namespace
}  // namespace wisteriaroute::storage
