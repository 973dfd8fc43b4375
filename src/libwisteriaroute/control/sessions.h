#ifndef LIBWISTERIAROUTE_CONTROL_SESSIONS_H_
#define LIBWISTERIAROUTE_CONTROL_SESSIONS_H_

#include <cstdint>

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// Sessions of members with the leader. `state.leading` must be set.

/** Whether entries are told of such members. */
bool IsListed(wire::member_role role);

/** Whether such members get the configuration. */
bool FollowsConfig(wire::member_role role);

const char* RoleName(wire::member_role role);

/** Notes that a member came or went. */
void NoteMember(const wire::member_info& info,
                const char* kind,
                replica_effects& out);

void HandleHello(replica_state& state,
                 net::link_id link,
                 const wire::session_hello& hello,
                 const step_time& now,
                 replica_effects& out);
void HandleHeartbeat(replica_state& state,
                     net::link_id link,
                     const wire::session_heartbeat& heartbeat,
                     const step_time& now,
                     replica_effects& out);
void HandleGoodbye(replica_state& state,
                   net::link_id link,
                   replica_effects& out);

/** The link is gone; the session stays until its lease has ended. */
void DetachSession(replica_state& state, net::link_id link);

/** Ends sessions and leases that have run out. */
void ExpireSessions(replica_state& state,
                    const step_time& now,
                    replica_effects& out);

/** Begins a quorum round for what waits, unless one is in progress. */
void BeginConfirm(replica_state& state,
                  const step_time& now,
                  replica_effects& out);

/** Acknowledges the heartbeats of a confirmed round. */
void AcknowledgeHeartbeats(replica_state& state,
                           const std::vector<waiting_heartbeat>& heartbeats,
                           replica_effects& out);

/** The session on a link, or null. */
member_session* FindSession(replica_state& state, net::link_id link);

/**
 * The newest revision that is in force everywhere: every member with a session
 * or an unexpired lease has it, and the leases that an earlier leader granted
 * have ended. Nothing is known for the first lease of a term.
 */
std::optional<std::uint64_t> RevisionInForce(const replica_state& state,
                                             base::time_us now_us);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_SESSIONS_H_
