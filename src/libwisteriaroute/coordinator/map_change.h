#ifndef LIBWISTERIAROUTE_COORDINATOR_MAP_CHANGE_H_
#define LIBWISTERIAROUTE_COORDINATOR_MAP_CHANGE_H_

#include "libwisteriaroute/coordinator/coordinator.h"

namespace wisteriaroute::coordinator {

/**
 * Advances the map change in progress, or plans a new one, from the latest
 * status of the ranks. Until all ranks are reporting and refuse orders of older
 * terms, it sends no orders but those to fence. `state.term` must not be 0.
 */
void AdvanceMapChange(coordinator_state& state,
                      base::time_us now_us,
                      coordinator_effects& out);

}  // namespace wisteriaroute::coordinator

#endif  // LIBWISTERIAROUTE_COORDINATOR_MAP_CHANGE_H_
