#ifndef PROTOCOL_PROTOCOL_H_
#define PROTOCOL_PROTOCOL_H_

#include <optional>
#include <string_view>
#include <variant>

#include "platform/platform_protocol.h"
#include "protocol/native_protocol.h"

namespace wisteriaroute::protocol {

/** Formats of the HTTP API for callers, backend servers and operators. */
using any_protocol = std::variant<native_protocol, platform::platform_protocol>;

/** Returns the protocol `native` or `platform`. Throws std::invalid_argument.
 */
any_protocol Select(std::string_view name);

// These forward to the selected protocol.

const gateway::header_names& Headers(const any_protocol& protocol);
std::string_view DocumentType(const any_protocol& protocol);
std::optional<config::traffic_set> DecodeTraffic(const any_protocol& protocol,
                                                 std::string_view document,
                                                 base::findings& out);
control::api_call DecodeControlCall(const any_protocol& protocol,
                                    const net::http_server_request& request);

}  // namespace wisteriaroute::protocol

#endif  // PROTOCOL_PROTOCOL_H_
