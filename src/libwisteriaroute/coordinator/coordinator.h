#ifndef LIBWISTERIAROUTE_COORDINATOR_COORDINATOR_H_
#define LIBWISTERIAROUTE_COORDINATOR_COORDINATOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libwisteriaroute/coordinator/rank_group.h"

namespace wisteriaroute::coordinator {

/** Stands among the links for the rank beside the coordinator. */
inline constexpr net::link_id kOwnRank = 0;

/**
 * Drives the expert map of one group that the platform forms, from one of the
 * group's hosts. Changed only by Step.
 */
struct coordinator_state {
  /** Of the grant in force; 0: this process coordinates nothing. */
  std::uint64_t term = 0;
  std::string name;
  std::optional<wire::placement_shape> shape;
  rank_group group;
};

// Events.

/** Control granted the part to this process, or told the shape anew. */
struct part_granted {
  wire::coordinator_grant grant;
};
/** Another process has the part. */
struct part_lost {};
struct rank_reported {
  /** Link of its sidecar. */
  net::link_id link = kOwnRank;
  wire::rank_status status;
};
/** Due every kCoordinatorTickUs: resends orders, plans changes. */
struct coordinator_tick {};

inline constexpr base::time_us kCoordinatorTickUs = 50'000;

using coordinator_event =
    std::variant<part_granted, part_lost, rank_reported, coordinator_tick>;

// Effects.

/** One order to several sidecars, encoded once. */
struct send_order {
  std::vector<net::link_id> links;
  wire::rank_order order;
};
/** A decision for the log. */
struct note_change {
  std::string kind;
  std::string group;
  std::string detail;
};

using coordinator_effect = std::variant<send_order, note_change>;
using coordinator_effects = std::vector<coordinator_effect>;

/** One step. Never throws. */
coordinator_effects Step(coordinator_state& state,
                         const coordinator_event& event,
                         base::time_us now_us);

}  // namespace wisteriaroute::coordinator

#endif  // LIBWISTERIAROUTE_COORDINATOR_COORDINATOR_H_
