#ifndef LIBWISTERIAROUTE_GATEWAY_MESSAGES_H_
#define LIBWISTERIAROUTE_GATEWAY_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/net/http_message.h"

namespace wisteriaroute::gateway {

/** A part of a prompt that several requests may share. */
struct prompt_part {
  std::string id;
  /** Identifies the part in quarantine. */
  base::digest128 digest;
};

/** Contents of a caller's request, independent of the wire format. */
struct caller_request {
  /** Id that the caller gave to this attempt. */
  std::string id;
  std::string host;
  std::string path;
  std::optional<base::digest128> key;
  /** How long the caller waits from the arrival of the request; 0 if not given.
   */
  base::time_ms deadline_ms = 0;
  /** Id of the last event that the caller received of a stream to be resumed.
   */
  std::optional<std::uint64_t> last_event_id;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  /** The caller's estimate, which is often inaccurate; 0 if not given. */
  std::int64_t expected_output_tokens = 0;
  /** Parts of the prompt in order, without the last one, which belongs to this
   * request or its session alone. */
  std::vector<prompt_part> shared_parts;
  /** Of key, method, path, query and body: equal for resends. */
  base::digest128 digest;
};

/** Load that a backend server reports in a response. */
struct server_load {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t slots = 0;
};

/** Status and headers of a backend server's response. */
struct response_head {
  unsigned status = 0;
  /** Headers that are forwarded to the caller. */
  net::http_headers headers;
  /** Whether the response has the header that proves that the server itself
   * sent it. */
  bool sealed = false;
  /** The server declares that it didn't run the request and never will. */
  bool not_run = false;
  /** The response is from another server than the expected one (status 421). */
  bool wrong_server = false;
  /** The body has a content encoding, so it isn't as the server produced it. */
  bool encoded = false;
  bool event_stream = false;
  /** The body has neither a length nor chunks: it ends with its connection. */
  bool ends_with_connection = false;
  std::optional<server_load> load;
  /** The server is leaving and must get no new requests. */
  bool leaving = false;
  /** Only with status 503: the server that the response names as the reason;
   * empty if none. */
  std::string server_at_fault;
  /** Only with status 503: time for which the server must get no request. */
  std::optional<base::time_ms> pause_ms;
  /** How long the server stays cold; nothing if it doesn't say. */
  std::optional<base::time_ms> cold_left_ms;
  /** The server asked for a pause, but its duration is invalid. */
  bool pause_unreadable = false;
};

/** Values that the gateway adds to the caller's request for an attempt. */
struct attempt_terms {
  base::time_ms deadline_ms = 0;
  /** Id of the only server that may run the request. */
  std::string expected_server;
  std::string workspace;
  std::optional<int> priority;
  std::optional<std::uint64_t> last_event_id;
};

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_MESSAGES_H_
