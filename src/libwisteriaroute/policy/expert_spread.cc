#include "libwisteriaroute/policy/expert_spread.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <vector>

#include "libwisteriaroute/policy/expert_layer.h"

namespace wisteriaroute::policy {

namespace {

// Bounds the time of a decision; a change needs only a few moves per rank.
constexpr std::size_t kMaxMovesPerSet = 64;
// A set with at most this skew is not changed any further: more copies would
// cost more than the remaining skew.
constexpr double kTargetSkew = 1.2;

// Coprime to the usual numbers of experts, so that the search reaches all of
// them.
constexpr std::uint32_t kSearchStride = 37;

/** Shares of the experts of a set, followed by a share of 0 for free slots. */
std::vector<double> Shares(std::span<const std::uint64_t> tokens) {
  const double total =
      static_cast<double>(std::accumulate(tokens.begin(), tokens.end(), 0ULL));
  std::vector<double> shares;
  for (const std::uint64_t count : tokens) {
    shares.push_back(total > 0 ? static_cast<double>(count) / total
                               : 1.0 / static_cast<double>(tokens.size()));
  }
  shares.push_back(0);
  return shares;
}

/** All slots of a set in rank order; free slots hold the number `free`. */
std::vector<std::uint16_t> SlotContents(
    const std::vector<wire::expert_list>& ranks,
    std::uint32_t slots_per_rank,
    std::uint16_t free) {
  std::vector<std::uint16_t> slots;
  for (const wire::expert_list& held : ranks) {
    slots.insert(slots.end(), held.begin(), held.end());
    slots.insert(slots.end(), slots_per_rank - held.size(), free);
  }
  return slots;
}

std::vector<wire::expert_list> ExpertLists(std::span<const std::uint16_t> slots,
                                           std::uint32_t slots_per_rank,
                                           std::uint16_t free) {
  std::vector<wire::expert_list> ranks;
  for (std::size_t first = 0; first < slots.size(); first += slots_per_rank) {
    wire::expert_list& held = ranks.emplace_back();
    for (const std::uint16_t expert : slots.subspan(first, slots_per_rank)) {
      if (expert != free) {
        held.push_back(expert);
      }
    }
  }
  return ranks;
}

bool Fits(const wire::expert_placement& current, const spread_limits& limits) {
  for (const auto& ranks : current) {
    for (const wire::expert_list& held : ranks) {
      const bool known = std::ranges::all_of(
          held, [&](std::uint16_t e) { return e < limits.experts; });
      if (!known || held.size() > limits.slots_per_rank) {
        return false;
      }
    }
  }
  return !current.empty() && !current.front().empty() &&
         (limits.speed.empty() ||
          limits.speed.size() == current.front().size());
}

std::uint32_t CountNew(const wire::expert_list& from,
                       const wire::expert_list& to) {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(to, [&](std::uint16_t expert) {
        return std::ranges::find(from, expert) == from.end();
      }));
}

/** Improves the placements of all sets one move at a time. */
class planner {
 public:
  planner(const wire::expert_placement& current,
          std::span<const std::uint64_t> tokens,
          const spread_limits& limits)
      : limits_(limits),
        free_(static_cast<std::uint16_t>(limits.experts)),
        speed_(limits.speed.empty()
                   ? std::vector<double>(current.front().size(), 1.0)
                   : limits.speed),
        copies_left_(current.front().size(), limits.max_copies_per_rank) {
    // Layers refer to their shares, so `shares_` must not reallocate.
    shares_.reserve(current.size());
    for (std::size_t set = 0; set < current.size(); ++set) {
      shares_.push_back(
          Shares(tokens.subspan(set * limits.experts, limits.experts)));
      layers_.emplace_back(
          SlotContents(current[set], limits.slots_per_rank, free_),
          limits.slots_per_rank, shares_.back(), speed_, copies_left_,
          limits.max_copies_per_set);
    }
  }

  double Skew() const {
    double sum = 0;
    for (const expert_layer& layer : layers_) {
      sum += layer.MaxTime();
    }
    return sum * Ranks() / static_cast<double>(layers_.size());
  }

  /** Applies one move to the set with the highest skew that can be improved.
   * Returns false if there is none. */
  bool ApplyBestMove() {
    std::vector<std::size_t> order(layers_.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::sort(order, std::greater(),
                      [&](std::size_t set) { return layers_[set].MaxTime(); });
    for (const std::size_t set : order) {
      expert_layer& layer = layers_[set];
      expert_layer::move next;
      if (layer.MaxTime() * Ranks() > kTargetSkew && layer.FindMove(next)) {
        layer.Apply(next);
        return true;
      }
    }
    return false;
  }

  wire::expert_placement Placement() const {
    wire::expert_placement placement;
    for (const expert_layer& layer : layers_) {
      placement.push_back(
          ExpertLists(layer.slots(), limits_.slots_per_rank, free_));
    }
    return placement;
  }

 private:
  double Ranks() const { return static_cast<double>(speed_.size()); }

  const spread_limits& limits_;
  std::uint16_t free_;
  std::vector<double> speed_;
  std::vector<std::uint32_t> copies_left_;
  std::vector<std::vector<double>> shares_;
  std::vector<expert_layer> layers_;
};

std::uint32_t CountCopies(const wire::expert_placement& from,
                          const wire::expert_placement& to) {
  std::uint32_t copies = 0;
  for (std::size_t set = 0; set < from.size(); ++set) {
    for (std::size_t rank = 0; rank < from[set].size(); ++rank) {
      copies += CountNew(from[set][rank], to[set][rank]);
    }
  }
  return copies;
}

}  // namespace

std::optional<spread_change> PlanSpread(const wire::expert_placement& current,
                                        std::span<const std::uint64_t> tokens,
                                        const spread_limits& limits) {
  if (!Fits(current, limits) ||
      tokens.size() != current.size() * limits.experts) {
    return std::nullopt;
  }
  planner plan(current, tokens, limits);
  spread_change change{.skew_before = plan.Skew()};
  const std::size_t most_moves = kMaxMovesPerSet * current.size();
  for (std::size_t i = 0; i < most_moves && plan.ApplyBestMove(); ++i) {
  }
  change.skew_after = plan.Skew();
  change.placement = plan.Placement();
  change.copies = CountCopies(current, change.placement);
  if (change.copies == 0 ||
      change.skew_before - change.skew_after < limits.min_gain) {
    return std::nullopt;
  }
  return change;
}

std::uint32_t CopiesPerRank(const wire::placement_shape& shape) {
  const std::uint64_t most = std::uint64_t{shape.sets} * shape.spare_slots;
  const std::uint64_t within_budget =
      shape.copy_us == 0 ? most : kCopyBudgetUs / shape.copy_us;
  return static_cast<std::uint32_t>(
      std::min(most, std::max<std::uint64_t>(within_budget, 1)));
}

std::optional<spread_change> PlanIdleReplication(
    const wire::expert_placement& current,
    const spread_limits& limits) {
  if (!Fits(current, limits)) {
    return std::nullopt;
  }
  spread_change change{.placement = current};
  for (auto& ranks : change.placement) {
    std::vector<std::uint32_t> replicas(limits.experts);
    for (const wire::expert_list& held : ranks) {
      for (const std::uint16_t expert : held) {
        ++replicas[expert];
      }
    }
    // Each rank gets one expert per round, so that the replicas are distributed
    // over all ranks.
    for (std::uint32_t round = 0; round < limits.max_copies_per_rank; ++round) {
      for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        wire::expert_list& held = ranks[rank];
        if (held.size() >= limits.slots_per_rank) {
          continue;
        }
        std::optional<std::uint16_t> rarest;
        for (std::uint32_t i = 0; i < limits.experts; ++i) {
          // Starts at a different expert for each rank, so that neighbouring
          // ranks replicate each other's experts.
          const auto expert = static_cast<std::uint16_t>(
              (i * kSearchStride + rank + round) % limits.experts);
          if (std::ranges::find(held, expert) == held.end() &&
              (!rarest || replicas[expert] < replicas[*rarest])) {
            rarest = expert;
          }
        }
        if (rarest) {
          held.push_back(*rarest);
          ++replicas[*rarest];
          ++change.copies;
        }
      }
    }
  }
  return change.copies == 0 ? std::nullopt : std::optional(std::move(change));
}

double MeanSkew(const wire::expert_placement& placement,
                std::span<const std::uint64_t> tokens,
                std::uint32_t experts,
                std::span<const double> speed) {
  double sum = 0;
  for (std::size_t set = 0; set < placement.size(); ++set) {
    const std::vector<double> shares =
        Shares(tokens.subspan(set * experts, experts));
    std::vector<double> replicas(experts + 1, 0);
    for (const wire::expert_list& held : placement[set]) {
      for (const std::uint16_t expert : held) {
        replicas[std::min<std::size_t>(expert, experts)] += 1;
      }
    }
    double most = 0;
    for (std::size_t rank = 0; rank < placement[set].size(); ++rank) {
      const wire::expert_list& held = placement[set][rank];
      double load = 0;
      for (const std::uint16_t expert : held) {
        const std::size_t e = std::min<std::size_t>(expert, experts);
        load += shares[e] / replicas[e];
      }
      most = std::max(most, speed.empty() ? load : load / speed[rank]);
    }
    sum += most * static_cast<double>(placement[set].size());
  }
  return placement.empty() ? 0 : sum / static_cast<double>(placement.size());
}

}  // namespace wisteriaroute::policy
