#ifndef LIBWISTERIAROUTE_ENTRY_VALIDATION_H_
#define LIBWISTERIAROUTE_ENTRY_VALIDATION_H_

#include <string>
#include <variant>

#include "libwisteriaroute/entry/events.h"
#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

/** The workspace that the bearer key of a request belongs to, or null. */
const config::workspace* Authenticate(const entry_state& state,
                                      const net::http_server_request& http);

/** The caller's X-Request-Id if it is valid, otherwise a new one. */
std::string RequestId(entry_state& state, const net::http_server_request& http);

/** Turns a caller's HTTP request into a request, or returns the error. */
std::variant<request_state, error_reply> Validate(const entry_state& state,
                                                  const http_received& event,
                                                  base::time_us now_us);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_VALIDATION_H_
