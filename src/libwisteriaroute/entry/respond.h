#ifndef LIBWISTERIAROUTE_ENTRY_RESPOND_H_
#define LIBWISTERIAROUTE_ENTRY_RESPOND_H_

#include <string>
#include <string_view>

#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** Refuses an exchange that didn't become a request. */
void Refuse(step_context& step,
            net::exchange_id exchange,
            const error_reply& error,
            std::string_view request_id);

/** Gives a whole response to all callers. */
void Respond(step_context& step,
             request& of,
             unsigned status,
             wire::header_list headers,
             const std::string& body);

/** Gives an error to all callers, as an event if their stream has started. */
void RespondError(step_context& step, request& of, const error_reply& error);

/** Starts a stream to all callers, if that wasn't done. */
void StartStream(step_context& step,
                 request& of,
                 unsigned status,
                 wire::header_list headers);
void WriteStream(step_context& step, request& of, std::string data);
void EndStream(step_context& step, request& of);

/** Adds an event about a request to the time line. */
void Note(step_context& step,
          const request& of,
          std::string kind,
          std::string_view server = {},
          std::string detail = {});

/** Forgets a request; the reference is dead afterwards. */
void Close(step_context& step, request& of);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_RESPOND_H_
