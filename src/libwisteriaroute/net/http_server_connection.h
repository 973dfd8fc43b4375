#ifndef LIBWISTERIAROUTE_NET_HTTP_SERVER_CONNECTION_H_
#define LIBWISTERIAROUTE_NET_HTTP_SERVER_CONNECTION_H_

#include <ev.h>

#include <memory>
#include <string>

#include "libwisteriaroute/net/http_parser.h"
#include "libwisteriaroute/net/http_server.h"
#include "libwisteriaroute/net/memory_budget.h"

namespace wisteriaroute::net {

/** State of a connection of a caller; private to the files of http_server. */
struct http_server::connection {
  enum class phase { kIdle, kReceiving, kWaiting, kStreaming, kLingering };

  explicit connection(memory_budget* budget)
      : input(budget, memory_use::kInput),
        output(budget, memory_use::kOutput) {}

  std::size_t unsent() const { return out.size() - sent; }

  http_server* server = nullptr;
  connection_id id = 0;
  int fd = -1;
  ev_io watcher;
  int watched = 0;
  phase current = phase::kIdle;
  std::unique_ptr<http_request_parser> parser;
  std::string in;
  std::string out;
  std::size_t sent = 0;
  exchange_id exchange = 0;
  bool head_request = false;
  bool chunked = true;
  bool close_after = false;
  bool read_ended = false;
  /** Whether a request has had an answer with a status below 400. */
  bool served = false;
  /** Whether on_blocked was called, and on_drained is due. */
  bool blocked = false;
  /** Body bytes that are included in the server's total. */
  std::size_t counted_bytes = 0;
  /** When the current phase times out, if no exchange is in progress and
   * nothing is unsent. */
  base::time_us until_us = 0;
  /** Unsent bytes up to the mark, which was set at `mark_us`; a new mark is set
   * when they are sent. */
  std::size_t before_mark = 0;
  base::time_us mark_us = 0;
  memory_charge input;
  memory_charge output;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_HTTP_SERVER_CONNECTION_H_
