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
#include "libwisteriaroute/net/http_parser.h"

namespace wisteriaroute::net {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
// Limit of buffered input while a response is in progress. Further pipelined
// requests wait in the socket.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
constexpr base::time_us kSweepPeriodUs = 250'000;
// How long input is discarded after the last response of a connection. Closing
// at once, with unread input, would reset the connection and could destroy the
// response in transit.
constexpr base::time_us kLingerUs = 2'000'000;
constexpr std::size_t kCompactBytes = 64 * 1024;

constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kUnavailable = 503;

bool HasBody(unsigned status) {
  return status >= 200 && status != kNoContent && status != kNotModified;
}

}  // namespace

struct http_server::connection {
  enum class phase { kIdle, kReceiving, kWaiting, kStreaming, kLingering };

  http_server* server = nullptr;
  connection_id id = 0;
  int fd = -1;
  ev_io watcher;
  int watched = 0;
  phase current = phase::kIdle;
  std::unique_ptr<http_request_parser> parser;
  std::string in;
  std::string out;
  std::size_t sent = 0;
  exchange_id exchange = 0;
  bool head_request = false;
  bool chunked = true;
  bool close_after = false;
  bool read_ended = false;
  /** Body bytes that are included in the server's total. */
  std::size_t counted_bytes = 0;
  /** When the current phase times out, if no exchange is in progress. */
  base::time_us until_us = 0;
};

std::string_view http_server_request::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

http_server::http_server(loop& event_loop,
                         http_server_limits limits,
                         http_server_callbacks callbacks)
    : event_loop_(event_loop),
      limits_(limits),
      callbacks_(std::move(callbacks)),
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
    close(std::exchange(listen_fd_, -1));
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
      }
      return;
    }
    if (connections_.size() >= limits_.connections) {
      base::LogWarning("connection_refused",
                       {{"cause", "limit"},
                        {"connections", std::uint64_t{connections_.size()}}});
      close(fd);
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto made = std::make_unique<connection>();
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
  const bool busy = conn.exchange != 0;
  const bool read =
      !conn.read_ended && !(busy && conn.in.size() >= kMaxPipelinedBytes);
  const int wanted =
      (read ? EV_READ : 0) | (conn.sent < conn.out.size() ? EV_WRITE : 0);
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
  UpdateWatcher(conn);
}

void http_server::Parse(connection& conn) {
  while (conn.fd >= 0 && conn.exchange == 0 && !conn.in.empty() &&
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
    conn.in.erase(0, fed.consumed);
    body_bytes_ += parser.body.size() - conn.counted_bytes;
    conn.counted_bytes = parser.body.size();
    if (fed.failed) {
      RefuseInput(conn, fed.limit_status != 0 ? fed.limit_status : kBadRequest,
                  fed.error);
      return;
    }
    if (body_bytes_ > limits_.total_body_bytes) {
      RefuseInput(conn, kUnavailable, "limit of all request bodies exceeded");
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
  callbacks_.on_request(conn.exchange, std::move(request));
}

void http_server::RefuseInput(connection& conn,
                              unsigned status,
                              std::string_view cause) {
  base::LogInfo("input_refused",
                {{"status", std::uint64_t{status}}, {"cause", cause}});
  body_bytes_ -= std::exchange(conn.counted_bytes, 0);
  conn.parser.reset();
  conn.in.clear();
  conn.close_after = true;
  std::string body;
  if (status == kTooLarge && callbacks_.too_large_body) {
    body = callbacks_.too_large_body();
  }
  WriteHead(conn, status,
            {{"Content-Type", "application/json"},
             {"Content-Length", std::to_string(body.size())}});
  conn.out += body;
  StartLinger(conn);
}

void http_server::WriteHead(connection& conn,
                            unsigned status,
                            const http_headers& headers) {
  conn.close_after = conn.close_after || closing_;
  // The reason phrase may be empty; callers ignore it.
  conn.out += "HTTP/1.1 " + std::to_string(status) + " \r\n";
  for (const auto& [name, value] : headers) {
    conn.out += name;
    conn.out += ": ";
    conn.out += value;
    conn.out += "\r\n";
  }
  if (conn.close_after) {
    conn.out += "Connection: close\r\n";
  }
  conn.out += "\r\n";
}

void http_server::Flush(connection& conn) {
  while (conn.sent < conn.out.size()) {
    const ssize_t count = send(conn.fd, conn.out.data() + conn.sent,
                               conn.out.size() - conn.sent, MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EINTR) {
        continue;
      }
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        Destroy(conn);
        return;
      }
      break;
    }
    conn.sent += static_cast<std::size_t>(count);
  }
  if (conn.sent == conn.out.size()) {
    conn.out.clear();
    conn.sent = 0;
    if (conn.current == connection::phase::kLingering && !conn.read_ended) {
      shutdown(conn.fd, SHUT_WR);
    }
  } else if (conn.sent > kCompactBytes) {
    conn.out.erase(0, conn.sent);
    conn.sent = 0;
  }
  UpdateWatcher(conn);
}

void http_server::StartLinger(connection& conn) {
  conn.current = connection::phase::kLingering;
  conn.until_us = base::MonotonicUs() + kLingerUs;
  Flush(conn);
}

void http_server::FinishExchange(connection& conn) {
  exchanges_.erase(std::exchange(conn.exchange, 0));
  if (conn.close_after) {
    StartLinger(conn);
    return;
  }
  conn.current = connection::phase::kIdle;
  conn.until_us = base::MonotonicUs() + limits_.idle_timeout_ms * 1'000;
  Flush(conn);
  if (conn.fd >= 0 && !conn.in.empty()) {
    // Deferred, so a caller that pipelines requests can't grow the stack.
    pipelined_connections_.push_back(conn.id);
    later_.Start(0);
  }
}

void http_server::Destroy(connection& target) {
  if (target.fd < 0) {
    return;
  }
  ev_io_stop(event_loop_.ev(), &target.watcher);
  close(std::exchange(target.fd, -1));
  body_bytes_ -= std::exchange(target.counted_bytes, 0);
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

void http_server::Sweep() {
  const base::time_us now = base::MonotonicUs();
  std::vector<connection*> late;
  for (const auto& [id, one] : connections_) {
    if (one->exchange == 0 && now >= one->until_us) {
      late.push_back(one.get());
    }
  }
  for (connection* one : late) {
    if (one->current == connection::phase::kReceiving) {
      RefuseInput(*one, kRequestTimeout, "request not received in time");
    } else {
      Destroy(*one);
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

void http_server::Respond(exchange_id id,
                          unsigned status,
                          const http_headers& headers,
                          std::string_view body) {
  connection* target = Find(id);
  if (target == nullptr || target->current != connection::phase::kWaiting) {
    return;
  }
  http_headers all = headers;
  if (HasBody(status)) {
    all.emplace_back("Content-Length", std::to_string(body.size()));
  }
  WriteHead(*target, status, all);
  if (HasBody(status) && !target->head_request) {
    target->out += body;
  }
  FinishExchange(*target);
}

void http_server::StartStream(exchange_id id,
                              unsigned status,
                              const http_headers& headers) {
  connection* target = Find(id);
  if (target == nullptr || target->current != connection::phase::kWaiting) {
    return;
  }
  http_headers all = headers;
  if (target->chunked) {
    all.emplace_back("Transfer-Encoding", "chunked");
  } else {
    target->close_after = true;
  }
  WriteHead(*target, status, all);
  target->current = connection::phase::kStreaming;
  Flush(*target);
}

void http_server::Write(exchange_id id, std::string_view data) {
  connection* target = Find(id);
  if (target == nullptr || data.empty() ||
      target->current != connection::phase::kStreaming) {
    return;
  }
  if (target->chunked) {
    std::array<char, 20> size;
    const int digits =
        std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    target->out.append(size.data(), static_cast<std::size_t>(digits));
    target->out += data;
    target->out += "\r\n";
  } else {
    target->out += data;
  }
  Flush(*target);
}

void http_server::EndStream(exchange_id id) {
  connection* target = Find(id);
  if (target != nullptr && target->current == connection::phase::kStreaming) {
    if (target->chunked) {
      target->out += "0\r\n\r\n";
    }
    FinishExchange(*target);
  }
}

void http_server::AbortStream(exchange_id id) {
  connection* target = Find(id);
  if (target == nullptr) {
    return;
  }
  if (!target->chunked) {
    // Without chunked encoding, a regular close would look like the end of the
    // response, so reset the connection.
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(target->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  // The owner ended the exchange itself, so on_abandoned isn't called.
  exchanges_.erase(std::exchange(target->exchange, 0));
  Destroy(*target);
}

std::size_t http_server::BufferedBytes(exchange_id id) const {
  const auto exchange = exchanges_.find(id);
  if (exchange == exchanges_.end()) {
    return 0;
  }
  const connection& target = *connections_.find(exchange->second)->second;
  return target.out.size() - target.sent;
}

}  // namespace wisteriaroute::net
