#ifndef LIBWISTERIAROUTE_CONTROL_RANK_GROUP_DRIVE_H_
#define LIBWISTERIAROUTE_CONTROL_RANK_GROUP_DRIVE_H_

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// Expert maps of groups that the platform forms. `state.leading` must be set.

void HandleRankStatus(replica_state& state,
                      net::link_id link,
                      const wire::rank_status& status,
                      const step_time& now,
                      replica_effects& out);

/** Due at each tick: resends orders, plans changes. */
void DriveRankGroups(replica_state& state,
                     const step_time& now,
                     replica_effects& out);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_RANK_GROUP_DRIVE_H_
