#ifndef LIBWISTERIAROUTE_ENTRY_ADMISSION_H_
#define LIBWISTERIAROUTE_ENTRY_ADMISSION_H_

#include <optional>

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/**
 * Charges a request to its workspace and the workspace's parents. Returns an
 * error and charges nothing if a limit is reached, no backend server is
 * registered, the queue is full or the deadline can't be met.
 */
std::optional<error_reply> Admit(step_context& step, request_state& request);

/**
 * Releases the request's slots in the concurrency limits and charges its
 * response to the token limits. A second call does nothing.
 */
void ReleaseUsage(step_context& step, request_state& request);

/**
 * Value of Retry-After in seconds, 1 to 60: the drain time of the pool's queue
 * with random jitter.
 */
std::int64_t RetryAfterSeconds(step_context& step, std::string_view pool);

/**
 * Counts a finished request for the completion rate of its pool and adds its
 * run time to the pool's mean.
 */
void CountFinished(step_context& step, const request_state& request);

/** Starts a new window for the completion rates when the last one is over. */
void UpdateRates(step_context& step);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_ADMISSION_H_
