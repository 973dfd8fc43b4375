#ifndef LIBWISTERIAROUTE_POLICY_EXPERT_SPREAD_H_
#define LIBWISTERIAROUTE_POLICY_EXPERT_SPREAD_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <vector>

#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::policy {

/** Limits of a change of an expert placement. */
struct spread_limits {
  std::uint32_t experts = 0;
  /** Maximum number of experts that a rank holds in a set. */
  std::uint32_t slots_per_rank = 0;
  /** Experts that a rank may receive in one change: over all sets in
   * PlanSpread(), in each set in PlanIdleReplication(). */
  std::uint32_t max_copies_per_rank = 0;
  /** Experts that a rank may receive in one change in one set.
   * PlanIdleReplication() ignores this limit. */
  std::uint32_t max_copies_per_set = std::numeric_limits<std::uint32_t>::max();
  /** Minimum reduction of the mean skew that justifies a change. */
  double min_gain = 0.35;
  /** Speed of each rank, 1 if healthy; empty: all healthy. */
  std::vector<double> speed;
};

struct spread_change {
  wire::expert_placement placement;
  /** Skew (slowest rank over the mean) before and after, mean over the sets. */
  double skew_before = 0;
  double skew_after = 0;
  std::uint32_t copies = 0;
};

/**
 * Plans a change for demand that shifts within seconds, where a few experts get
 * most of the tokens and other experts after the next shift. Replicates the
 * experts of the slowest ranks with as few copies as possible, because copying
 * takes about as long as the demand lasts. `tokens` is indexed by set and
 * expert. Returns nothing if the change reduces the skew by less than
 * `limits.min_gain` or if the arguments don't fit together.
 */
std::optional<spread_change> PlanSpread(const wire::expert_placement& current,
                                        std::span<const std::uint64_t> tokens,
                                        const spread_limits& limits);

/**
 * Prepares for a shift of demand to experts that can't be predicted: fills free
 * slots with second replicas of as many experts as possible, so that some of
 * the experts in demand after the shift are on two ranks. Intended for an idle
 * group, where copying delays no request. Returns nothing if no slot is free or
 * the placement doesn't fit the limits.
 */
std::optional<spread_change> PlanIdleReplication(
    const wire::expert_placement& current,
    const spread_limits& limits);

/**
 * Number of experts that a rank may receive in one change: as many as can be
 * copied within `kCopyBudgetUs`, because demand lasts only a few seconds. At
 * least one, but never more than the spare slots of a rank over all sets.
 */
std::uint32_t CopiesPerRank(const wire::placement_shape& shape);

inline constexpr std::uint64_t kCopyBudgetUs = 160'000;

/**
 * Mean skew over the sets of a placement; 1 means perfect balance of healthy
 * ranks, 0 an empty placement. `speed` is that of each rank; empty: all
 * healthy.
 */
double MeanSkew(const wire::expert_placement& placement,
                std::span<const std::uint64_t> tokens,
                std::uint32_t experts,
                std::span<const double> speed = {});

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_EXPERT_SPREAD_H_
