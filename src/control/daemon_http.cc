#include <nlohmann/json.hpp>

#include "control/daemon.h"
#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/control/report_faults.h"
#include "libwisteriaroute/net/descriptors.h"

namespace wisteriaroute::control {

// The part of the daemon that serves HTTP calls of operators and backend
// servers.

namespace {

constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr base::time_ms kIdleTimeoutMs = 15'000;
// Operators give up after some seconds.
constexpr base::time_ms kReceiveTimeoutMs = 10'000;
// Documents that are received at the same time; a host has 256 MB of memory.
constexpr std::size_t kMaxTotalBodyBytes = 6 * kMaxBodyBytes;
// Part of the descriptors that calls may use. Links may use most of the others;
// without descriptors for its log, the process ends.
constexpr std::size_t kDescriptorsPerCall = 4;

// Bounds the memory of calls that wait to be decoded. Further ones are decoded
// as they arrive.
constexpr std::size_t kMaxLargeCalls = 4;

constexpr unsigned kOk = 200;
constexpr unsigned kTemporaryRedirect = 307;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

net::http_headers JsonHeaders() {
  return {{"Content-Type", "application/json"}};
}

std::string ErrorJson(const std::string& code, const std::string& message) {
  return nlohmann::json{{"error", {{"code", code}, {"message", message}}}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void daemon::StartHttp() {
  if (settings_.listen_http.empty()) {
    return;
  }
  http_.emplace(
      event_loop_,
      net::http_server_limits{.body_bytes = kMaxBodyBytes,
                              .total_body_bytes = kMaxTotalBodyBytes,
                              .connections = static_cast<unsigned>(
                                  net::DescriptorLimit() / kDescriptorsPerCall),
                              .header_timeout_ms = kReceiveTimeoutMs,
                              .idle_timeout_ms = kIdleTimeoutMs},
      net::http_server_callbacks{
          .on_request =
              [this](net::exchange_id exchange,
                     const net::http_server_request& request) {
                HandleCall(exchange, request);
              },
          .on_abandoned =
              [this](net::exchange_id exchange) { calls_.erase(exchange); }});
  const std::string address = http_->Listen(settings_.listen_http);
  base::LogInfo("http_listening", {{"address", address}});
}

void daemon::HandleCall(net::exchange_id exchange,
                        const net::http_server_request& request) {
  calls_[exchange].target = request.path + request.query;
  // Decoding a configuration takes long. One is decoded in each turn of the
  // loop, so that other calls wait for one at most.
  if (state_.leadership && request.body.size() > kMaxReportBytes &&
      large_calls_.size() < kMaxLargeCalls) {
    large_calls_.emplace_back(exchange, request);
    large_call_timer_.Start(0);
    return;
  }
  DecodeCall(exchange, request);
}

void daemon::HandleLargeCall() {
  const auto [exchange, request] = std::move(large_calls_.front());
  large_calls_.pop_front();
  if (!large_calls_.empty()) {
    large_call_timer_.Start(0);
  }
  if (calls_.contains(exchange)) {
    DecodeCall(exchange, request);
  }
}

void daemon::DecodeCall(net::exchange_id exchange,
                        const net::http_server_request& request) {
  pending_call& pending = calls_[exchange];
  if (!state_.leadership) {
    AnswerCall({.correlation = exchange,
                .result = wire::admin_result::kNotLeader,
                .code = "not_leader",
                .message = state_.leader_address});
    return;
  }
  api_call call = DecodeControlCall(protocol_, request);
  if (const auto* refusal = std::get_if<api_refusal>(&call)) {
    base::LogInfo("call_refused", {{"target", pending.target},
                                   {"status", std::uint64_t{refusal->status}},
                                   {"code", refusal->code},
                                   {"cause", refusal->message}});
    calls_.erase(exchange);
    metrics_.Count("wisteriaroute_calls_total{result=\"refused\"}");
    http_->Respond(exchange, refusal->status, JsonHeaders(),
                   ErrorJson(refusal->code, refusal->message));
    return;
  }
  pending.returns_document = std::holds_alternative<wire::get_document>(call);
  std::visit(
      [&]<typename Call>(Call& accepted) {
        if constexpr (!std::is_same_v<Call, api_refusal>) {
          Post(link_received{
              kHttpLink, wire::admin_request{exchange, std::move(accepted)}});
        }
      },
      call);
}

void daemon::AnswerCall(const wire::admin_reply& reply) {
  const auto node = calls_.extract(reply.correlation);
  if (node.empty()) {
    return;
  }
  const net::exchange_id exchange = reply.correlation;
  switch (reply.result) {
    case wire::admin_result::kOk:
      metrics_.Count("wisteriaroute_calls_total{result=\"done\"}");
      http_->Respond(
          exchange, kOk,
          node.mapped().returns_document
              ? net::http_headers{{"Content-Type",
                                   std::string(DocumentType(protocol_))}}
              : JsonHeaders(),
          reply.json.empty() ? "{}" : reply.json);
      return;
    case wire::admin_result::kRefused: {
      const unsigned status =
          reply.code == "not_found" ? kNotFound : kBadRequest;
      metrics_.Count("wisteriaroute_calls_total{result=\"refused\"}");
      base::LogInfo("call_refused", {{"target", node.mapped().target},
                                     {"status", std::uint64_t{status}},
                                     {"code", reply.code},
                                     {"cause", reply.message}});
      http_->Respond(exchange, status, JsonHeaders(),
                     ErrorJson(reply.code, reply.message));
      return;
    }
    case wire::admin_result::kNotLeader: {
      metrics_.Count("wisteriaroute_calls_total{result=\"not_leader\"}");
      if (reply.message.empty() ||
          reply.message == settings_.process.advertise) {
        break;
      }
      // All replicas use the same port for HTTP.
      const std::string port =
          settings_.listen_http.substr(settings_.listen_http.rfind(':'));
      net::http_headers headers = JsonHeaders();
      headers.emplace_back("Location", "http://" + base::HostOf(reply.message) +
                                           port + node.mapped().target);
      http_->Respond(exchange, kTemporaryRedirect, headers, "{}");
      return;
    }
    case wire::admin_result::kUnavailable:
      break;
  }
  metrics_.Count("wisteriaroute_calls_total{result=\"unavailable\"}");
  http_->Respond(
      exchange, kUnavailable, JsonHeaders(),
      ErrorJson("unavailable",
                "control is temporarily unavailable; retry the request"));
}

}  // namespace wisteriaroute::control
