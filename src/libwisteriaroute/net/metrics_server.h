#ifndef LIBWISTERIAROUTE_NET_METRICS_SERVER_H_
#define LIBWISTERIAROUTE_NET_METRICS_SERVER_H_

#include <functional>
#include <string>
#include <string_view>

#include "libwisteriaroute/net/http_server.h"

namespace wisteriaroute::net {

/** Serves metrics as Prometheus text at `GET /metrics`. */
class metrics_server {
 public:
  /** Calls `render` for the text of each request. */
  metrics_server(loop& event_loop, std::function<std::string()> render);

  /** Listens on `IP:port`; does nothing if it is empty. Throws. */
  void Listen(std::string_view address);

 private:
  loop& loop_;
  std::function<std::string()> render_;
  http_server server_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_METRICS_SERVER_H_
