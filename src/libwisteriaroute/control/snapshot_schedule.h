#ifndef LIBWISTERIAROUTE_CONTROL_SNAPSHOT_SCHEDULE_H_
#define LIBWISTERIAROUTE_CONTROL_SNAPSHOT_SCHEDULE_H_

#include <cstdint>

namespace wisteriaroute::control {

/** Size of the log that a restart replays, and of the last snapshot. */
struct log_growth {
  /** Commands applied since the last snapshot. */
  std::uint64_t entries = 0;
  std::uint64_t bytes = 0;
  /** Size of the last snapshot; 0: there is none. */
  std::uint64_t snapshot_bytes = 0;
};

/**
 * Whether a snapshot should be written now. The log after a snapshot is kept
 * within a multiple of the snapshot's size, so that the time of a restart
 * doesn't depend on the number of changes since the cluster was created.
 */
bool IsSnapshotDue(const log_growth& growth, std::uint64_t max_entries);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_SNAPSHOT_SCHEDULE_H_
