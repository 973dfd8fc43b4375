#ifndef LIBWISTERIAROUTE_NET_HTTP_CLIENT_H_
#define LIBWISTERIAROUTE_NET_HTTP_CLIENT_H_

#include <ev.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/net/http_message.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/net/memory_budget.h"

namespace wisteriaroute::net {

/** Identifies a transfer within its client; never reused. */
using transfer_id = std::uint64_t;

struct http_client_request {
  std::string method = "GET";
  /** `http://IP:port/target`. */
  std::string url;
  http_headers headers;
  std::string body;
  std::int64_t connect_timeout_ms = 1'000;
  /** Time limit of the whole transfer, including the connect; 0: none. */
  std::int64_t timeout_ms = 0;
  /**
   * Whether the request may use an idle connection, and its connection may be
   * kept afterwards. The request is never sent twice: if the idle connection
   * turns out to be closed, the transfer fails.
   */
  bool reuse_connection = false;
  /** Idle connections that were last used longer ago are not used. */
  std::int64_t max_idle_ms = 60'000;
  /**
   * Lower-case name of a header whose value must be equal in request and
   * response; empty: none. Responses with another value are discarded, because
   * they answer an earlier request of the connection. A response without the
   * header fails the transfer. A request without it gets a connection of its
   * own.
   */
  std::string match_header;
  /**
   * Limit of the response's body, for owners that keep it; larger bodies fail
   * the transfer. 0: none.
   */
  std::size_t max_body_bytes = 0;
  /** Only makes a new connection and closes it; nothing is sent. */
  bool connect_only = false;
};

struct http_client_result {
  /** Whether a whole response was received. */
  bool ok = false;
  unsigned status = 0;
  /** Whether the connection was never established, so nothing was sent. */
  bool never_sent = false;
  /** Whether the host answered that nothing listens at the address. */
  bool refused = false;
  /** Whether the transfer used an idle connection. */
  bool reused = false;
  std::string error;
};

struct http_client_callbacks {
  /** Called with status and headers (names in lower case) before any data. */
  std::function<void(unsigned status, const http_headers&)> on_head;
  std::function<void(std::string_view data)> on_data;
  /** Called exactly once, unless the transfer is cancelled. */
  std::function<void(const http_client_result&)> on_done;
};

/**
 * HTTP/1.1 client on the process's event loop. Never retries a request.
 *
 * With a budget, which must outlive the client, the incomplete heads and
 * framing of responses are counted in it. Above it, responses for which more
 * than kReadBytes are kept fail.
 */
class http_client {
 public:
  explicit http_client(loop& event_loop, memory_budget* budget = nullptr);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /** Starts a transfer. Throws std::invalid_argument for a URL that isn't
   * http://; an invalid IP or port fails the transfer. */
  transfer_id Start(http_client_request request,
                    http_client_callbacks callbacks);

  /** Ends a transfer without further callbacks and resets its connection. */
  void Cancel(transfer_id id);

  /**
   * Stops reading the transfer's response, so that the server has to wait. At
   * most the data of one read is still delivered. Until Resume, nothing but the
   * time limit ends the transfer. Both calls ignore unknown ids.
   */
  void Pause(transfer_id id);
  void Resume(transfer_id id);

  std::size_t transfer_count() const { return transfers_.size(); }
  /**
   * Bytes of input that weren't delivered yet and of requests that weren't
   * completely sent, over all connections.
   */
  std::size_t held_bytes() const { return held_bytes_; }
  /** Number of connections opened so far, for metrics. */
  std::uint64_t connections_made() const { return connections_made_; }

 private:
  struct connection;
  struct transfer;

  connection* TakeIdle(const std::string& address, std::int64_t max_idle_ms);
  connection* Connect(const std::string& address, std::string& error);
  void HandleEvents(connection& conn, int events);
  void HandleWritable(connection& conn);
  void HandleReadable(connection& conn);
  bool Parse(connection& conn, std::string_view& input);
  bool DeliverHead(connection& conn);
  void DeliverBody(connection& conn);
  void HandleEnd(connection& conn, const std::string& error);
  void Complete(connection& conn);
  void Fail(transfer& target, std::string error, bool never_sent);
  void KeepOrClose(connection& conn);
  void UpdateWatcher(connection& conn);
  void SetPaused(transfer_id id, bool paused);
  /** Updates the connection's part of `held_bytes_` and of the budget. */
  void CountBytes(connection& conn);
  /** Bytes of input that the connection keeps. */
  static std::size_t HeldInput(const connection& conn);
  void Destroy(connection& target);

  loop& event_loop_;
  memory_budget* budget_;
  timer later_;
  transfer_id next_id_ = 1;
  std::uint64_t connections_made_ = 0;
  std::size_t held_bytes_ = 0;
  std::map<transfer_id, std::unique_ptr<transfer>> transfers_;
  std::map<connection*, std::unique_ptr<connection>> connections_;
  /** Idle connections by address, the most recently used one last. */
  std::map<std::string, std::vector<connection*>, std::less<>> idle_;
  // Freed by the timer, when none of their callbacks can be running.
  std::vector<std::unique_ptr<connection>> closed_;
  std::vector<std::unique_ptr<transfer>> ended_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_HTTP_CLIENT_H_
