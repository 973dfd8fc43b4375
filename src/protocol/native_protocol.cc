#include "protocol/native_protocol.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "libwisteriaroute/base/json_input.h"
#include "libwisteriaroute/config/traffic_parse.h"
#include "libwisteriaroute/control/report_faults.h"

namespace wisteriaroute::protocol {

namespace {

using control::api_call;
using control::api_refusal;
using nlohmann::json;

constexpr std::string_view kTrafficPath = "/v1/traffic";
constexpr std::string_view kServersPath = "/v1/servers/";
constexpr std::string_view kEvacuationsPath = "/v1/evacuations/";
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
  if (request.body.size() > control::kMaxReportBytes) {
    return api_refusal{.code = "invalid_report",
                       .message = "the body is too large"};
  }
  const json body = base::ParseJsonInput(request.body);
  if (!body.is_object()) {
    return api_refusal{.code = "invalid_report",
                       .message = "the body is not a JSON object"};
  }
  try {
    report.info.incarnation = base::ExactUnsigned(body.at("started_ms"));
    if (!gone) {
      report.sequence = base::ExactUnsigned(body.at("sequence"));
      report.info.address = body.at("address").get<std::string>();
      report.info.data_center = body.value("data_center", "");
      report.info.leaving = body.value("leaving", false);
      if (body.contains("cold_left_ms")) {
        report.info.cold_left_ms =
            base::ExactUnsigned<std::uint32_t>(body.at("cold_left_ms"));
      }
      wire::backend_info& backend = report.info.backend;
      backend.service = body.at("service").get<std::string>();
      backend.healthy = true;
      if (body.contains("slots")) {
        backend.slots = base::ExactUnsigned<std::uint32_t>(body.at("slots"));
      }
      backend.version = body.value("version", "");
    }
  } catch (const json::exception& error) {
    return api_refusal{.code = "invalid_report", .message = error.what()};
  }
  if (const auto fault = control::FindReportFault(report); !fault.empty()) {
    return api_refusal{.code = "invalid_report", .message = std::string(fault)};
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
  if (path.starts_with(kEvacuationsPath) &&
      path.size() > kEvacuationsPath.size() &&
      (method == "PUT" || method == "DELETE")) {
    if (!request.body.empty()) {
      return api_refusal{.code = "invalid_order",
                         .message = "the order has a body"};
    }
    return wire::evacuation_order{
        .data_center = std::string(path.substr(kEvacuationsPath.size())),
        .evacuated = method == "PUT"};
  }
  return api_refusal{.status = kNotFound,
                     .code = "not_found",
                     .message = "unknown path or method"};
}

}  // namespace wisteriaroute::protocol
