#ifndef LIBWISTERIAROUTE_CONTROL_SERVER_REPORTS_H_
#define LIBWISTERIAROUTE_CONTROL_SERVER_REPORTS_H_

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

/**
 * Takes the report of a backend server without an agent, and tells the entries
 * what changed. Late reports of an older incarnation or sequence change
 * nothing. `state.leading` must be set.
 */
void RecordServer(replica_state& state,
                  const wire::report_server& report,
                  const step_time& now,
                  replica_effects& out);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_SERVER_REPORTS_H_
