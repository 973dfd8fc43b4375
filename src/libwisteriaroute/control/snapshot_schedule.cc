#include "libwisteriaroute/control/snapshot_schedule.h"

#include <algorithm>

namespace wisteriaroute::control {

namespace {

// A snapshot is written for this many bytes of log a byte of its own, so that
// disks write a third more than the log alone.
constexpr std::uint64_t kLogPerState = 3;
// Replayed in some 10 ms of processor time; below it a snapshot isn't worth
// its sync.
constexpr std::uint64_t kMinLogBytes = 512 * 1024;

}  // namespace

bool IsSnapshotDue(const log_growth& growth, std::uint64_t max_entries) {
  return growth.entries >= max_entries ||
         growth.bytes >=
             std::max(kMinLogBytes, kLogPerState * growth.snapshot_bytes);
}

}  // namespace wisteriaroute::control
