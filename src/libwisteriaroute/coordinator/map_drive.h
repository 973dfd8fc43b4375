#ifndef LIBWISTERIAROUTE_COORDINATOR_MAP_DRIVE_H_
#define LIBWISTERIAROUTE_COORDINATOR_MAP_DRIVE_H_

#include "libwisteriaroute/coordinator/coordinator.h"

namespace wisteriaroute::coordinator {

/**
 * Goes on with the change of the group's map, or plans one, by what the ranks
 * have reported. `state.term` must not be 0.
 */
void DriveMap(coordinator_state& state,
              base::time_us now_us,
              coordinator_effects& out);

}  // namespace wisteriaroute::coordinator

#endif  // LIBWISTERIAROUTE_COORDINATOR_MAP_DRIVE_H_
