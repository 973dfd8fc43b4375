#ifndef LIBWISTERIAROUTE_POLICY_EXPERT_SPREAD_H_
#define LIBWISTERIAROUTE_POLICY_EXPERT_SPREAD_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <span>

#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::policy {

/** Bounds and prices of a change of an expert placement. */
struct spread_limits {
  std::uint32_t experts = 0;
  /** Experts that a rank holds at most in a set. */
  std::uint32_t slots_per_rank = 0;
  /** Experts that a rank may receive in one change, over all sets. */
  std::uint32_t max_copies_per_rank = 0;
  /** The same in one set. */
  std::uint32_t max_copies_per_set = std::numeric_limits<std::uint32_t>::max();
  /** Least reduction of the summed skew that is worth a change. */
  double min_gain = 0.35;
};

struct spread_change {
  wire::expert_placement placement;
  /** Skew (slowest rank over the mean) before and after, mean over the sets. */
  double skew_before = 0;
  double skew_after = 0;
  std::uint32_t copies = 0;
};

/**
 * Answers demand that shifts within seconds: a few experts get much of it, and
 * others next time. Replicates the experts of the slowest ranks with as few
 * copies as may be, since copying takes about as long as demand stays. `tokens`
 * are by set and expert. Returns nothing if no change is worth its price.
 */
std::optional<spread_change> PlanSpread(const wire::expert_placement& current,
                                        std::span<const std::uint64_t> tokens,
                                        const spread_limits& limits);

/**
 * Answers that nobody knows which experts are wanted next: fills the free slots
 * with second replicas of as many experts as may be, so that a shift of demand
 * finds some of them on two ranks. For a group that is idle, where copying
 * delays nobody. Returns nothing if no slot is free.
 */
std::optional<spread_change> PlanHedge(const wire::expert_placement& current,
                                       const spread_limits& limits);

/**
 * Answers that demand stays for a few seconds only: as many experts a rank as
 * are copied within `kCopyBudgetUs`, at least one.
 */
std::uint32_t CopiesPerRank(const wire::placement_shape& shape);

inline constexpr std::uint64_t kCopyBudgetUs = 400'000;

/** Mean skew over the sets of a placement; 1 is perfect balance. */
double MeanSkew(const wire::expert_placement& placement,
                std::span<const std::uint64_t> tokens,
                std::uint32_t experts);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_EXPERT_SPREAD_H_
