#ifndef LIBWISTERIAROUTE_CONTROL_COORDINATORS_H_
#define LIBWISTERIAROUTE_CONTROL_COORDINATORS_H_

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// Who coordinates the groups that the platform forms. `state.leading` must be
// set.

void HandlePresence(replica_state& state,
                    net::link_id link,
                    const wire::rank_presence& presence,
                    const step_time& now,
                    replica_effects& out);

/** The link of a sidecar is gone. */
void DetachRanks(leader_view& leader, net::link_id link, const step_time& now);

/** Grants what has no coordinator that its ranks reach. Due at each tick. */
void GrantCoordinators(replica_state& state,
                       const step_time& now,
                       replica_effects& out);

/** Tells the group's sidecars of the grant in force. */
void SendGrant(replica_state& state,
               const std::string& group,
               replica_effects& out);

/** What a placement of experts has to fit. */
wire::placement_shape SpreadShape(const config::engine_shape& engine);

/** Tells coordinators the shapes of a new configuration. */
void SendChangedShapes(replica_state& state, replica_effects& out);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_COORDINATORS_H_
