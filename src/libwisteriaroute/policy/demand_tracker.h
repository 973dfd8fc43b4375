#ifndef LIBWISTERIAROUTE_POLICY_DEMAND_TRACKER_H_
#define LIBWISTERIAROUTE_POLICY_DEMAND_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/** When ranks report their token counts, and which time a report covers. */
struct count_timing {
  /** Interval between two reports of a rank. */
  base::time_us period_us = 0;
  /** A report covers this long before it is sent. */
  base::time_us window_us = 0;
};

/**
 * Chooses the timing that bounds the rate of counts sent by the ranks of a
 * group to its coordinator. In a small group, reports cover all of the time; in
 * a large group they cover a sample of it, which suffices because all ranks
 * serve the same mix of requests. `numbers` is the number of counts in a
 * report, one for each set and expert.
 */
count_timing CountTiming(std::uint32_t ranks, std::size_t numbers);

/**
 * Tracks the current demand for the experts of a group, from the token counts
 * that its ranks report one after the other. Demand shifts abruptly every few
 * seconds, and a map planned from a mix of counts from before and after a shift
 * fits neither. Therefore only the latest report of each rank is used, and
 * after a shift is detected only reports from after it.
 */
struct demand_tracker {
  struct report {
    std::vector<std::uint32_t> tokens;
    base::time_us at_us = 0;
  };

  /** Latest report of each rank. */
  std::map<std::uint32_t, report> reports;
  /** Shares by set and expert with which new demand is compared to detect a
   * shift. */
  std::vector<double> baseline;
  /** More recent shares, which replace the former after an interval. */
  std::vector<double> next_baseline;
  base::time_us next_baseline_us = 0;
  /** When the shift in progress was detected; 0 if there is none. */
  base::time_us shift_detected_us = 0;
};

/**
 * Records a report of a rank: its token counts by set and expert. A report
 * without tokens is ignored. Returns whether there were any tokens.
 */
bool NoteCounts(demand_tracker& tracker,
                std::uint32_t rank,
                std::span<const std::uint32_t> tokens,
                base::time_us now_us);

/**
 * Returns the tokens by set and expert, summed over the recent reports. Returns
 * nothing if too few of the `ranks` have reported recently, if there are too
 * few tokens, or while demand is shifting. `experts` is the number of experts
 * in a set.
 */
std::optional<std::vector<std::uint64_t>> SettledDemand(demand_tracker& tracker,
                                                        std::uint32_t ranks,
                                                        std::uint32_t experts,
                                                        base::time_us now_us);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_DEMAND_TRACKER_H_
