#ifndef LIBWISTERIAROUTE_ENTRY_RESEND_H_
#define LIBWISTERIAROUTE_ENTRY_RESEND_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Finds out what became of the attempt that holds the request's key. */
void Locate(step_context& step, request& of, const wire::claim_target& holder);

/** Asks the agents whose link is up about the attempts that they hold. */
void AskHolders(step_context& step, const agent& at);

/** Answer of an agent to cancel, query or attach. */
void HandleStatus(step_context& step, const wire::attempt_status& status);

/** Asks about an attempt of which nothing was heard for long. */
void AskIfSilent(step_context& step, request& of);

/** Ends a search that took too long, or whose agent is gone. */
void CheckLocating(step_context& step, request& of);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_RESEND_H_
