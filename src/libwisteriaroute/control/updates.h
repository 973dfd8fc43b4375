#ifndef LIBWISTERIAROUTE_CONTROL_UPDATES_H_
#define LIBWISTERIAROUTE_CONTROL_UPDATES_H_

#include <vector>

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// Updates that the leader sends to members. `state.leadership` must be set.

/** Links of the members with this role. */
std::vector<net::link_id> LinksOf(const leader_state& leader,
                                  wire::member_role role);

/** Sends the changes that a member lacks up to the newest revision. */
void SendConfig(replica_state& state,
                member_session& session,
                const step_time& now,
                replica_effects& out);

/**
 * Sends a new revision to all members. The update is built once for all
 * members with the same base revision.
 */
void SendConfigToAll(replica_state& state,
                     const step_time& now,
                     replica_effects& out);

/**
 * Sends the initial lists on a new link: drained servers to an agent; members,
 * drained servers and quarantine to an entry.
 */
void SendInitialLists(const replica_state& state,
                      const member_session& session,
                      const step_time& now,
                      replica_effects& out);

/** Sends the member and drain changes collected since the last call. */
void FlushMembers(replica_state& state,
                  const step_time& now,
                  replica_effects& out);

/** Sends the evacuated data centres to all entries at once. */
void SendEvacuations(const replica_state& state,
                     const step_time& now,
                     replica_effects& out);

/** Sends changed quarantine entries to all entries. */
void SendQuarantine(replica_state& state,
                    const quarantine_changes& changes,
                    replica_effects& out);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_UPDATES_H_
