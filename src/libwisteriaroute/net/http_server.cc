#include "libwisteriaroute/net/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <utility>

#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/net/address.h"
#include "libwisteriaroute/net/http_server_connection.h"

namespace wisteriaroute::net {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
// Limit of buffered input while a response is in progress. Further pipelined
// requests wait in the socket.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
// A pipelined request waits until less than this of earlier responses is
// unsent.
constexpr std::size_t kMaxUnsentBytes = 64 * 1024;
constexpr base::time_us kSweepPeriodUs = 250'000;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnavailable = 503;
constexpr const char* kRetryAfterSeconds = "1";

}  // namespace

std::string_view http_server_request::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

http_server::http_server(loop& event_loop,
                         http_server_limits limits,
                         http_server_callbacks callbacks,
                         memory_budget* budget)
    : event_loop_(event_loop),
      limits_(limits),
      callbacks_(std::move(callbacks)),
      budget_(budget),
      sweep_(event_loop.ev(), [this] { Sweep(); }),
      later_(event_loop.ev(), [this] { RunDeferred(); }) {}

http_server::~http_server() {
  StopListening();
  callbacks_.on_abandoned = nullptr;
  while (!connections_.empty()) {
    Destroy(*connections_.begin()->second);
  }
}

std::string http_server::Listen(std::string_view address) {
  listen_fd_ = OpenListener(address);
  ev_io_init(
      &listen_watcher_,
      [](struct ev_loop*, ev_io* watcher, int) {
        static_cast<http_server*>(watcher->data)->Accept();
      },
      listen_fd_, EV_READ);
  listen_watcher_.data = this;
  ev_io_start(event_loop_.ev(), &listen_watcher_);
  sweep_.Start(kSweepPeriodUs, kSweepPeriodUs);
  return LocalAddress(listen_fd_);
}

void http_server::StopListening() {
  if (listen_fd_ >= 0) {
    ev_io_stop(event_loop_.ev(), &listen_watcher_);
    accept_paused_ = false;
    close(std::exchange(listen_fd_, -1));
  }
}

void http_server::SetWorkspace(exchange_id id, std::string_view workspace) {
  if (connection* target = Find(id)) {
    target->output.SetWorkspace(workspace);
  }
}

void http_server::SetLimits(const http_server_limits& limits) {
  limits_ = limits;
}

void http_server::CloseIdle() {
  std::vector<connection*> idle;
  for (const auto& [id, one] : connections_) {
    if (one->current == connection::phase::kIdle && one->in.empty() &&
        one->sent == one->out.size()) {
      idle.push_back(one.get());
    }
  }
  for (connection* one : idle) {
    Destroy(*one);
  }
}

void http_server::Accept() {
  for (;;) {
    const int fd =
        accept4(listen_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR &&
          errno != ECONNABORTED) {
        base::LogWarning("accept_failed", {{"errno", errno}});
        // The connection stays in the queue, and the loop would spin.
        ev_io_stop(event_loop_.ev(), &listen_watcher_);
        accept_paused_ = true;
      }
      return;
    }
    if (connections_.size() >= limits_.connections && !EvictUnserved()) {
      base::LogWarning("connection_refused",
                       {{"cause", "limit"},
                        {"connections", std::uint64_t{connections_.size()}}});
      close(fd);
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (limits_.socket_bytes > 0) {
      const int bytes = static_cast<int>(limits_.socket_bytes);
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
      setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
    }
    auto made = std::make_unique<connection>(budget_);
    connection& one = *made;
    one.server = this;
    one.id = next_connection_++;
    one.fd = fd;
    one.until_us = base::MonotonicUs() + limits_.idle_timeout_ms * 1'000;
    ev_io_init(
        &one.watcher,
        [](struct ev_loop*, ev_io* watcher, int events) {
          auto& target = *static_cast<connection*>(watcher->data);
          http_server& server = *target.server;
          if ((events & EV_WRITE) != 0) {
            server.Flush(target);
          }
          if ((events & EV_READ) != 0 && target.fd >= 0) {
            server.HandleReadable(target);
          }
        },
        fd, EV_READ);
    one.watcher.data = &one;
    connections_[one.id] = std::move(made);
    UpdateWatcher(one);
  }
}

void http_server::UpdateWatcher(connection& conn) {
  if (conn.fd < 0) {
    return;
  }
  const bool busy = conn.exchange != 0 || conn.unsent() >= kMaxUnsentBytes;
  const bool read =
      !conn.read_ended && !(busy && conn.in.size() >= kMaxPipelinedBytes);
  const int wanted = (read ? EV_READ : 0) | (conn.unsent() > 0 ? EV_WRITE : 0);
  if (wanted == conn.watched) {
    return;
  }
  ev_io_stop(event_loop_.ev(), &conn.watcher);
  conn.watched = wanted;
  if (wanted != 0) {
    ev_io_set(&conn.watcher, conn.fd, wanted);
    ev_io_start(event_loop_.ev(), &conn.watcher);
  }
}

void http_server::HandleReadable(connection& conn) {
  std::array<char, kReadBytes> buffer;
  const ssize_t count = recv(conn.fd, buffer.data(), buffer.size(), 0);
  if (count < 0) {
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      Destroy(conn);
    }
    return;
  }
  if (count == 0) {
    Destroy(conn);
    return;
  }
  if (conn.current == connection::phase::kLingering) {
    return;
  }
  conn.in.append(buffer.data(), static_cast<std::size_t>(count));
  Parse(conn);
  if (conn.fd >= 0) {
    AccountInput(conn);
  }
  UpdateWatcher(conn);
}

void http_server::Parse(connection& conn) {
  while (conn.fd >= 0 && conn.exchange == 0 && !conn.in.empty() &&
         conn.unsent() < kMaxUnsentBytes &&
         conn.current != connection::phase::kLingering) {
    if (conn.current == connection::phase::kIdle) {
      conn.current = connection::phase::kReceiving;
      conn.until_us = base::MonotonicUs() + limits_.header_timeout_ms * 1'000;
      conn.parser = std::make_unique<http_request_parser>(limits_.header_bytes,
                                                          limits_.body_bytes);
    }
    http_request_parser& parser = *conn.parser;
    const bool had_header = parser.is_header_done();
    const http_request_parser::feed_result fed = parser.Feed(conn.in);
    if (fed.consumed == conn.in.size()) {
      // Frees the memory: an idle connection keeps none.
      std::string().swap(conn.in);
    } else {
      conn.in.erase(0, fed.consumed);
    }
    body_bytes_ += parser.body.size() - conn.counted_bytes;
    conn.counted_bytes = parser.body.size();
    if (fed.failed) {
      RefuseInput(conn, fed.limit_status != 0 ? fed.limit_status : kBadRequest,
                  fed.error);
      return;
    }
    if (!AdmitInput(conn)) {
      return;
    }
    if (parser.is_done()) {
      Dispatch(conn);
      continue;
    }
    if (!had_header && parser.is_header_done() &&
        HasToken(FindHeader(parser.headers, "expect"), "100-continue")) {
      conn.out += "HTTP/1.1 100 Continue\r\n\r\n";
      Flush(conn);
    }
    return;
  }
}

void http_server::Dispatch(connection& conn) {
  http_request_parser& parser = *conn.parser;
  http_server_request request{.method = std::move(parser.method),
                              .headers = std::move(parser.headers),
                              .body = std::move(parser.body)};
  body_bytes_ -= std::exchange(conn.counted_bytes, 0);
  const std::size_t query =
      std::min(parser.target.find('?'), parser.target.size());
  request.path = parser.target.substr(0, query);
  request.query = parser.target.substr(query);
  conn.close_after = !parser.keep_alive();
  conn.head_request = request.method == "HEAD";
  conn.chunked = parser.version >= 11;
  conn.parser.reset();
  conn.exchange = next_exchange_++;
  conn.current = connection::phase::kWaiting;
  exchanges_[conn.exchange] = conn.id;
  AccountInput(conn);
  if (!AdmitRequest(request)) {
    Respond(conn.exchange, kUnavailable,
            {{"Content-Type", "application/json"},
             {"Retry-After", kRetryAfterSeconds}},
            callbacks_.overload_body ? callbacks_.overload_body() : "");
    return;
  }
  callbacks_.on_request(conn.exchange, std::move(request));
}

void http_server::Destroy(connection& target) {
  if (target.fd < 0) {
    return;
  }
  ev_io_stop(event_loop_.ev(), &target.watcher);
  close(std::exchange(target.fd, -1));
  body_bytes_ -= std::exchange(target.counted_bytes, 0);
  target.input.Set(0);
  target.output.Set(0);
  const exchange_id exchange = std::exchange(target.exchange, 0);
  auto node = connections_.extract(target.id);
  closed_.push_back(std::move(node.mapped()));
  later_.Start(0);
  if (exchange != 0) {
    exchanges_.erase(exchange);
    if (callbacks_.on_abandoned) {
      callbacks_.on_abandoned(exchange);
    }
  }
}

void http_server::RunDeferred() {
  closed_.clear();
  for (const connection_id id : std::exchange(pipelined_connections_, {})) {
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
      connection& target = *found->second;
      Parse(target);
      if (target.fd >= 0) {
        AccountInput(target);
      }
      UpdateWatcher(target);
    }
  }
}

http_server::connection* http_server::Find(exchange_id id) {
  const auto exchange = exchanges_.find(id);
  return exchange == exchanges_.end()
             ? nullptr
             : connections_.find(exchange->second)->second.get();
}

}  // namespace wisteriaroute::net
