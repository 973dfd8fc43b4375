#ifndef LIBWISTERIAROUTE_CONTROL_PROPOSALS_H_
#define LIBWISTERIAROUTE_CONTROL_PROPOSALS_H_

#include <cstdint>
#include <string_view>

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {

// Commands that the leader proposes to the log. `state.leadership` must be set.

/** Proposes a command and returns its id. `waiter` receives the result. */
std::uint64_t Propose(replica_state& state,
                      command_body body,
                      pending_proposal waiter,
                      const step_time& now,
                      replica_effects& out);

/**
 * Proposes a claim command. The entry is answered with kUnavailable if
 * `max_pending_proposals` are uncommitted.
 */
void ProposeClaim(replica_state& state,
                  net::link_id link,
                  const wire::claim_request& request,
                  const step_time& now,
                  replica_effects& out);
void ProposeClaim(replica_state& state,
                  net::link_id link,
                  const wire::claim_move& move,
                  const step_time& now,
                  replica_effects& out);
void ProposeClaim(replica_state& state,
                  net::link_id link,
                  const wire::claim_outcome& outcome,
                  const step_time& now,
                  replica_effects& out);

/** Sends the result of an applied command to its waiter. */
void AnswerProposal(replica_state& state,
                    const command& value,
                    const command_result& result,
                    replica_effects& out);

/** Notifies the waiter that the proposal isn't known to be committed. */
void FailProposal(replica_state& state,
                  const proposal_failed& failure,
                  replica_effects& out);

/** Fails all pending proposals when leadership ends. */
void FailAllProposals(replica_state& state, replica_effects& out);

/** The newest configuration, parsed at most once for each revision. */
const config::object_set& CurrentConfig(replica_state& state);

/** Retention of claim keys: the longest that any service declares. */
base::time_ms KeyRetentionMs(replica_state& state);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_PROPOSALS_H_
