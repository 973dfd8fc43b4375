#ifndef LIBWISTERIAROUTE_CONTROL_SESSIONS_H_
#define LIBWISTERIAROUTE_CONTROL_SESSIONS_H_

#include <cstdint>

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// Sessions of members with the leader. `state.leadership` must be set.

/** Whether members of this role are listed to entries. */
bool IsListed(wire::member_role role);

/** Whether members of this role receive the configuration. */
bool FollowsConfig(wire::member_role role);

const char* RoleName(wire::member_role role);

/** Records an event of kind `kind` about a member in the timeline. */
void RecordMemberEvent(const wire::member_info& info,
                       const char* kind,
                       replica_effects& out);

/**
 * Opens or updates a session. A member with a new link receives the
 * configuration and the member lists, if it follows the configuration.
 */
void HandleHello(replica_state& state,
                 net::link_id link,
                 const wire::session_hello& hello,
                 const step_time& now,
                 replica_effects& out);
/**
 * Queues a heartbeat for the next quorum round, which renews the lease. Sends
 * the configuration again if the member appears to have lost an update. Without
 * a session on the link, not_leader makes the member send its hello again.
 */
void HandleHeartbeat(replica_state& state,
                     net::link_id link,
                     const wire::session_heartbeat& heartbeat,
                     const step_time& now,
                     replica_effects& out);
/** Closes the session of a link; the lease of the member ends with it. */
void HandleGoodbye(replica_state& state,
                   net::link_id link,
                   replica_effects& out);

/** Handles a closed link. The session stays until it expires. */
void DetachSession(replica_state& state, net::link_id link);

/** Removes expired sessions and leases. */
void ExpireSessions(replica_state& state,
                    const step_time& now,
                    replica_effects& out);

/**
 * Begins a quorum round for the queued heartbeats and reads, unless one is in
 * progress or the last one began less than `confirm_interval_us` ago.
 */
void BeginConfirm(replica_state& state,
                  const step_time& now,
                  replica_effects& out);

/** Renews the leases of a confirmed round and acknowledges its heartbeats. */
void AcknowledgeHeartbeats(replica_state& state,
                           const std::vector<waiting_heartbeat>& heartbeats,
                           replica_effects& out);

/** Returns the session on a link, or null. */
member_session* FindSession(replica_state& state, net::link_id link);

/**
 * The newest revision that every member that follows the configuration and has
 * a session or an unexpired lease has applied. Unknown (nullopt) on followers
 * and until the leases that an earlier leader granted have expired,
 * kLeaseBoundUs after the election.
 */
std::optional<std::uint64_t> RevisionInForce(const replica_state& state,
                                             base::time_us now_us);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_SESSIONS_H_
