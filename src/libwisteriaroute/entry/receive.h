#ifndef LIBWISTERIAROUTE_ENTRY_RECEIVE_H_
#define LIBWISTERIAROUTE_ENTRY_RECEIVE_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Answers, refuses or queues a caller's HTTP request. */
void HandleHttp(step_context& step, const http_received& event);

/** Handles a caller that left before its response was complete. */
void HandleCallerLeft(step_context& step, const caller_left& event);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_RECEIVE_H_
