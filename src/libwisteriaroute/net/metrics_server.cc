#include "libwisteriaroute/net/metrics_server.h"

#include <utility>

#include "libwisteriaroute/base/log.h"

namespace wisteriaroute::net {

namespace {

constexpr std::string_view kPath = "/metrics";
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
// Few clients read metrics; more connections would use file descriptors that
// requests need.
constexpr unsigned kMaxConnections = 16;
// Connections that send nothing would otherwise keep all clients away.
constexpr base::time_ms kHeaderTimeoutMs = 2'000;
constexpr base::time_ms kIdleTimeoutMs = 5'000;

/** Metrics of the event loop, which every process exports. */
std::string LoopText(loop& of) {
  return "wisteriaroute_longest_turn_seconds " +
         std::to_string(static_cast<double>(of.TakeLongestTurn()) / 1e6) + "\n";
}

}  // namespace

metrics_server::metrics_server(loop& event_loop,
                               std::function<std::string()> render)
    : loop_(event_loop),
      render_(std::move(render)),
      server_(event_loop,
              {.connections = kMaxConnections,
               .header_timeout_ms = kHeaderTimeoutMs,
               .idle_timeout_ms = kIdleTimeoutMs},
              {.on_request = [this](exchange_id id,
                                    const http_server_request& request) {
                if (request.path != kPath || request.method != "GET") {
                  server_.Respond(id, kNotFound, {}, "");
                  return;
                }
                server_.Respond(id, kOk,
                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                render_() + LoopText(loop_));
              }}) {}

void metrics_server::Listen(std::string_view address) {
  if (address.empty()) {
    return;
  }
  base::LogInfo("metrics_listening", {{"address", server_.Listen(address)}});
}

}  // namespace wisteriaroute::net
