#ifndef LIBWISTERIAROUTE_POLICY_SLOWDOWN_RESERVE_H_
#define LIBWISTERIAROUTE_POLICY_SLOWDOWN_RESERVE_H_

#include <cstdint>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/** Duration of a pass of a balanced group: a fixed part and a part for each
 * stream of a rank. */
struct pass_time {
  double fixed_ms = 0;
  double ms_per_stream = 0;

  double DurationMs(double streams) const {
    return fixed_ms + ms_per_stream * streams;
  }
};

/**
 * Reserves capacity for the next shift of demand. When demand moves to other
 * experts, passes take two to three times as long until the expert map has been
 * changed, and if the group was full before, every stream in progress misses
 * its objective. Therefore only as many streams are admitted as meet the
 * objective under the largest recent slowdown. A slowdown is the ratio of the
 * measured to the expected duration of a pass.
 */
struct slowdown_reserve {
  /** Largest slowdown in the current and in the previous period. */
  double max_slowdown = 0;
  double previous_max_slowdown = 0;
  base::time_us period_start_us = 0;
  /** Sums of the current measurement window. */
  double gap_sum_ms = 0;
  double streams_sum = 0;
  std::uint32_t events = 0;
  base::time_us window_start_us = 0;
};

/** Records the time between two events of a stream and the number of streams
 * that each rank runs. */
void NoteSlowdown(slowdown_reserve& reserve,
                  double gap_ms,
                  double streams,
                  const pass_time& pass,
                  base::time_us now_us);

/** Streams per rank that may be admitted: between half of the slots and all.
 * All while no slowdown is known. */
double StreamsWithReserve(const slowdown_reserve& reserve,
                          const pass_time& pass,
                          double objective_ms,
                          double slots);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_SLOWDOWN_RESERVE_H_
