#ifndef LIBWISTERIAROUTE_CONTROL_SNAPSHOT_SCHEDULE_H_
#define LIBWISTERIAROUTE_CONTROL_SNAPSHOT_SCHEDULE_H_

#include <cstdint>

namespace wisteriaroute::control {

/** What a restart replays, and the size of the state that it ends with. */
struct log_growth {
  /** Commands applied since the last snapshot. */
  std::uint64_t entries = 0;
  std::uint64_t bytes = 0;
  /** Size of the last snapshot; 0: there is none. */
  std::uint64_t snapshot_bytes = 0;
};

/**
 * Whether the state is to be written now. The log behind a snapshot stays
 * within a multiple of the state, so that a restart doesn't depend on how often
 * the state was replaced.
 */
bool IsSnapshotDue(const log_growth& growth, std::uint64_t max_entries);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_SNAPSHOT_SCHEDULE_H_
