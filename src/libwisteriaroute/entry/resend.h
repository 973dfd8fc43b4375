#ifndef LIBWISTERIAROUTE_ENTRY_RESEND_H_
#define LIBWISTERIAROUTE_ENTRY_RESEND_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Queries the state of the attempt that holds the request's key. */
void Locate(step_context& step,
            request_state& request,
            const wire::claim_target& holder);

/** Queries an agent, whose link came up, for the state of its attempts. */
void QueryAttemptsAt(step_context& step, const agent& peer);

/** Handles an agent's reply to cancel, query or attach. */
void HandleStatus(step_context& step, const wire::attempt_status& status);

/** Queries the state of an attempt without messages for a long time. */
void QueryIfSilent(step_context& step, request_state& request);

/**
 * Answers a request that has been in phase kLocating for `reattach_ms` with an
 * unknown outcome, which is recorded if the agent is gone.
 */
void CheckLocating(step_context& step, request_state& request);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_RESEND_H_
