#ifndef LIBWISTERIAROUTE_ENTRY_TIMEOUTS_H_
#define LIBWISTERIAROUTE_ENTRY_TIMEOUTS_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Checks the deadlines and time-outs of all open requests. */
void CheckTimeouts(step_context& step);

/**
 * Advances a shutdown: stops listening after `settle_ms`, aborts the remaining
 * requests after `drain_limit_ms`, and reports when none is left.
 */
void CheckShutdown(step_context& step);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_TIMEOUTS_H_
