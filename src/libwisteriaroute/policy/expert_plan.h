#ifndef LIBWISTERIAROUTE_POLICY_EXPERT_PLAN_H_
#define LIBWISTERIAROUTE_POLICY_EXPERT_PLAN_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "libwisteriaroute/policy/expert_load.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::policy {

/** Costs of skew and of expert copies, and bounds of a change. */
struct plan_settings {
  /** Price of one second of lost step time, and of one second of moving. */
  double skew_weight = 1;
  double cost_weight = 1;
  double expert_bytes = 0;
  /** Rate limit of the weight store for the whole group. */
  double store_bytes_per_s = 1;
  double switch_pause_s = 0;
  /** Expected time until drift makes a map obsolete. */
  double horizon_s = 3'600;
  /** Time that one rank would need for all tokens of a layer in one step: the
   * time of the layer in a perfectly balanced step times the number of ranks.
   */
  double layer_seconds = 0;
  double steps_per_s = 0;
  /** Maximum number of expert copies in one change; 0: no limit. */
  std::uint32_t max_copies = 0;
};

/** An expert whose weights a rank must fetch, and the slot that receives it. */
struct expert_copy {
  std::uint32_t layer = 0;
  std::uint32_t rank = 0;
  std::uint32_t slot = 0;
  std::uint16_t expert = 0;

  bool operator==(const expert_copy&) const = default;
};

struct map_change {
  wire::expert_map map;
  std::vector<expert_copy> copies;
  /** Cost saved over the horizon, minus the cost of the change. */
  double net_gain = 0;
};

/**
 * Proposes a change of `current`. Returns nothing if no change saves more than
 * it costs.
 * `speed` holds the relative speed of each rank (1: healthy).
 */
std::optional<map_change> PlanChange(const wire::expert_map& current,
                                     const expert_load& load,
                                     std::span<const double> speed,
                                     const plan_settings& settings);

/** Map of a new group: assigns the experts to the slots in turn and fills spare
 * slots with replicas. */
wire::expert_map InitialMap(std::uint32_t layers,
                            std::uint32_t ranks,
                            std::uint32_t experts,
                            std::uint32_t slots_per_rank);

/** Copies needed to change one map into another of the same size. */
std::vector<expert_copy> CopiesBetween(const wire::expert_map& from,
                                       const wire::expert_map& to);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_EXPERT_PLAN_H_
