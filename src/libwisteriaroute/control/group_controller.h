#ifndef LIBWISTERIAROUTE_CONTROL_GROUP_CONTROLLER_H_
#define LIBWISTERIAROUTE_CONTROL_GROUP_CONTROLLER_H_

#include <string>

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// The leader's side of the protocol that changes expert maps.
// `state.leadership` must be set.

/** Sends the orders that are due and proposes the next phase of each group. */
void AdvanceGroups(replica_state& state,
                   const step_time& now,
                   replica_effects& out);

/**
 * Records a rank's answer to an order, and advances the group if the answer
 * allows it. Results for another phase or from another incarnation of the
 * backend server are ignored.
 */
void HandleOrderResult(replica_state& state,
                       net::link_id link,
                       const wire::order_result& result,
                       const step_time& now,
                       replica_effects& out);

/** Records step, map and load of a rank; other generations are ignored. */
void HandleGroupReport(replica_state& state,
                       net::link_id link,
                       const wire::group_report& report);

/**
 * Sets the map that a group changes to once no other change is pending.
 * Ignored if the map is in use already or has another size.
 */
void HandleMapChangeRequested(replica_state& state,
                              const map_change_requested& request);

/** The first map of a new group: experts spread evenly over the slots. */
wire::expert_map EvenMap(const config::model_group& group);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_GROUP_CONTROLLER_H_
