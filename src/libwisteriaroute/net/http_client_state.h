#ifndef LIBWISTERIAROUTE_NET_HTTP_CLIENT_STATE_H_
#define LIBWISTERIAROUTE_NET_HTTP_CLIENT_STATE_H_

#include <ev.h>

#include <cstddef>
#include <memory>
#include <string>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/net/http_client.h"
#include "libwisteriaroute/net/http_parser.h"

namespace wisteriaroute::net {

// The state of a client's connections and transfers; included only by the
// sources of the client.

/**
 * Limit of a response's header, of its chunk headers and of its trailers. These
 * are kept until they are complete; a body isn't.
 */
inline constexpr std::size_t kMaxHeaderBytes = 64 * 1024;

struct http_client::connection {
  explicit connection(memory_budget* budget)
      : held(budget, memory_use::kAnswers) {}

  http_client* client = nullptr;
  int fd = -1;
  ev_io watcher;
  int watched = 0;
  std::string address;
  bool connecting = true;
  bool reused = false;
  /** Whether the connection may be kept for other requests. */
  bool may_keep = false;
  /** The request, until all of it is sent. */
  std::string out;
  std::size_t sent = 0;
  bool send_failed = false;
  std::string in;
  std::unique_ptr<http_response_parser> parser;
  bool head_delivered = false;
  /** Whether the response is interim or belongs to another request. */
  bool discarding = false;
  /** Bytes of the current response that belong to its incomplete header. */
  std::size_t header_bytes = 0;
  /** Bytes received before the head was delivered. */
  std::size_t before_head = 0;
  transfer* current = nullptr;
  /** Bytes of the connection that are included in the client's total. */
  std::size_t counted_bytes = 0;
  /** Input that is kept. */
  memory_charge held;
  base::time_us idle_since_us = 0;
  base::time_us idle_until_us = 0;
};

struct http_client::transfer {
  transfer(http_client& owner, struct ev_loop* event_loop)
      : client(&owner), timeout(event_loop, [this] { HandleTimeout(); }) {}

  http_client* client;
  transfer_id id = 0;
  http_client_request request;
  http_client_callbacks callbacks;
  connection* conn = nullptr;
  timer timeout;
  base::time_us deadline_us = 0;
  bool finished = false;
  bool refused = false;
  bool paused = false;
  unsigned status = 0;
  std::size_t body_bytes = 0;
  std::string match_value;

  void HandleTimeout() {
    const bool connecting = conn == nullptr || conn->connecting;
    client->Fail(*this, connecting ? "connect timed out" : "timed out",
                 connecting);
  }
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_HTTP_CLIENT_STATE_H_
