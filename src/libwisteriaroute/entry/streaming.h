#ifndef LIBWISTERIAROUTE_ENTRY_STREAMING_H_
#define LIBWISTERIAROUTE_ENTRY_STREAMING_H_

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

void HandleHead(step_context& step, const wire::head& message);
void HandleChunk(step_context& step, const wire::chunk& message);
void HandleFinish(step_context& step, const wire::finish& message);

/** Sends a response that was received completely, or ends its stream. */
void FinishResponse(step_context& step, request_state& request);

/** Sends a caller that joined a started stream the text so far. */
void SendStreamSoFar(step_context& step,
                     request_state& request,
                     net::exchange_id caller);

/**
 * Sends an SSE comment to a stream that has been silent for 2 s; starts the
 * stream if need be.
 */
void KeepAlive(step_context& step, request_state& request);

/** Attaches again at the current offset if a part is missing for 0.5 s. */
void RequestMissingPart(step_context& step, request_state& request);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_STREAMING_H_
