#ifndef LIBWISTERIAROUTE_ENTRY_CLAIMS_H_
#define LIBWISTERIAROUTE_ENTRY_CLAIMS_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/**
 * Claims the idempotency key of a non-repeatable call at control before the
 * call is dispatched to `to`. Moves the claim if this entry already holds it.
 */
void RequestClaim(step_context& step, request_state& request, const agent& to);

/**
 * Records the outcome of the call at control, then answers with the response,
 * or with `error` if there is one.
 */
void RecordOutcome(step_context& step,
                   request_state& request,
                   std::optional<error_reply> error);

/** Releases the key at control, then answers with `error`. */
void ReleaseClaim(step_context& step,
                  request_state& request,
                  error_reply error);

/** Discards the claim message that waits for a reply, if there is one. */
void EndClaim(step_context& step, request_state& request);

void HandleClaimReply(step_context& step, const wire::claim_reply& reply);

/** Resends claim messages without a reply: all of them, or those due. */
void ResendClaims(step_context& step, bool all);

/** Schedules a resend of a claim message that found no leader. */
void HandleClaimDropped(step_context& step,
                        const wire::control_message& message);

/** Answers a request that waited too long for control. May close it. */
void CheckClaimTimeout(step_context& step, request_state& request);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_CLAIMS_H_
