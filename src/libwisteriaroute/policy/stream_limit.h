#ifndef LIBWISTERIAROUTE_POLICY_STREAM_LIMIT_H_
#define LIBWISTERIAROUTE_POLICY_STREAM_LIMIT_H_

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/**
 * Adaptive limit of the streams that each server of a service may run without
 * missing the objective for the time between events. All ranks of a group take
 * part in each pass, and a pass takes longer with each stream, so admitting too
 * many streams delays the events of all of them.
 */
struct stream_limit {
  /** Streams per server, at most its slots; 0 before the first observation. */
  double streams = 0;
  /** Sums of the current measurement window. */
  double gap_sum_ms = 0;
  double objective_sum_ms = 0;
  base::time_us window_start_us = 0;
};

/**
 * Records the time between two events of a stream and its objective, and
 * adjusts the limit at the end of each measurement window. The limit never
 * falls below two streams (or `slots`, if that is less) and never exceeds
 * `slots`.
 */
void NoteGap(stream_limit& limit,
             double gap_ms,
             double objective_ms,
             double slots,
             base::time_us now_us);

/** Current limit of streams per server; `slots` before the first observation.
 */
double StreamsAllowed(const stream_limit& limit, double slots);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_STREAM_LIMIT_H_
