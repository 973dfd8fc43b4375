#ifndef LIBWISTERIAROUTE_CONTROL_ADMIN_H_
#define LIBWISTERIAROUTE_CONTROL_ADMIN_H_

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// Administrative requests of operators and servers.

/**
 * Handles a request. A follower answers only timeline requests and refuses
 * others with the leader's address.
 */
void HandleAdmin(replica_state& state,
                 net::link_id link,
                 const wire::admin_request& request,
                 const step_time& now,
                 replica_effects& out);

/** Answers a read request after a quorum has confirmed the leader. */
void AnswerRead(replica_state& state,
                const waiting_read& read,
                const step_time& now,
                replica_effects& out);

/** Answers a read for which no quorum confirmed the leader. */
void RefuseRead(const waiting_read& read, replica_effects& out);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_ADMIN_H_
