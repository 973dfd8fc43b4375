#include "libwisteriaroute/control/snapshot_schedule.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace wisteriaroute::control {
namespace {

constexpr std::uint64_t kDocumentBytes = 300'000;
constexpr std::uint64_t kMaxEntries = 20'000;

/** Maximum log size that a restart replays if all documents are alike. */
std::uint64_t MaxReplayedBytes(int documents) {
  log_growth growth;
  std::uint64_t most = 0;
  for (int i = 0; i < documents; ++i) {
    ++growth.entries;
    growth.bytes += kDocumentBytes;
    if (IsSnapshotDue(growth, kMaxEntries)) {
      growth = {.snapshot_bytes = kDocumentBytes};
    }
    most = std::max(most, growth.bytes);
  }
  return most;
}

TEST_CASE("the log that a restart replays doesn't grow with the history") {
  CHECK(MaxReplayedBytes(10) <= 3 * kDocumentBytes);
  CHECK(MaxReplayedBytes(1'000) == MaxReplayedBytes(10));
}

TEST_CASE("a snapshot is due by number of entries or size of the log") {
  SUBCASE("few small commands don't justify one") {
    CHECK_FALSE(IsSnapshotDue({.entries = 100, .bytes = 20'000}, kMaxEntries));
  }
  SUBCASE("many commands do, whatever their size") {
    CHECK(
        IsSnapshotDue({.entries = kMaxEntries, .bytes = 20'000}, kMaxEntries));
  }
  SUBCASE("a large state is written when the log is a multiple of its size") {
    constexpr std::uint64_t kState = 100'000'000;
    CHECK_FALSE(
        IsSnapshotDue({.entries = 9, .bytes = kState, .snapshot_bytes = kState},
                      kMaxEntries));
    CHECK(IsSnapshotDue(
        {.entries = 9, .bytes = 3 * kState, .snapshot_bytes = kState},
        kMaxEntries));
  }
}

}  // namespace
}  // namespace wisteriaroute::control
