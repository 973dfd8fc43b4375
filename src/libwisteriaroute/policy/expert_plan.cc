#include "libwisteriaroute/policy/expert_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "libwisteriaroute/policy/expert_layer.h"

namespace wisteriaroute::policy {

namespace {

// Minimum saving of a change, in standard errors of the slowest rank's
// estimated load. On a settled layer, smaller savings are noise, and acting on
// noise would move experts forever. On a drifting layer the estimate is less
// certain, but waiting for certainty costs more than an occasional useless
// move, unless the cost of moves is weighted higher than that of skew.
constexpr double kSettledErrors = 5.0;
constexpr double kMinDriftingErrors = 1.0;
constexpr double kMaxDriftingErrors = 3.0;
// Moves tried in one decision over all layers. Bounds the time of a decision;
// later decisions start at other layers and so reach those that were left out.
constexpr std::uint32_t kMaxTriedMoves = 12'000;
// Moves without a better net gain after which the search in a layer ends.
constexpr std::uint32_t kMaxMovesWithoutGain = 64;

struct layer_plan {
  std::uint32_t layer = 0;
  std::vector<std::uint16_t> slots;
  std::uint32_t copies = 0;
  double net_gain = 0;
};

std::span<const std::uint16_t> LayerSlots(const wire::expert_map& map,
                                          std::uint32_t layer) {
  const std::size_t size =
      static_cast<std::size_t>(map.ranks) * map.slots_per_rank;
  return std::span(map.slots).subspan(layer * size, size);
}

// Standard error of the estimated load of the slowest rank.
double LoadError(const expert_layer& layer,
                 std::uint32_t slots_per_rank,
                 std::span<const double> error_variance,
                 std::span<const std::uint32_t> replicas,
                 std::span<const double> speed) {
  const std::uint32_t rank = layer.SlowestRank();
  double sum = 0;
  for (std::uint32_t s = 0; s < slots_per_rank; ++s) {
    const std::uint16_t expert = layer.slots()[rank * slots_per_rank + s];
    const double part = 1.0 / replicas[expert];
    sum += error_variance[expert] * part * part;
  }
  return std::sqrt(sum) / speed[rank];
}

std::vector<std::uint32_t> CountReplicas(std::span<const std::uint16_t> slots,
                                         std::uint32_t experts) {
  std::vector<std::uint32_t> replicas(experts, 0);
  for (const std::uint16_t expert : slots) {
    ++replicas[expert];
  }
  return replicas;
}

double SignificantErrors(const expert_load& load,
                         std::uint32_t layer,
                         const plan_settings& settings) {
  if (IsSettled(load, layer)) {
    return kSettledErrors;
  }
  return std::clamp(settings.cost_weight / settings.skew_weight,
                    kMinDriftingErrors, kMaxDriftingErrors);
}

double CopyPrice(const plan_settings& settings) {
  return settings.cost_weight * settings.expert_bytes /
         settings.store_bytes_per_s;
}

// Follows the steepest descent of the slowest rank and keeps the prefix of
// moves with the best net gain, because single moves often only make room
// for the next one.
layer_plan PlanLayer(const wire::expert_map& current,
                     const expert_load& load,
                     std::span<const double> speed,
                     const plan_settings& settings,
                     std::uint32_t index,
                     std::uint32_t& budget) {
  const std::size_t first = static_cast<std::size_t>(index) * load.experts;
  const auto share = std::span(load.share).subspan(first, load.experts);
  const auto error =
      std::span(load.error_variance).subspan(first, load.experts);
  const auto slots = LayerSlots(current, index);
  expert_layer layer(slots, current.slots_per_rank, share, speed);
  const double start = layer.MaxTime();
  const double significant =
      SignificantErrors(load, index, settings) *
      LoadError(layer, current.slots_per_rank, error,
                CountReplicas(slots, load.experts), speed);
  const double price_per_share = settings.skew_weight * settings.layer_seconds *
                                 settings.steps_per_s * settings.horizon_s;
  const double copy_price = CopyPrice(settings);
  layer_plan best{.layer = index};
  const double ideal = 1 / std::accumulate(speed.begin(), speed.end(), 0.0);
  if (start - ideal <= significant ||
      (start - ideal) * price_per_share <= copy_price) {
    return best;
  }
  std::uint32_t copies = 0;
  std::uint32_t moves_without_gain = 0;
  expert_layer::move next;
  while (budget > 0 && moves_without_gain < kMaxMovesWithoutGain &&
         layer.FindMove(next)) {
    --budget;
    ++moves_without_gain;
    layer.Apply(next);
    copies += next.copies();
    const double saved = start - layer.MaxTime();
    const double net = saved * price_per_share - copies * copy_price;
    if (saved > significant && net > best.net_gain) {
      moves_without_gain = 0;
      best.net_gain = net;
      best.copies = copies;
      best.slots.assign(layer.slots().begin(), layer.slots().end());
    }
  }
  return best;
}

// Keeps the layers with the highest gain per copy, up to `max_copies`; 0: no
// limit.
void LimitCopies(std::vector<layer_plan>& plans, std::uint32_t max_copies) {
  std::sort(plans.begin(), plans.end(),
            [](const layer_plan& a, const layer_plan& b) {
              return a.net_gain * b.copies > b.net_gain * a.copies;
            });
  std::uint32_t used = 0;
  std::erase_if(plans, [&](const layer_plan& plan) {
    if (max_copies != 0 && used + plan.copies > max_copies) {
      return true;
    }
    used += plan.copies;
    return false;
  });
}

}  // namespace

std::optional<map_change> PlanChange(const wire::expert_map& current,
                                     const expert_load& load,
                                     std::span<const double> speed,
                                     const plan_settings& settings) {
  std::vector<layer_plan> plans;
  std::uint32_t budget = kMaxTriedMoves;
  for (std::uint32_t i = 0; i < current.layers; ++i) {
    // Starts at a different layer each time, so that the limit of tried moves
    // doesn't always exclude the same layers.
    const auto l =
        static_cast<std::uint32_t>((load.observations + i) % current.layers);
    layer_plan plan = PlanLayer(current, load, speed, settings, l, budget);
    if (plan.copies > 0) {
      plans.push_back(std::move(plan));
    }
  }
  LimitCopies(plans, settings.max_copies);
  const double gain = std::accumulate(plans.begin(), plans.end(), 0.0,
                                      [](double sum, const layer_plan& plan) {
                                        return sum + plan.net_gain;
                                      }) -
                      settings.cost_weight * settings.switch_pause_s;
  if (plans.empty() || gain <= 0) {
    return std::nullopt;
  }
  map_change change{.map = current, .net_gain = gain};
  for (const layer_plan& plan : plans) {
    std::copy(plan.slots.begin(), plan.slots.end(),
              change.map.slots.begin() +
                  static_cast<std::ptrdiff_t>(plan.layer * plan.slots.size()));
  }
  change.copies = CopiesBetween(current, change.map);
  return change;
}

wire::expert_map InitialMap(std::uint32_t layers,
                            std::uint32_t ranks,
                            std::uint32_t experts,
                            std::uint32_t slots_per_rank) {
  wire::expert_map map{.experts = experts,
                       .ranks = ranks,
                       .layers = layers,
                       .slots_per_rank = slots_per_rank};
  const std::uint32_t per_layer = ranks * slots_per_rank;
  map.slots.resize(static_cast<std::size_t>(layers) * per_layer);
  for (std::uint32_t l = 0; l < layers; ++l) {
    for (std::uint32_t i = 0; i < per_layer; ++i) {
      // Fills one slot of each rank before the next, so that a rank never holds
      // an expert twice as long as a rank has no more slots than there are
      // experts.
      const std::uint32_t rank = i % ranks;
      const std::uint32_t slot = i / ranks;
      const std::uint32_t round = i / experts;
      map.slots[(static_cast<std::size_t>(l) * ranks + rank) * slots_per_rank +
                slot] = static_cast<std::uint16_t>((i + round) % experts);
    }
  }
  return map;
}

std::vector<expert_copy> CopiesBetween(const wire::expert_map& from,
                                       const wire::expert_map& to) {
  std::vector<expert_copy> copies;
  const std::uint32_t per_rank = to.slots_per_rank;
  for (std::uint32_t l = 0; l < to.layers; ++l) {
    for (std::uint32_t r = 0; r < to.ranks; ++r) {
      const std::size_t first =
          (static_cast<std::size_t>(l) * to.ranks + r) * per_rank;
      const auto held = std::span(from.slots).subspan(first, per_rank);
      for (std::uint32_t s = 0; s < per_rank; ++s) {
        const std::uint16_t expert = to.slots[first + s];
        if (std::find(held.begin(), held.end(), expert) == held.end()) {
          copies.push_back({l, r, s, expert});
        }
      }
    }
  }
  return copies;
}

}  // namespace wisteriaroute::policy
