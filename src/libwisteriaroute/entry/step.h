#ifndef LIBWISTERIAROUTE_ENTRY_STEP_H_
#define LIBWISTERIAROUTE_ENTRY_STEP_H_

#include <vector>

#include "libwisteriaroute/entry/events.h"
#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/**
 * Applies one event to an entry's state and returns the effects to execute, in
 * order. Never throws, whatever callers, agents or control send. `now_us` is
 * the time of a monotonic clock.
 */
std::vector<entry_effect> Step(entry_state& state,
                               const entry_event& event,
                               base::time_us now_us);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_STEP_H_
