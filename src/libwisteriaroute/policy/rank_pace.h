#ifndef LIBWISTERIAROUTE_POLICY_RANK_PACE_H_
#define LIBWISTERIAROUTE_POLICY_RANK_PACE_H_

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/**
 * Pace of a rank for planning: the time that it takes relative to a healthy
 * one. Follows the reported pace only after that has differed for some time,
 * longer for a recovery, so that short disturbances move no experts.
 */
struct rank_pace {
  double planned = 1;
  /** Since when the reported pace differs from `planned`; 0: it doesn't. */
  base::time_us differs_since_us = 0;
};

/** Records the reported pace. Returns whether `planned` changed. */
bool NotePace(rank_pace& pace, double reported, base::time_us now_us);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_RANK_PACE_H_
