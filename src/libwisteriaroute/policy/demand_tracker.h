#ifndef LIBWISTERIAROUTE_POLICY_DEMAND_TRACKER_H_
#define LIBWISTERIAROUTE_POLICY_DEMAND_TRACKER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/**
 * Interval between two reports of the token counts of a rank, such that all
 * ranks of the group send their coordinator a bounded number of bytes in a
 * second. `report_bytes` is the encoded size of one report.
 */
base::time_us CountPeriodUs(std::uint32_t ranks, std::size_t report_bytes);

/** Token counts of one rank over a few passes. */
struct count_report {
  std::uint32_t rank = 0;
  /** Steps of the rank at the start and at the end of the counts. */
  std::uint64_t first_step = 0;
  std::uint64_t last_step = 0;
  /** By set and expert. */
  std::vector<std::uint32_t> tokens;
};

/**
 * Tracks the current demand for the experts of a group, from the token counts
 * that its ranks report one after the other. Demand shifts abruptly every few
 * seconds, and a map planned from a mix of counts from before and after a shift
 * fits neither. All ranks run the same passes, so a shift that a few reports
 * show applies to all; after it, only counts of later passes are used.
 */
struct demand_tracker {
  struct recent_report {
    count_report counts;
    base::time_us at_us = 0;
    /** Estimated part of the demand that differs from the baseline. */
    double moved = 0;
  };

  std::uint32_t experts = 0;
  /** Reports that count as current demand, oldest first. */
  std::deque<recent_report> reports;
  /** Sum of their tokens by set and expert. */
  std::vector<std::uint64_t> sum;
  /** Tokens of demand before a possible shift, older ones with less weight. */
  std::vector<double> baseline;
  /** Evidence that one token gives for a shift, by set and expert. */
  std::vector<double> score;
  /** Mean evidence by set, of tokens chosen as in the baseline, and of tokens
   * chosen without relation to it. */
  std::vector<double> baseline_score;
  std::vector<double> unrelated_score;
  base::time_us scored_us = 0;
  /** Sum of the evidence of the last reports. */
  double evidence = 0;
  /** Last step of the first report that showed the possible shift. */
  std::uint64_t suspected_step = 0;
  /** When the shift in progress was detected; 0 if there is none. */
  base::time_us shift_detected_us = 0;
  /** When the last shift was detected, and when demand after it was known. */
  base::time_us last_shift_us = 0;
  base::time_us last_settled_us = 0;
  std::uint64_t shifts = 0;
};

/**
 * Records a report; `experts` is the number of experts in a set. A report
 * without tokens is ignored. Returns whether there were any tokens.
 */
bool NoteCounts(demand_tracker& tracker,
                count_report report,
                std::uint32_t experts,
                base::time_us now_us);

/**
 * Returns the tokens by set and expert, summed over the recent reports. Returns
 * nothing if too few of the `ranks` have reported recently, if there are too
 * few tokens, or while demand is shifting.
 */
std::optional<std::vector<std::uint64_t>> SettledDemand(demand_tracker& tracker,
                                                        std::uint32_t ranks,
                                                        base::time_us now_us);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_DEMAND_TRACKER_H_
