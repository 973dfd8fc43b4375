#ifndef LIBWISTERIAROUTE_GATEWAY_MESSAGES_H_
#define LIBWISTERIAROUTE_GATEWAY_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/net/http_message.h"

namespace wisteriaroute::gateway {

/** What a caller's request says of itself, whatever its wire format. */
struct caller_request {
  /** The caller's id of this attempt. */
  std::string id;
  std::string host;
  std::string path;
  std::optional<base::digest128> key;
  /** Time that the caller waits from the arrival; 0: not stated. */
  base::time_ms deadline_ms = 0;
  /** Last event that the caller has of a stream that it resumes. */
  std::optional<std::uint64_t> last_event_id;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  /** The caller's estimate; often far off. 0: none. */
  std::int64_t expected_output_tokens = 0;
};

/** Load that a backend server states in a response. */
struct server_load {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t slots = 0;
};

/** What the head of a backend server's response says. */
struct response_head {
  unsigned status = 0;
  /** Headers for the caller. */
  net::http_headers headers;
  /** Whether the response carries the server's own seal. */
  bool sealed = false;
  /** The server states that it didn't run the request and never will. */
  bool not_run = false;
  /** Not the server with the expected incarnation. */
  bool wrong_server = false;
  /** The body is encoded, so it isn't the server's own. */
  bool encoded = false;
  bool event_stream = false;
  std::optional<server_load> load;
  /** The server leaves; it wants no new request. */
  bool leaving = false;
  /** With a 503: the server wants no request for so long. */
  std::optional<base::time_ms> pause_ms;
  /** It asked for a pause that can't be read. */
  bool pause_unreadable = false;
};

/** What an attempt adds to the caller's own request. */
struct attempt_terms {
  base::time_ms deadline_ms = 0;
  /** Id of the server that must run it, or nobody. */
  std::string expected_server;
  std::string workspace;
  std::optional<int> priority;
  std::optional<std::uint64_t> last_event_id;
};

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_MESSAGES_H_
