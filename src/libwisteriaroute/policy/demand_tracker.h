#ifndef LIBWISTERIAROUTE_POLICY_DEMAND_TRACKER_H_
#define LIBWISTERIAROUTE_POLICY_DEMAND_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/** How ranks tell their counts. */
struct count_timing {
  /** Time between two reports of a rank. */
  base::time_us period_us = 0;
  /** A report has the counts of this long before it. */
  base::time_us window_us = 0;
};

/**
 * Bounds what the ranks of a group send to one host: few ranks tell all that
 * they count, and many a sample of it, since all of them serve the same mix of
 * requests. `numbers` are those of a report, one for each set and expert.
 */
count_timing CountTiming(std::uint32_t ranks, std::size_t numbers);

/**
 * Which experts a group wants now, from the counts that its ranks report one
 * after the other. Demand shifts at once, every few seconds; a map that was
 * planned from counts of before and after a shift fits neither. So only the
 * latest report of each rank counts, and after a shift was seen only those that
 * were counted after it.
 */
struct demand_tracker {
  struct report {
    std::vector<std::uint32_t> tokens;
    base::time_us at_us = 0;
  };

  /** The latest reports by rank. */
  std::map<std::uint32_t, report> reports;
  /** Shares by set and expert that demand is compared with. */
  std::vector<double> settled;
  /** Later ones, which take their place. */
  std::vector<double> next_settled;
  base::time_us next_settled_us = 0;
  /** When a shift was seen that isn't over; 0: none. */
  base::time_us shift_us = 0;
};

/**
 * Notes what a rank counted since its last report, by set and expert. Returns
 * whether it counted anything.
 */
bool NoteCounts(demand_tracker& tracker,
                std::uint32_t rank,
                std::span<const std::uint32_t> tokens,
                base::time_us now_us);

/**
 * Tokens by set and expert, if enough of the `ranks` have reported lately and
 * demand isn't shifting. `experts` is their number in a set.
 */
std::optional<std::vector<std::uint64_t>> SettledDemand(demand_tracker& tracker,
                                                        std::uint32_t ranks,
                                                        std::uint32_t experts,
                                                        base::time_us now_us);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_DEMAND_TRACKER_H_
