#ifndef LIBWISTERIAROUTE_COORDINATOR_RANK_GROUP_H_
#define LIBWISTERIAROUTE_COORDINATOR_RANK_GROUP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/policy/demand_tracker.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::coordinator {

// The hold has to reach its rank before the step begins.
inline constexpr std::uint64_t kMinMarginSteps = 2;

/** The coordinator's view of one rank of a group that the platform forms. */
struct rank_view {
  /** Link of its sidecar. */
  net::link_id link = 0;
  wire::rank_status status;
  base::time_us heard_us = 0;
  /** Experts by set, and the map version that they belong to. */
  std::vector<wire::expert_list> experts;
  std::optional<std::uint64_t> experts_version;
  base::time_us next_order_us = 0;
  base::time_us next_fence_us = 0;
  base::time_us next_stray_us = 0;
};

/**
 * A change of map proceeds by what the ranks report, so that any coordinator
 * can go on with it: kPreparing  every rank copies what the new map needs;
 *   kHolding    the group is held at a step ahead, at one rank;
 *   kArming     every rank is told to switch as that step begins;
 *   kReleasing  all are armed; the group may begin the step.
 * The hold makes sure that no rank begins the step before all are armed, and
 * it is released in no other case: an order to arm may be carried out seconds
 * after it was given up. A coordinator that finds a hold whose change it
 * can't complete goes forward under a version of its own, which makes such
 * orders void, because their version isn't prepared any more. Before it gives
 * any order, the sidecars of all ranks have refused those of older terms.
 */
enum class change_phase : std::uint8_t {
  kPreparing,
  kHolding,
  kArming,
  kReleasing,
};

struct rank_change {
  change_phase phase = change_phase::kPreparing;
  std::uint64_t version = 0;
  /** Empty if another coordinator has armed all ranks. */
  wire::expert_placement placement;
  /** Skew that the placement was planned to have. */
  double planned_skew = 0;
  /** It replaces a change whose hold is in place, so it can't be given up. */
  bool forward_only = false;
  std::uint64_t step = 0;
  base::time_us since_us = 0;
  /** It is given up if it isn't prepared by then. */
  base::time_us prepare_until_us = 0;
};

/** A group that the platform forms, as its sidecars report it. */
struct rank_group {
  std::uint64_t formation = 0;
  std::map<std::uint32_t, rank_view> ranks;
  std::optional<rank_change> change;
  /** The highest version that was used or seen in this formation. */
  std::uint64_t last_version = 0;
  policy::demand_tracker demand;
  /** When the group formed, was first heard of or last counted anything. */
  base::time_us active_us = 0;
  /** Steps between the last known one and the next hold. */
  std::uint64_t margin_steps = kMinMarginSteps;
  /** No look at the map before this time. */
  base::time_us next_plan_us = 0;
};

}  // namespace wisteriaroute::coordinator

#endif  // LIBWISTERIAROUTE_COORDINATOR_RANK_GROUP_H_
