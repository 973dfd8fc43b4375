#ifndef LIBWISTERIAROUTE_POLICY_PACE_LIMIT_H_
#define LIBWISTERIAROUTE_POLICY_PACE_LIMIT_H_

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/**
 * How many streams each server of a service may run, so that their events keep
 * pace. All ranks of a group share each pass, and a pass takes longer the more
 * streams it writes; admitting more than the pace allows makes every stream
 * late.
 */
struct pace_limit {
  /** Streams a server; at most its slots. 0: nothing was observed yet. */
  double streams = 0;
  /** Of the window in progress. */
  double gap_sum_ms = 0;
  double objective_sum_ms = 0;
  base::time_us window_start_us = 0;
};

/** Notes the pause before an event. `slots` bounds the limit. */
void NoteGap(pace_limit& limit,
             double gap_ms,
             double objective_ms,
             double slots,
             base::time_us now_us);

/** The limit in force, at least one stream. */
double StreamsAllowed(const pace_limit& limit, double slots);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_PACE_LIMIT_H_
