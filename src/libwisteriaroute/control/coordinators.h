#ifndef LIBWISTERIAROUTE_CONTROL_COORDINATORS_H_
#define LIBWISTERIAROUTE_CONTROL_COORDINATORS_H_

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// Assigns coordinators to the groups that the platform forms.
// `state.leadership` must be set.

/**
 * Updates the rank that a sidecar reports. Sends the current grant back if the
 * sidecar knows an older one. Ignored without a session on the link or with an
 * invalid rank.
 */
void HandlePresence(replica_state& state,
                    net::link_id link,
                    const wire::rank_presence& presence,
                    const step_time& now,
                    replica_effects& out);

/** Marks the ranks of a closed sidecar link as not connected. */
void DetachRanks(leader_state& leader, net::link_id link, const step_time& now);

/**
 * Proposes a grant for each group without a coordinator or with a lost one.
 * Called at each tick.
 */
void GrantCoordinators(replica_state& state,
                       const step_time& now,
                       replica_effects& out);

/** Sends the current grant to the connected sidecars of the group. */
void SendGrant(replica_state& state,
               const std::string& group,
               replica_effects& out);

/** Converts an engine's configuration to the limits of expert placement. */
wire::placement_shape SpreadShape(const config::engine_shape& engine);

/** Sends the grants again if a new configuration changed engine shapes. */
void SendChangedShapes(replica_state& state, replica_effects& out);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_COORDINATORS_H_
