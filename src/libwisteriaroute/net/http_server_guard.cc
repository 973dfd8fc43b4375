#include <algorithm>
#include <utility>
#include <vector>

#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/net/http_server_connection.h"

namespace wisteriaroute::net {

namespace {

constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kUnavailable = 503;
constexpr const char* kRetryAfterSeconds = "1";
// Parsed headers are kept as pairs of strings.
constexpr std::size_t kBytesPerHeader = 128;
// A request is kept for further attempts, and copied until it is sent.
constexpr std::size_t kCopiesOfBody = 2;
// A caller that takes its output within this time isn't slow.
constexpr base::time_us kSlowUs = 250'000;
constexpr std::size_t kMinSlowBytes = 16 * 1024;
// Smaller requests are not refused in favour of others.
constexpr std::size_t kMinLargeInput = 64 * 1024;

}  // namespace

std::size_t HeldBytes(const http_server_request& request) {
  return request.body.size() * kCopiesOfBody +
         request.headers.size() * kBytesPerHeader;
}

void http_server::RefuseInput(connection& conn,
                              unsigned status,
                              std::string_view cause) {
  base::LogInfo("input_refused",
                {{"status", std::uint64_t{status}}, {"cause", cause}});
  ++refused_inputs_;
  body_bytes_ -= std::exchange(conn.counted_bytes, 0);
  conn.parser.reset();
  std::string().swap(conn.in);
  AccountInput(conn);
  conn.close_after = true;
  std::string body;
  if (status == kTooLarge && callbacks_.too_large_body) {
    body = callbacks_.too_large_body();
  }
  if (status == kUnavailable && callbacks_.overload_body) {
    body = callbacks_.overload_body();
  }
  http_headers headers = {{"Content-Type", "application/json"},
                          {"Content-Length", std::to_string(body.size())}};
  if (status == kUnavailable) {
    headers.emplace_back("Retry-After", kRetryAfterSeconds);
  }
  WriteHead(conn, status, headers);
  conn.out += body;
  StartLinger(conn);
}

void http_server::RefuseIncomplete() {
  std::vector<connection*> incomplete;
  for (const auto& [id, one] : connections_) {
    if (one->current == connection::phase::kReceiving) {
      incomplete.push_back(one.get());
    }
  }
  for (connection* one : incomplete) {
    if (one->fd >= 0) {
      RefuseInput(*one, kUnavailable, "stopping");
    }
  }
}

void http_server::AccountInput(connection& conn) {
  std::size_t bytes = conn.in.size();
  if (conn.parser != nullptr) {
    bytes += conn.parser->body.size() +
             conn.parser->headers.size() * kBytesPerHeader;
  }
  conn.input.Set(bytes);
}

void http_server::AccountOutput(connection& conn) {
  conn.output.Set(conn.unsent());
  if (budget_ == nullptr || conn.output.bytes() == 0) {
    return;
  }
  const std::string workspace = conn.output.workspace();
  while (!workspace.empty() && !budget_->Fits(workspace, 0) &&
         CloseSlowest(&workspace)) {
  }
  while (!budget_->Fits(0) && CloseSlowest(nullptr)) {
  }
}

bool http_server::FreeMemory(std::size_t needed_bytes) {
  if (budget_ == nullptr) {
    return true;
  }
  while (!budget_->Fits(needed_bytes)) {
    if (!CloseSlowest(nullptr) && !RefuseLargestInput()) {
      return false;
    }
  }
  return true;
}

bool http_server::MakeRoom() {
  return FreeMemory(0) || budget_->used() <= budget_->limit() / 4 * 5;
}

bool http_server::RefuseLargestInput() {
  connection* largest = nullptr;
  for (const auto& [id, one] : connections_) {
    if (one->input.bytes() >= kMinLargeInput &&
        one->current == connection::phase::kReceiving &&
        (largest == nullptr || one->input.bytes() > largest->input.bytes())) {
      largest = one.get();
    }
  }
  if (largest == nullptr) {
    return false;
  }
  RefuseInput(*largest, kUnavailable, "memory budget");
  return true;
}

bool http_server::CloseSlowest(const std::string* workspace) {
  // Beyond the budget by a quarter, a caller is closed even if its output has
  // waited for a short time only.
  const bool must_close =
      !budget_->Fits(0) && budget_->used() > budget_->limit() / 4 * 5;
  const base::time_us latest = base::MonotonicUs() - (must_close ? 0 : kSlowUs);
  connection* slowest = nullptr;
  for (const auto& [id, one] : connections_) {
    if (one->unsent() >= kMinSlowBytes && one->mark_us <= latest &&
        (workspace == nullptr || one->output.workspace() == *workspace) &&
        (slowest == nullptr || one->mark_us < slowest->mark_us)) {
      slowest = one.get();
    }
  }
  if (slowest == nullptr) {
    return false;
  }
  CloseSlow(*slowest, workspace == nullptr ? "memory budget"
                                           : "memory budget of the workspace");
  return true;
}

void http_server::CloseSlow(connection& conn, std::string_view cause) {
  ++slow_callers_closed_;
  base::LogWarning("slow_caller_closed",
                   {{"cause", cause},
                    {"unsent", std::uint64_t{conn.unsent()}},
                    {"waited_ms", (base::MonotonicUs() - conn.mark_us) / 1'000},
                    {"workspace", conn.output.workspace()}});
  Destroy(conn);
}

bool http_server::AdmitInput(connection& conn) {
  AccountInput(conn);
  if (body_bytes_ > limits_.total_body_bytes) {
    RefuseInput(conn, kUnavailable, "limit of all request bodies exceeded");
    return false;
  }
  if (!FreeMemory(0)) {
    RefuseInput(conn, kUnavailable, "memory budget");
  }
  return conn.fd >= 0 && conn.current == connection::phase::kReceiving;
}

bool http_server::AdmitRequest(const http_server_request& request) {
  const char* cause = nullptr;
  if (exchanges_.size() > limits_.requests) {
    cause = "limit of requests in progress";
  } else if (!FreeMemory(HeldBytes(request))) {
    cause = "memory budget";
  }
  if (cause == nullptr) {
    return true;
  }
  ++refused_inputs_;
  base::LogInfo("request_shed",
                {{"cause", cause},
                 {"requests", std::uint64_t{exchanges_.size()}},
                 {"held", std::uint64_t{budget_ ? budget_->used() : 0}}});
  return false;
}

bool http_server::EvictUnserved() {
  for (const auto& [id, one] : connections_) {
    // Connections are in the order of their age.
    if (!one->served && one->exchange == 0) {
      base::LogInfo("connection_evicted",
                    {{"connections", std::uint64_t{connections_.size()}}});
      ++evicted_connections_;
      Destroy(*one);
      return true;
    }
  }
  return false;
}

void http_server::Sweep() {
  const base::time_us now = base::MonotonicUs();
  std::vector<connection*> late;
  std::vector<connection*> slow;
  for (const auto& [id, one] : connections_) {
    if (one->unsent() > 0) {
      if (now - one->mark_us >= limits_.send_timeout_ms * 1'000) {
        slow.push_back(one.get());
      }
    }
    const bool receiving = one->current == connection::phase::kReceiving;
    if (one->exchange == 0 && now >= one->until_us &&
        (receiving || one->unsent() == 0)) {
      late.push_back(one.get());
    }
  }
  for (connection* one : slow) {
    if (one->fd >= 0) {
      CloseSlow(*one, "unsent output too old");
    }
  }
  for (connection* one : late) {
    if (one->fd >= 0 && one->current == connection::phase::kReceiving) {
      RefuseInput(*one, kRequestTimeout, "request not received in time");
    } else {
      Destroy(*one);
    }
  }
  if (accept_paused_) {
    accept_paused_ = false;
    ev_io_start(event_loop_.ev(), &listen_watcher_);
  }
}

}  // namespace wisteriaroute::net
