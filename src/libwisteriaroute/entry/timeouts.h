#ifndef LIBWISTERIAROUTE_ENTRY_TIMEOUTS_H_
#define LIBWISTERIAROUTE_ENTRY_TIMEOUTS_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Checks all limits in time of the open requests. */
void CheckTimeouts(step_context& step);

/** Ends a stop: stops listening, cuts what is left, reports the end. */
void CheckShutdown(step_context& step);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_TIMEOUTS_H_
