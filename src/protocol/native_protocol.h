#ifndef PROTOCOL_NATIVE_PROTOCOL_H_
#define PROTOCOL_NATIVE_PROTOCOL_H_

#include <optional>
#include <string_view>

#include "libwisteriaroute/base/finding.h"
#include "libwisteriaroute/config/traffic_set.h"
#include "libwisteriaroute/control/http_api.h"
#include "libwisteriaroute/gateway/http_codec.h"

namespace wisteriaroute::protocol {

/** The project's own formats, which the stand-ins use. */
struct native_protocol {
  const gateway::header_names& headers() const {
    return gateway::kNativeHeaders;
  }
  /** Media type of the configurations that operators publish and read. */
  std::string_view document_type() const { return "application/toml"; }

  std::optional<config::traffic_set> DecodeTraffic(std::string_view document,
                                                   base::findings& out) const;
  /**
   * Decodes `PUT` and `GET /v1/traffic`, `PUT` and `DELETE /v1/servers/ID`
   * (bodies: `docs/OPERATING.md`), and `PUT` and `DELETE /v1/evacuations/NAME`.
   * Returns an api_refusal for an invalid or unknown call.
   */
  control::api_call DecodeControlCall(
      const net::http_server_request& request) const;
};

}  // namespace wisteriaroute::protocol

#endif  // PROTOCOL_NATIVE_PROTOCOL_H_
