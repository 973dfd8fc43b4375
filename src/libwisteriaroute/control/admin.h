#ifndef LIBWISTERIAROUTE_CONTROL_ADMIN_H_
#define LIBWISTERIAROUTE_CONTROL_ADMIN_H_

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// Requests of operators.

/** Handles a request on any replica. */
void HandleAdmin(replica_state& state,
                 net::link_id link,
                 const wire::admin_request& request,
                 const step_time& now,
                 replica_effects& out);

/** Answers a reading request after a quorum confirmed the leader. */
void AnswerRead(replica_state& state,
                const waiting_read& read,
                const step_time& now,
                replica_effects& out);

/** Answers a request that can't be decided now. */
void RefuseRead(const waiting_read& read, replica_effects& out);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_ADMIN_H_
