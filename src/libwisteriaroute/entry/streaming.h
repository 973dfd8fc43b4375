#ifndef LIBWISTERIAROUTE_ENTRY_STREAMING_H_
#define LIBWISTERIAROUTE_ENTRY_STREAMING_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

void HandleHead(step_context& step, const wire::head& message);
void HandleChunk(step_context& step, const wire::chunk& message);
void HandleFinish(step_context& step, const wire::finish& message);

/** Gives the callers the whole response that arrived. */
void RespondWhole(step_context& step, request& of);

/** Starts or continues the response of a caller that joined late. */
void CatchUp(step_context& step, request& of, net::exchange_id caller);

/** Writes an SSE comment to a stream that has been silent. */
void KeepAlive(step_context& step, request& of);

/** Asks again for a part that is missing. */
void RequestMissing(step_context& step, request& of);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_STREAMING_H_
