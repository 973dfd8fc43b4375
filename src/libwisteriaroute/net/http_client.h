#ifndef LIBWISTERIAROUTE_NET_HTTP_CLIENT_H_
#define LIBWISTERIAROUTE_NET_HTTP_CLIENT_H_

#include <curl/curl.h>
#include <ev.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libwisteriaroute/net/loop.h"

namespace wisteriaroute::net {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/** Number of a transfer within its client; never used again. */
using transfer_id = std::uint64_t;

struct http_client_request {
  std::string method = "GET";
  std::string url;
  http_headers headers;
  std::string body;
  std::int64_t connect_timeout_ms = 1'000;
  /** Limit of the whole transfer; 0: none. */
  std::int64_t timeout_ms = 0;
  /**
   * Whether an idle connection may be used. curl then sends the request a
   * second time if that connection turns out to be closed, so it is only for
   * requests that may be repeated.
   */
  bool reuse_connection = false;
};

struct http_client_result {
  /** Whether a whole response was received. */
  bool ok = false;
  unsigned status = 0;
  /**
   * Whether the connection was refused or never made: nothing was sent. Never
   * set for a request that may reuse a connection.
   */
  bool never_sent = false;
  std::string error;
};

struct http_client_callbacks {
  /** Status and headers (names in lower case), before any data. */
  std::function<void(unsigned status, const http_headers&)> on_head;
  std::function<void(std::string_view data)> on_data;
  /** Called exactly once, unless the transfer is cancelled. */
  std::function<void(const http_client_result&)> on_done;
};

/** HTTP/1.1 client on the process's loop, by curl's multi interface. */
class http_client {
 public:
  explicit http_client(loop& event_loop);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  transfer_id Start(http_client_request request,
                    http_client_callbacks callbacks);

  /** Ends a transfer without further callbacks. */
  void Cancel(transfer_id id);

  std::size_t transfer_count() const { return transfers_.size(); }

 private:
  struct transfer;
  struct socket_watcher {
    http_client* client = nullptr;
    ev_io watcher;
  };

  static int HandleSocket(CURL* easy,
                          curl_socket_t fd,
                          int what,
                          void* self,
                          void* socket);
  static int HandleTimer(CURLM* multi, long timeout_ms, void* self);
  static std::size_t HandleHeader(char* data,
                                  std::size_t size,
                                  std::size_t count,
                                  void* context);
  static std::size_t HandleData(char* data,
                                std::size_t size,
                                std::size_t count,
                                void* context);

  void SocketAction(curl_socket_t fd, int events);
  void CollectDone();
  void Finish(transfer_id id, CURLcode code);

  loop& event_loop_;
  CURLM* multi_;
  timer timer_;
  transfer_id next_id_ = 1;
  std::map<transfer_id, std::unique_ptr<transfer>> transfers_;
  std::map<curl_socket_t, std::unique_ptr<socket_watcher>> sockets_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_HTTP_CLIENT_H_
