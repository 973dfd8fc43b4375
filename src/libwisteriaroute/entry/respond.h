#ifndef LIBWISTERIAROUTE_ENTRY_RESPOND_H_
#define LIBWISTERIAROUTE_ENTRY_RESPOND_H_

#include <string>
#include <string_view>

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Answers an exchange with an error before it became a request. */
void Refuse(step_context& step,
            net::exchange_id exchange,
            const error_reply& error,
            std::string_view request_id);

/** Sends a complete response to all callers; nothing if already answered. */
void Respond(step_context& step,
             request_state& request,
             unsigned status,
             wire::header_list headers,
             const std::string& body);

/**
 * Sends an error to all callers. Once a stream has started, a generation ends
 * with an error event and a plain response is aborted.
 */
void RespondError(step_context& step,
                  request_state& request,
                  const error_reply& error);

/** Starts a stream to all callers unless it has started already. */
void StartStream(step_context& step,
                 request_state& request,
                 unsigned status,
                 wire::header_list headers);
void WriteStream(step_context& step, request_state& request, std::string data);
void EndStream(step_context& step, request_state& request);

/** Adds an event about a request to the time line. */
void Note(step_context& step,
          const request_state& request,
          std::string kind,
          std::string_view server = {},
          std::string detail = {});

/** Removes a request from the state, which invalidates the reference. */
void Close(step_context& step, request_state& request);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_RESPOND_H_
