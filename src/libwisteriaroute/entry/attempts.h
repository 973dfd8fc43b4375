#ifndef LIBWISTERIAROUTE_ENTRY_ATTEMPTS_H_
#define LIBWISTERIAROUTE_ENTRY_ATTEMPTS_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Attempts to run one request, including the first. */
inline constexpr unsigned kMaxAttempts = 3;

/** Sends an attempt to an agent whose link is up. */
void Submit(step_context& step,
            request_state& request,
            agent& to,
            const wire::claim_target& target);

/**
 * Makes an attempt that was submitted before, perhaps by another entry, the
 * request's current one and attaches to its response.
 */
void AttachToAttempt(step_context& step,
                     request_state& request,
                     const wire::claim_target& target);

/** Removes the current attempt, which has ended, from the state. */
void DropCurrent(step_context& step, request_state& request);

/**
 * Removes the current attempt and cancels it at its agent, if need be once the
 * link is up again.
 */
void AbandonCurrent(step_context& step, request_state& request);

/**
 * Queues the request for another attempt. Fails it with `otherwise` if no
 * attempts are left, the deadline has passed, the retry budget is used up, or
 * part of a plain response was already forwarded. This function and those
 * below may close the request, which invalidates the reference.
 */
void RetryOrFail(step_context& step,
                 request_state& request,
                 error_reply otherwise);

/** Ends a request with an error; first releases its key if it holds one. */
void FailRequest(step_context& step, request_state& request, error_reply error);

/** The current attempt was not run and never will be. Retries or fails. */
void HandleNeverRuns(step_context& step,
                     request_state& request,
                     std::string_view reason,
                     std::int64_t retry_after_ms);

/**
 * The current attempt ended without a complete response. Retries or fails a
 * repeatable request; records the outcome `ran` of a non-repeatable one.
 */
void HandleLost(step_context& step,
                request_state& request,
                wire::outcome ran,
                const error_reply& error);

void HandleRefused(step_context& step, const wire::refused& message);
void HandleFailed(step_context& step, const wire::failed& message);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_ATTEMPTS_H_
