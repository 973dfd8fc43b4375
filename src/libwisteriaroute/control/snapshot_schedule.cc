#include "libwisteriaroute/control/snapshot_schedule.h"

#include <algorithm>

namespace wisteriaroute::control {

namespace {

// Bytes of log per byte of snapshot before the next snapshot is written.
// Snapshots add a third to the bytes written to disk for the log alone.
constexpr std::uint64_t kLogBytesPerSnapshotByte = 3;
// Log below this size is replayed in about 10 ms of CPU time, which doesn't
// justify the sync of a snapshot.
constexpr std::uint64_t kMinLogBytes = 512 * 1024;

}  // namespace

bool IsSnapshotDue(const log_growth& growth, std::uint64_t max_entries) {
  return growth.entries >= max_entries ||
         growth.bytes >= std::max(kMinLogBytes, kLogBytesPerSnapshotByte *
                                                    growth.snapshot_bytes);
}

}  // namespace wisteriaroute::control
