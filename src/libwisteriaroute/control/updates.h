#ifndef LIBWISTERIAROUTE_CONTROL_UPDATES_H_
#define LIBWISTERIAROUTE_CONTROL_UPDATES_H_

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// What the leader tells members. `state.leading` must be set.

/** Sends what the member lacks of the newest revision. */
void SendConfig(replica_state& state,
                member_session& session,
                const step_time& now,
                replica_effects& out);

/** Sends a new revision to all members, encoded once where they are level. */
void SendConfigToAll(replica_state& state,
                     const step_time& now,
                     replica_effects& out);

/** Members, drained servers and quarantine for a session that just opened. */
void SendFirstLists(const replica_state& state,
                    const member_session& session,
                    const step_time& now,
                    replica_effects& out);

/** Sends changes of members and drains that were collected since. */
void FlushMembers(replica_state& state,
                  const step_time& now,
                  replica_effects& out);

void SendQuarantine(replica_state& state,
                    const quarantine_changes& changes,
                    replica_effects& out);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_UPDATES_H_
