#ifndef LIBWISTERIAROUTE_ENTRY_CLAIMS_H_
#define LIBWISTERIAROUTE_ENTRY_CLAIMS_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/**
 * Asks control for the key of a non-repeatable call before its dispatch to
 * `to`: a new claim, or a move if this entry holds the key already.
 */
void RequestClaim(step_context& step, request& of, const agent& to);

/**
 * Records how the call ended, then answers: with the response if `error` is
 * empty, otherwise with the error.
 */
void RecordOutcome(step_context& step,
                   request& of,
                   std::optional<error_reply> error);

/** Gives the key back, then answers with `error`. */
void ReleaseClaim(step_context& step, request& of, error_reply error);

/** Forgets an unanswered exchange with control. */
void EndClaim(step_context& step, request& of);

void HandleClaimReply(step_context& step, const wire::claim_reply& reply);

/** Sends unanswered claims again: all, or those that are due. */
void ResendClaims(step_context& step, bool all);

/** A claim message found no leader. */
void HandleClaimDropped(step_context& step,
                        const wire::control_message& message);

/** Ends waits for control that took too long. May close the request. */
void CheckClaimTimeout(step_context& step, request& of);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_CLAIMS_H_
