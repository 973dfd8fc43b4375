#ifndef LIBWISTERIAROUTE_COORDINATOR_COORDINATOR_H_
#define LIBWISTERIAROUTE_COORDINATOR_COORDINATOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libwisteriaroute/coordinator/rank_group.h"

namespace wisteriaroute::coordinator {

/** Link id that denotes the rank on the coordinator's own host. */
inline constexpr net::link_id kLocalLink = 0;

/**
 * State of the coordinator, which manages the expert map of one group that the
 * platform forms. It runs in the sidecar on one of the group's hosts. Only Step
 * changes it.
 */
struct coordinator_state {
  /** Term of the current grant; 0 if this process isn't the coordinator. */
  std::uint64_t term = 0;
  std::string group_name;
  /** Unset until a grant contains it; no changes are planned without it. */
  std::optional<wire::placement_shape> shape;
  rank_group group;
};

// Events.

/**
 * Control made this process the coordinator, or repeated the grant, possibly
 * with a new shape. Grants of older terms are ignored.
 */
struct coordination_granted {
  wire::coordinator_grant grant;
};
/** This process no longer coordinates the group. */
struct coordination_lost {};
struct rank_reported {
  /** Link of the rank's sidecar. */
  net::link_id link = kLocalLink;
  wire::rank_status status;
};
/**
 * Occurs every kCoordinatorTickUs: resends unconfirmed orders and plans map
 * changes.
 */
struct coordinator_tick {};

inline constexpr base::time_us kCoordinatorTickUs = 10'000;

using coordinator_event = std::variant<coordination_granted,
                                       coordination_lost,
                                       rank_reported,
                                       coordinator_tick>;

// Effects.

/** Sends one order to several sidecars; it is encoded only once. */
struct send_order {
  std::vector<net::link_id> links;
  wire::rank_order order;
};
/** Logs and counts a decision. */
struct log_event {
  std::string kind;
  std::string group;
  std::string detail;
  /** Durations of the stages of a map change, by name. */
  std::vector<std::pair<const char*, base::time_us>> stages;
};

using coordinator_effect = std::variant<send_order, log_event>;
using coordinator_effects = std::vector<coordinator_effect>;

/** Processes one event and returns the resulting effects. Never throws. */
coordinator_effects Step(coordinator_state& state,
                         const coordinator_event& event,
                         base::time_us now_us);

}  // namespace wisteriaroute::coordinator

#endif  // LIBWISTERIAROUTE_COORDINATOR_COORDINATOR_H_
