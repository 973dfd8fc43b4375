#ifndef LIBWISTERIAROUTE_POLICY_SLOWDOWN_RESERVE_H_
#define LIBWISTERIAROUTE_POLICY_SLOWDOWN_RESERVE_H_

#include <cstdint>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/** Time of a pass of a balanced group: fixed, and for each stream of a rank. */
struct pass_time {
  double fixed_ms = 0;
  double ms_per_stream = 0;

  double Of(double streams) const { return fixed_ms + ms_per_stream * streams; }
};

/**
 * Keeps room for the next shift of demand. When other experts are wanted,
 * passes take two to three times as long until the map has followed, and every
 * stream in progress then misses its pace if the group was full before. So no
 * more streams are admitted than keep their pace under the worst slowdown that
 * was seen lately.
 */
struct slowdown_reserve {
  /** Worst slowdown in the period in progress, and in the one before. */
  double worst = 0;
  double worst_before = 0;
  base::time_us period_start_us = 0;
  /** Of the window in progress. */
  double gap_sum_ms = 0;
  double streams_sum = 0;
  std::uint32_t events = 0;
  base::time_us window_start_us = 0;
};

/** Notes the pause before an event, and the streams that a rank runs. */
void NoteSlowdown(slowdown_reserve& reserve,
                  double gap_ms,
                  double streams,
                  const pass_time& pass,
                  base::time_us now_us);

/** Streams a rank that may be admitted, between half of the slots and all. */
double StreamsWithReserve(const slowdown_reserve& reserve,
                          const pass_time& pass,
                          double objective_ms,
                          double slots);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_SLOWDOWN_RESERVE_H_
