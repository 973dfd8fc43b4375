#ifndef GATEWAY_SETTINGS_H_
#define GATEWAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "libwisteriaroute/base/process_settings.h"
#include "libwisteriaroute/gateway/gateway.h"

namespace wisteriaroute::gateway {

/** Settings of a gateway: `[process]` and `[gateway]`. */
struct gateway_settings {
  base::process_settings process;
  /** `IP:port` for callers. */
  std::string listen_http;
  /** `IP:port` of the load balancer's readiness check. */
  std::string listen_ready;
  std::int64_t max_connections = 2'000;
  /** Memory that the process may use. */
  std::int64_t memory_mb = 112;
  /** Descriptors that the process may open. */
  std::int64_t max_fds = 2'870;
  /** A caller that doesn't take its output for this long is disconnected. */
  std::int64_t send_timeout_ms = 60'000;
  /**
   * Whether requests are served after the lease has expired because no quorum
   * of control is reachable. The last known configuration stays in force.
   */
  bool serve_without_quorum = false;
  /** New connections are accepted for this long after SIGTERM. */
  std::int64_t settle_ms = 2'500;
  /**
   * The process exits at the latest this long after SIGTERM, but not before
   * `settle_ms`.
   */
  std::int64_t drain_limit_ms = 7'400;
  gateway_options options;
};

/** Parses the text of a settings file. Appends errors to `out`. */
gateway_settings ParseGatewaySettings(std::string_view text,
                                      std::string_view file,
                                      base::findings& out);

}  // namespace wisteriaroute::gateway

#endif  // GATEWAY_SETTINGS_H_
