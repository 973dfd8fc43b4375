#ifndef LIBWISTERIAROUTE_ENTRY_QUARANTINE_H_
#define LIBWISTERIAROUTE_ENTRY_QUARANTINE_H_

#include <span>

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** A request that was a suspect in this many crashes may not run again. */
inline constexpr unsigned kMaxCrashes = 2;

/** 422 `request_quarantined`; the calling function sets the outcome. */
error_reply QuarantinedError();

/** Whether the request may not run again. */
bool IsQuarantined(const entry_state& state, const request_state& request);

/** Marks the request as a suspect if its fingerprint is known as one. */
void MarkSuspect(const entry_state& state, request_state& request);

/**
 * Whether a suspect may run at the agent's backend server. At most one suspect
 * runs at a server; all entries know the same suspects and choose the same one.
 */
bool MayIsolate(const step_context& step,
                const request_state& request,
                const agent& peer);

/**
 * Records that the backend server of the current attempt was lost while it ran
 * the requests with the fingerprints `ran_beside`, which include this one.
 */
void RecordCrash(step_context& step,
                 request_state& request,
                 std::span<const base::digest128> ran_beside);

/** Reports the latest crashes again, to a new leader that may not know them. */
void ResendCrashReports(step_context& step);

/** Records that a server has begun to answer the request. */
void NoteAnswerBegun(step_context& step, const request_state& request);

/** Clears a suspect whose response was received completely. */
void ClearSuspect(step_context& step, request_state& request);

void HandleQuarantineUpdate(step_context& step,
                            const wire::quarantine_update& update);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_QUARANTINE_H_
