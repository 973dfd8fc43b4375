#ifndef PROTOCOL_NATIVE_PROTOCOL_H_
#define PROTOCOL_NATIVE_PROTOCOL_H_

#include <optional>
#include <string_view>

#include "control/http_api.h"
#include "libwisteriaroute/base/finding.h"
#include "libwisteriaroute/config/traffic_set.h"
#include "libwisteriaroute/gateway/http_codec.h"

namespace wisteriaroute::protocol {

/** The product's own formats; the stand-ins speak them. */
struct native_protocol {
  const gateway::header_names& headers() const {
    return gateway::kNativeHeaders;
  }
  /** Type of the documents that operators publish and read. */
  std::string_view document_type() const { return "application/toml"; }

  std::optional<config::traffic_set> DecodeTraffic(std::string_view document,
                                                   base::findings& out) const;
  /**
   * `PUT` and `GET /v1/traffic`; `PUT` and `DELETE /v1/servers/ID`. Bodies are
   * described in `docs/OPERATING.md`.
   */
  control::api_call DecodeControlCall(
      const net::http_server_request& request) const;
};

}  // namespace wisteriaroute::protocol

#endif  // PROTOCOL_NATIVE_PROTOCOL_H_
