#include "protocol/native_protocol.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "libwisteriaroute/config/traffic_parse.h"
#include "libwisteriaroute/net/address.h"

namespace wisteriaroute::protocol {

namespace {

using control::api_call;
using control::api_refusal;
using nlohmann::json;

constexpr std::string_view kTrafficPath = "/v1/traffic";
constexpr std::string_view kServersPath = "/v1/servers/";
constexpr std::string_view kDocumentName = "traffic";
constexpr unsigned kNotFound = 404;

api_call DecodePublish(const native_protocol& protocol,
                       const net::http_server_request& request) {
  base::findings found;
  const auto set = protocol.DecodeTraffic(request.body, found);
  if (!set) {
    return api_refusal{.code = "invalid_config",
                       .message = base::ToString(found.front())};
  }
  return wire::publish_document{set->version, request.body};
}

api_call DecodeReport(std::string id, const net::http_server_request& request) {
  const bool gone = request.method == "DELETE";
  wire::report_server report{
      .info = {.name = std::move(id), .role = wire::member_role::kServer},
      .gone = gone};
  try {
    const json body = json::parse(request.body);
    report.info.incarnation = body.at("started_ms").get<std::uint64_t>();
    if (gone) {
      return report;
    }
    report.sequence = body.at("sequence").get<std::uint64_t>();
    report.info.address = body.at("address").get<std::string>();
    report.info.data_center = body.value("data_center", "");
    report.info.leaving = body.value("leaving", false);
    wire::backend_info& backend = report.info.backend;
    backend.service = body.at("service").get<std::string>();
    backend.healthy = true;
    backend.slots = body.value("slots", std::uint32_t{0});
    backend.version = body.value("version", "");
  } catch (const json::exception& error) {
    return api_refusal{.code = "invalid_report", .message = error.what()};
  }
  if (!net::IsAddress(report.info.address) ||
      report.info.backend.service.empty()) {
    return api_refusal{.code = "invalid_report",
                       .message = "address is invalid or service is empty"};
  }
  return report;
}

}  // namespace

std::optional<config::traffic_set> native_protocol::DecodeTraffic(
    std::string_view document,
    base::findings& out) const {
  return config::ParseTraffic(document, kDocumentName, out);
}

api_call native_protocol::DecodeControlCall(
    const net::http_server_request& request) const {
  const std::string_view path = request.path;
  const std::string& method = request.method;
  if (path == kTrafficPath && method == "GET") {
    return wire::get_document{};
  }
  if (path == kTrafficPath && method == "PUT") {
    return DecodePublish(*this, request);
  }
  if (path.starts_with(kServersPath) && path.size() > kServersPath.size() &&
      (method == "PUT" || method == "DELETE")) {
    return DecodeReport(std::string(path.substr(kServersPath.size())), request);
  }
  return api_refusal{.status = kNotFound,
                     .code = "not_found",
                     .message = "unknown path or method"};
}

}  // namespace wisteriaroute::protocol
