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

namespace wisteriaroute::net {

/** Number of a transfer within its client; never used again. */
using transfer_id = std::uint64_t;

struct http_client_request {
  std::string method = "GET";
  /** `http://IP:port/target`. */
  std::string url;
  http_headers headers;
  std::string body;
  std::int64_t connect_timeout_ms = 1'000;
  /** Limit of the whole transfer; 0: none. */
  std::int64_t timeout_ms = 0;
  /**
   * Whether the connection may be kept and an idle one used. The request is
   * sent once in any case; if the idle connection turns out to be closed, the
   * transfer fails.
   */
  bool reuse_connection = false;
  /** An idle connection is used only if it was used within this time. */
  std::int64_t max_idle_ms = 60'000;
  /**
   * Lower-case name of a header that the response has with the value of the
   * request's. Responses with another value are discarded: they answer an
   * earlier request of the connection.
   */
  std::string match_header;
};

struct http_client_result {
  /** Whether a whole response was received. */
  bool ok = false;
  unsigned status = 0;
  /** Whether the connection was refused or never made: nothing was sent. */
  bool never_sent = false;
  /** Whether an idle connection was used. */
  bool reused = false;
  std::string error;
};

struct http_client_callbacks {
  /** Status and headers (names in lower case), before any data. */
  std::function<void(unsigned status, const http_headers&)> on_head;
  std::function<void(std::string_view data)> on_data;
  /** Called exactly once, unless the transfer is cancelled. */
  std::function<void(const http_client_result&)> on_done;
};

/** HTTP/1.1 client on the process's loop. Never repeats a request by itself. */
class http_client {
 public:
  explicit http_client(loop& event_loop);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  transfer_id Start(http_client_request request,
                    http_client_callbacks callbacks);

  /** Ends a transfer without further callbacks, and its connection. */
  void Cancel(transfer_id id);

  std::size_t transfer_count() const { return transfers_.size(); }
  /** Connections made so far, for metrics. */
  std::uint64_t connections_made() const { return connections_made_; }

 private:
  struct connection;
  struct transfer;

  connection* TakeIdle(const std::string& address, std::int64_t max_idle_ms);
  connection* Connect(const std::string& address, std::string& error);
  void HandleEvents(connection& on, int events);
  void HandleWritable(connection& on);
  void HandleReadable(connection& on);
  bool Parse(connection& on);
  bool DeliverHead(connection& on);
  void DeliverBody(connection& on);
  void HandleEnd(connection& on, const std::string& error);
  void Complete(connection& on);
  void Fail(transfer& target, std::string error, bool never_sent);
  void KeepOrClose(connection& on);
  void UpdateWatcher(connection& of);
  void Destroy(connection& target);

  loop& event_loop_;
  timer later_;
  transfer_id next_id_ = 1;
  std::uint64_t connections_made_ = 0;
  std::map<transfer_id, std::unique_ptr<transfer>> transfers_;
  std::map<connection*, std::unique_ptr<connection>> connections_;
  /** Idle connections by address, the one used last at the end. */
  std::map<std::string, std::vector<connection*>, std::less<>> idle_;
  // Freed when no callback of theirs can be running.
  std::vector<std::unique_ptr<connection>> closed_;
  std::vector<std::unique_ptr<transfer>> ended_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_HTTP_CLIENT_H_
