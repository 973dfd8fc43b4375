#ifndef LIBWISTERIAROUTE_ENTRY_QUARANTINE_H_
#define LIBWISTERIAROUTE_ENTRY_QUARANTINE_H_

#include <span>

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Backend servers that one request may bring down. */
inline constexpr unsigned kMaxCrashes = 2;

/** 422 `request_quarantined`; the outcome is the caller's to set. */
error_reply QuarantinedError();

/** Whether the request may not run again. */
bool IsQuarantined(const entry_state& state, const request& of);

/** Marks a new request that is a suspect. */
void MarkSuspect(const entry_state& state, request& of);

/**
 * Whether a suspect may run at the agent's backend server, so that no two run
 * at the same one. All entries know the suspects and decide alike.
 */
bool MayIsolate(const step_context& step, const request& of, const agent& at);

/**
 * The backend server of the current attempt died while it ran, together with
 * the requests of `ran_beside`, which holds its own fingerprint, too.
 */
void NoteCrash(step_context& step,
               request& of,
               std::span<const base::digest128> ran_beside);

/** A response is whole; a suspect is cleared. */
void NoteSurvived(step_context& step, request& of);

void HandleQuarantineUpdate(step_context& step,
                            const wire::quarantine_update& update);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_QUARANTINE_H_
