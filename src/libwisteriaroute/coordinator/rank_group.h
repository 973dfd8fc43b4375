#ifndef LIBWISTERIAROUTE_COORDINATOR_RANK_GROUP_H_
#define LIBWISTERIAROUTE_COORDINATOR_RANK_GROUP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/coordinator/step_clock.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/policy/demand_tracker.h"
#include "libwisteriaroute/policy/rank_pace.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::coordinator {

/** What the coordinator knows about one rank of the group. */
struct rank_view {
  /** Link of the rank's sidecar. */
  net::link_id link = 0;
  wire::rank_status status;
  /** When the last status arrived. */
  base::time_us last_status_us = 0;
  /** The rank's experts by set, and the map version that they belong to. */
  std::vector<wire::expert_list> experts;
  std::optional<std::uint64_t> experts_version;
  policy::rank_pace pace;
  /** Earliest times at which orders of each kind are sent again. */
  base::time_us next_order_us = 0;
  base::time_us next_fence_us = 0;
  base::time_us next_stray_release_us = 0;
};

/**
 * Phases of a map change. Each one ends when the reported status of the ranks
 * shows that its goal is reached, so another coordinator can continue a change:
 *   kPreparing  every rank copies the experts that it needs for the new map;
 *   kHolding    one rank is told to hold the group at a future step;
 *   kArming     every rank is told to switch maps when that step begins;
 *   kReleasing  all ranks are armed; the hold is released.
 *
 * The hold ensures that no rank begins the step before all ranks are armed. It
 * is never released earlier, because an order to arm may be carried out seconds
 * after the coordinator has abandoned it.
 *
 * A coordinator sends these orders only when the sidecars of all ranks refuse
 * orders of older terms (fencing). Orders that ranks accepted before may still
 * be carried out, so a takeover relies only on reports that no such order can
 * make untrue:
 *   - a rank that has prepared a version refuses to prepare or arm a lower one;
 *   - an armed rank stays armed until it is disarmed or the step begins, and
 *     ranks are disarmed only of a version that one rank refuses for good;
 *   - the highest held step stays held until all ranks are armed for it.
 * A hold or armed ranks that are found are resolved by a change with a new
 * version, which the ranks that aren't armed prepare first. The other change is
 * completed if all ranks turn out to be armed for it.
 */
enum class change_phase : std::uint8_t {
  kPreparing,
  kHolding,
  kArming,
  kReleasing,
};

struct rank_map_change {
  change_phase phase = change_phase::kPreparing;
  std::uint64_t version = 0;
  /** Empty if the ranks were already armed by another coordinator. */
  wire::expert_placement placement;
  /** Mean skew over the sets that `placement` was planned to have. */
  double planned_skew = 0;
  /**
   * The change replaces one that another coordinator left with a hold in place
   * or with armed ranks. It can't be abandoned, only completed.
   */
  bool forward_only = false;
  /** The step at which the ranks switch maps. */
  std::uint64_t step = 0;
  base::time_us started_us = 0;
  /** The edits that turn the placement of `base_version` into this one; 0: the
   * ranks get the whole placement. */
  std::uint64_t base_version = 0;
  std::vector<wire::placement_edit> edits;
  std::uint64_t placement_digest = 0;
  std::uint32_t copies = 0;
  double skew_before = 0;
  /** When the shift of demand was detected that the change follows, and when
   * the phases after the first began; 0: there was none. */
  base::time_us shift_us = 0;
  base::time_us prepared_us = 0;
  base::time_us held_us = 0;
  base::time_us armed_us = 0;
  /** The change is abandoned if not all ranks are prepared by then. */
  base::time_us prepare_deadline_us = 0;
};

/** A group that the platform forms, as reported by its sidecars. */
struct rank_group {
  std::uint64_t formation = 0;
  std::map<std::uint32_t, rank_view> ranks;
  std::optional<rank_map_change> change;
  /** Highest map version used or reported in this formation. */
  std::uint64_t last_version = 0;
  policy::demand_tracker demand;
  /**
   * When this formation was first reported, or a rank last reported a token
   * count other than 0.
   */
  base::time_us last_active_us = 0;
  step_clock clock;
  /** The last change followed a shift with a bounded number of copies, and may
   * be completed by a second one. */
  bool may_complete = false;
  /** Earliest time of the next planning run. */
  base::time_us next_plan_us = 0;
};

}  // namespace wisteriaroute::coordinator

#endif  // LIBWISTERIAROUTE_COORDINATOR_RANK_GROUP_H_
