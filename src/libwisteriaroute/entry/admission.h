#ifndef LIBWISTERIAROUTE_ENTRY_ADMISSION_H_
#define LIBWISTERIAROUTE_ENTRY_ADMISSION_H_

#include <optional>

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/**
 * Charges a request to its workspace and the workspace's parents. Returns the
 * error instead if a limit, the queue or the deadline doesn't allow it.
 */
std::optional<error_reply> Admit(step_context& step, request& of);

/** Releases the request's usage of its workspaces' limits. */
void ReleaseUsage(step_context& step, request& of);

/** Seconds for Retry-After: the queue's drain time, spread at random. */
std::int64_t RetryAfter(step_context& step, std::string_view pool);

/** Counts a finished request of a pool. */
void CountFinished(step_context& step, const request& of);

/** Moves on the windows in which finished requests are counted. */
void UpdateRates(step_context& step);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_ADMISSION_H_
