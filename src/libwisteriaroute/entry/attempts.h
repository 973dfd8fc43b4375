#ifndef LIBWISTERIAROUTE_ENTRY_ATTEMPTS_H_
#define LIBWISTERIAROUTE_ENTRY_ATTEMPTS_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

inline constexpr unsigned kMaxAttempts = 3;

/** Sends an attempt to an agent whose link is up. */
void Submit(step_context& step,
            request& of,
            agent& to,
            const wire::claim_target& target);

/** Follows an attempt that was submitted before, as its own. */
void Follow(step_context& step, request& of, const wire::claim_target& target);

/** Forgets the current attempt, which has ended. */
void DropCurrent(step_context& step, request& of);

/** Gives up the current attempt and has its agent cancel it. */
void AbandonCurrent(step_context& step, request& of);

/**
 * Queues the request for another attempt. If it has none left, or the retry
 * budget or the deadline don't allow one, gives it `otherwise`. The reference
 * may be dead afterwards, here and below.
 */
void TryAgain(step_context& step, request& of, error_reply otherwise);

/** Ends a request with an error; gives its key back first if it holds one. */
void GiveUp(step_context& step, request& of, error_reply error);

/** The current attempt certainly never runs. */
void HandleNeverRuns(step_context& step,
                     request& of,
                     std::string_view reason,
                     std::int64_t retry_after_ms);

/** The current attempt has ended without a whole response. */
void HandleLost(step_context& step,
                request& of,
                wire::outcome ran,
                const error_reply& error);

void HandleRefused(step_context& step, const wire::refused& message);
void HandleFailed(step_context& step, const wire::failed& message);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_ATTEMPTS_H_
