#ifndef LIBWISTERIAROUTE_CONTROL_GROUP_DRIVE_H_
#define LIBWISTERIAROUTE_CONTROL_GROUP_DRIVE_H_

#include <string>

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// The leader's part in the map protocol. `state.leading` must be set.

/** Sends the orders that are due and proposes the next phase of each group. */
void DriveGroups(replica_state& state,
                 const step_time& now,
                 replica_effects& out);

void HandleOrderResult(replica_state& state,
                       net::link_id link,
                       const wire::order_result& result,
                       const step_time& now,
                       replica_effects& out);

void HandleGroupReport(replica_state& state,
                       net::link_id link,
                       const wire::group_report& report);

/** A map for a group to change to, once it is idle. */
void HandleMapWanted(replica_state& state, const map_wanted& wanted);

/** Experts spread evenly over the slots: the map of a new group. */
wire::expert_map EvenMap(const config::model_group& group);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_GROUP_DRIVE_H_
