#ifndef LIBWISTERIAROUTE_ENTRY_QUEUE_H_
#define LIBWISTERIAROUTE_ENTRY_QUEUE_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Puts a request into the queue of its pool, by priority and fair share. */
void Enqueue(step_context& step, request_state& request);

/** Removes a request from the queue if it is there. */
void Dequeue(step_context& step, request_state& request);

/** Dispatches waiting requests while backend servers have capacity. */
void DispatchQueued(step_context& step);

/**
 * Whether any backend server of the request's pool is eligible, regardless of
 * its load.
 */
bool HasCandidate(const step_context& step, const request_state& request);

/**
 * Whether new work may be sent to the agent's backend server: the link is up,
 * the agent is a member that accepts work, the server is healthy and the
 * registered incarnation, and it is not drained, evacuated, leaving or
 * suspended.
 */
bool IsEligible(const agent& candidate, base::time_us now_us);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_QUEUE_H_
