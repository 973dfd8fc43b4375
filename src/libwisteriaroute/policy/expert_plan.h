#ifndef LIBWISTERIAROUTE_POLICY_EXPERT_PLAN_H_
#define LIBWISTERIAROUTE_POLICY_EXPERT_PLAN_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "libwisteriaroute/policy/expert_load.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::policy {

/** What skew and moves cost a group. */
struct plan_settings {
  /** Price of one second of lost step time, and of one second of moving. */
  double skew_weight = 1;
  double cost_weight = 1;
  double expert_bytes = 0;
  /** Rate limit of the weight store for the whole group. */
  double store_bytes_per_s = 1;
  double switch_pause_s = 0;
  /** Time until drift is expected to have made a map obsolete. */
  double horizon_s = 3'600;
  /** Time that a layer takes of a perfectly balanced step, times the rank
   *  count: the time of a rank that runs all tokens of one layer. */
  double layer_seconds = 0;
  /** Steps a second. */
  double steps_per_s = 0;
  /** Bound of expert copies in one change; 0: none. */
  std::uint32_t max_copies = 0;
};

/** A copy of an expert's weights that a rank must fetch. */
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
  /** Price saved over the horizon, less the price of the change. */
  double net_gain = 0;
};

/**
 * Proposes a change of `current`, or none if no change pays for itself.
 * `speed` holds the relative speed of each rank (1: healthy).
 */
std::optional<map_change> PlanChange(const wire::expert_map& current,
                                     const expert_load& load,
                                     std::span<const double> speed,
                                     const plan_settings& settings);

/** A first map: experts in turn over all slots, spare slots as replicas. */
wire::expert_map InitialMap(std::uint32_t layers,
                            std::uint32_t ranks,
                            std::uint32_t experts,
                            std::uint32_t slots_per_rank);

/** Copies that lead from one map to another of the same size. */
std::vector<expert_copy> CopiesBetween(const wire::expert_map& from,
                                       const wire::expert_map& to);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_EXPERT_PLAN_H_
