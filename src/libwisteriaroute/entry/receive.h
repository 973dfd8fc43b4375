#ifndef LIBWISTERIAROUTE_ENTRY_RECEIVE_H_
#define LIBWISTERIAROUTE_ENTRY_RECEIVE_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Answers, refuses or queues what a caller sent. */
void HandleHttp(step_context& step, const http_received& event);

/** A caller left before its response was complete. */
void HandleCallerLeft(step_context& step, const caller_left& event);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_RECEIVE_H_
