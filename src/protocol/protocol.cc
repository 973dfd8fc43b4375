#include "protocol/protocol.h"

#include <stdexcept>
#include <string>

namespace wisteriaroute::protocol {

any_protocol Select(std::string_view name) {
  if (name == "native") {
    return native_protocol{};
  }
  if (name == "platform") {
    return platform::platform_protocol{};
  }
  throw std::invalid_argument("'" + std::string(name) +
                              "' is not a protocol: use native or platform");
}

const gateway::header_names& Headers(const any_protocol& protocol) {
  return std::visit(
      [](const auto& one) -> const gateway::header_names& {
        return one.headers();
      },
      protocol);
}

std::string_view DocumentType(const any_protocol& protocol) {
  return std::visit([](const auto& one) { return one.document_type(); },
                    protocol);
}

std::optional<config::traffic_set> DecodeTraffic(const any_protocol& protocol,
                                                 std::string_view document,
                                                 base::findings& out) {
  return std::visit(
      [&](const auto& one) { return one.DecodeTraffic(document, out); },
      protocol);
}

control::api_call DecodeControlCall(const any_protocol& protocol,
                                    const net::http_server_request& request) {
  return std::visit(
      [&](const auto& one) { return one.DecodeControlCall(request); },
      protocol);
}

}  // namespace wisteriaroute::protocol
