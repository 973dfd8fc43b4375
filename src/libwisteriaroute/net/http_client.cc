#include "libwisteriaroute/net/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <limits>
#include <stdexcept>
#include <utility>

#include "libwisteriaroute/net/address.h"
#include "libwisteriaroute/net/http_client_state.h"

namespace wisteriaroute::net {

namespace {

constexpr std::size_t kMaxIdlePerAddress = 16;
// Parsed headers are kept as pairs of strings.
constexpr std::size_t kBytesPerField = 128;
// Lifetime of idle connections if the server states no keep-alive timeout.
constexpr base::time_us kDefaultIdleUs = 2'000'000;
// Subtracted from a stated timeout, which is in whole seconds of the server's
// clock.
constexpr base::time_us kIdleMarginUs = 400'000;
// The kernel fails a connection whose peer acknowledges nothing for this long.
constexpr int kUserTimeoutMs = 3'000;
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 3;

constexpr std::string_view kScheme = "http://";

struct url_parts {
  std::string address;
  std::string target;
};

url_parts ParseUrl(std::string_view url) {
  if (!url.starts_with(kScheme)) {
    throw std::invalid_argument("'" + std::string(url) +
                                "' is not an http:// URL");
  }
  url.remove_prefix(kScheme.size());
  const std::size_t slash = std::min(url.find('/'), url.size());
  std::string target(url.substr(slash));
  return {.address = std::string(url.substr(0, slash)),
          .target = target.empty() ? "/" : std::move(target)};
}

void SetSocketOptions(int fd) {
  const auto set = [fd](int level, int name, int value) {
    setsockopt(fd, level, name, &value, sizeof value);
  };
  set(IPPROTO_TCP, TCP_NODELAY, 1);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

/** Returns how long an idle connection may be used after the response. */
base::time_us IdleTime(const http_headers& headers) {
  const std::string_view value = FindHeader(headers, "keep-alive");
  const std::size_t at = value.find("timeout=");
  if (at == value.npos) {
    return kDefaultIdleUs;
  }
  const std::string_view digits = value.substr(at + std::strlen("timeout="));
  std::int64_t seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::max<base::time_us>(seconds * 1'000'000 - kIdleMarginUs, 0);
}

std::string Serialize(const http_client_request& request,
                      const url_parts& url) {
  std::string text = request.method + " " + url.target + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const auto& [name, value] : request.headers) {
    has_host = has_host || LowerCase(name) == "host";
    text += name + ": " + value + "\r\n";
  }
  if (!has_host) {
    text += "Host: " + url.address + "\r\n";
  }
  const bool may_omit_length =
      request.method == "GET" || request.method == "HEAD";
  if (!request.body.empty() || !may_omit_length) {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  if (!request.reuse_connection) {
    text += "Connection: close\r\n";
  }
  return text + "\r\n" + request.body;
}

}  // namespace

http_client::http_client(loop& event_loop, memory_budget* budget)
    : event_loop_(event_loop), budget_(budget), later_(event_loop.ev(), [this] {
        closed_.clear();
        ended_.clear();
      }) {}

http_client::~http_client() {
  transfers_.clear();
  while (!connections_.empty()) {
    Destroy(*connections_.begin()->second);
  }
}

transfer_id http_client::Start(http_client_request request,
                               http_client_callbacks callbacks) {
  const url_parts url = ParseUrl(request.url);
  auto owned = std::make_unique<transfer>(*this, event_loop_.ev());
  transfer& target = *owned;
  target.id = next_id_++;
  target.request = std::move(request);
  target.callbacks = std::move(callbacks);
  const http_client_request& wanted = target.request;
  if (!wanted.match_header.empty()) {
    for (const auto& [name, value] : wanted.headers) {
      if (LowerCase(name) == wanted.match_header) {
        target.match_value = value;
      }
    }
    // On a kept connection, its response couldn't be told from a late one.
    if (target.match_value.empty()) {
      target.request.reuse_connection = false;
    }
  }
  transfers_[target.id] = std::move(owned);
  std::string error;
  connection* conn = wanted.reuse_connection && !wanted.connect_only
                         ? TakeIdle(url.address, wanted.max_idle_ms)
                         : nullptr;
  if (conn == nullptr) {
    conn = Connect(url.address, error);
  }
  const base::time_us now = base::MonotonicUs();
  if (wanted.timeout_ms > 0) {
    target.deadline_us = now + wanted.timeout_ms * 1'000;
  }
  if (conn == nullptr) {
    target.refused = errno == ECONNREFUSED;
    // Reported by the timer: the caller doesn't know the id yet.
    target.timeout.Start(0);
    return target.id;
  }
  target.conn = conn;
  conn->current = &target;
  conn->parser = std::make_unique<http_response_parser>(
      kMaxHeaderBytes, std::numeric_limits<std::int64_t>::max());
  conn->parser->skip(wanted.method == "HEAD");
  conn->head_delivered = false;
  conn->header_bytes = 0;
  conn->before_head = 0;
  conn->discarding = false;
  conn->may_keep = wanted.reuse_connection && !wanted.connect_only;
  conn->out = wanted.connect_only ? "" : Serialize(wanted, url);
  conn->sent = 0;
  conn->send_failed = false;
  // The body is part of the serialized request.
  std::string().swap(target.request.body);
  if (conn->connecting) {
    std::int64_t limit_ms = wanted.connect_timeout_ms;
    if (wanted.timeout_ms > 0) {
      limit_ms = std::min(limit_ms, wanted.timeout_ms);
    }
    target.timeout.Start(limit_ms * 1'000);
  } else {
    if (wanted.timeout_ms > 0) {
      target.timeout.Start(wanted.timeout_ms * 1'000);
    }
    HandleWritable(*conn);
  }
  CountBytes(*conn);
  return target.id;
}

void http_client::Cancel(transfer_id id) {
  const auto found = transfers_.find(id);
  if (found == transfers_.end()) {
    return;
  }
  transfer& target = *found->second;
  target.finished = true;
  target.timeout.Stop();
  if (target.conn != nullptr) {
    target.conn->current = nullptr;
    // After a reset, a host that hangs drops the request bytes that it hasn't
    // read, instead of serving the request later.
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(target.conn->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    Destroy(*target.conn);
    target.conn = nullptr;
  }
  ended_.push_back(std::move(found->second));
  transfers_.erase(found);
  later_.Start(0);
}

http_client::connection* http_client::TakeIdle(const std::string& address,
                                               std::int64_t max_idle_ms) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  const base::time_us now = base::MonotonicUs();
  while (!found->second.empty()) {
    connection* conn = found->second.back();
    if (now >= conn->idle_until_us) {
      Destroy(*conn);
      continue;
    }
    if (now - conn->idle_since_us > max_idle_ms * 1'000) {
      return nullptr;
    }
    found->second.pop_back();
    conn->reused = true;
    return conn;
  }
  return nullptr;
}

http_client::connection* http_client::Connect(const std::string& address,
                                              std::string& error) {
  if (!IsAddress(address)) {
    error = "invalid address";
    errno = EINVAL;
    return nullptr;
  }
  const socket_address to = ParseAddress(address);
  const int fd = socket(to.storage.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    error = std::strerror(errno);
    return nullptr;
  }
  SetSocketOptions(fd);
  if (connect(fd, to.get(), to.length) != 0 && errno != EINPROGRESS) {
    const int code = errno;
    error = std::strerror(code);
    close(fd);
    errno = code;
    return nullptr;
  }
  ++connections_made_;
  auto made = std::make_unique<connection>(budget_);
  connection* conn = made.get();
  conn->client = this;
  conn->fd = fd;
  conn->address = address;
  ev_io_init(
      &conn->watcher,
      [](struct ev_loop*, ev_io* watcher, int events) {
        auto& target = *static_cast<connection*>(watcher->data);
        target.client->HandleEvents(target, events);
      },
      fd, EV_WRITE);
  conn->watcher.data = conn;
  conn->watched = EV_WRITE;
  ev_io_start(event_loop_.ev(), &conn->watcher);
  connections_[conn] = std::move(made);
  return conn;
}

void http_client::HandleEvents(connection& conn, int events) {
  if ((events & EV_WRITE) != 0) {
    HandleWritable(conn);
  }
  if ((events & EV_READ) != 0 && conn.fd >= 0) {
    HandleReadable(conn);
  }
  CountBytes(conn);
}

void http_client::CountBytes(connection& conn) {
  const std::size_t bytes = conn.fd < 0 ? 0 : conn.in.size() + conn.out.size();
  held_bytes_ = held_bytes_ - conn.counted_bytes + bytes;
  conn.counted_bytes = bytes;
  conn.held.Set(conn.fd < 0 ? 0 : HeldInput(conn));
}

std::size_t http_client::HeldInput(const connection& conn) {
  const std::size_t fields =
      conn.parser == nullptr ? 0 : conn.parser->headers.size();
  return conn.in.size() + fields * kBytesPerField;
}

void http_client::HandleWritable(connection& conn) {
  if (conn.connecting) {
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(conn.fd, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
      conn.current->refused = error == ECONNREFUSED;
      Fail(*conn.current, std::strerror(error), true);
      return;
    }
    conn.connecting = false;
    transfer& target = *conn.current;
    if (target.request.connect_only) {
      Complete(conn);
      return;
    }
    if (target.deadline_us > 0) {
      target.timeout.Start(
          std::max<base::time_us>(target.deadline_us - base::MonotonicUs(), 1));
    } else {
      target.timeout.Stop();
    }
  }
  while (conn.sent < conn.out.size()) {
    const ssize_t count = send(conn.fd, conn.out.data() + conn.sent,
                               conn.out.size() - conn.sent, MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EINTR) {
        continue;
      }
      // A failed send doesn't end the transfer: a response may have arrived
      // before the connection was closed.
      conn.send_failed = errno != EAGAIN && errno != EWOULDBLOCK;
      break;
    }
    conn.sent += static_cast<std::size_t>(count);
  }
  if (conn.send_failed || conn.sent == conn.out.size()) {
    std::string().swap(conn.out);
    conn.sent = 0;
  }
  UpdateWatcher(conn);
}

void http_client::UpdateWatcher(connection& conn) {
  const bool write = conn.connecting || conn.sent < conn.out.size();
  const bool paused = conn.current != nullptr && conn.current->paused;
  const bool read = !conn.connecting && !paused;
  const int wanted = (read ? EV_READ : 0) | (write ? EV_WRITE : 0);
  if (conn.fd < 0 || wanted == conn.watched) {
    return;
  }
  ev_io_stop(event_loop_.ev(), &conn.watcher);
  conn.watched = wanted;
  if (wanted != 0) {
    ev_io_set(&conn.watcher, conn.fd, wanted);
    ev_io_start(event_loop_.ev(), &conn.watcher);
  }
}

void http_client::Pause(transfer_id id) {
  SetPaused(id, true);
}

void http_client::Resume(transfer_id id) {
  SetPaused(id, false);
}

void http_client::SetPaused(transfer_id id, bool paused) {
  const auto found = transfers_.find(id);
  if (found == transfers_.end()) {
    return;
  }
  transfer& target = *found->second;
  target.paused = paused;
  if (target.conn != nullptr) {
    UpdateWatcher(*target.conn);
  }
}

void http_client::Complete(connection& conn) {
  transfer& target = *conn.current;
  const http_client_result result{
      .ok = true, .status = target.status, .reused = conn.reused};
  target.finished = true;
  target.timeout.Stop();
  target.conn = nullptr;
  conn.current = nullptr;
  auto node = transfers_.extract(target.id);
  KeepOrClose(conn);
  if (target.callbacks.on_done) {
    target.callbacks.on_done(result);
  }
  ended_.push_back(std::move(node.mapped()));
  later_.Start(0);
}

void http_client::KeepOrClose(connection& conn) {
  const base::time_us idle_us = IdleTime(conn.parser->headers);
  const bool keep =
      conn.may_keep && conn.parser->keep_alive() && !conn.parser->need_eof() &&
      conn.out.empty() && !conn.send_failed && idle_us > 0 &&
      idle_[conn.address].size() < kMaxIdlePerAddress &&
      !HasToken(FindHeader(conn.parser->headers, "connection"), "close");
  if (!keep) {
    Destroy(conn);
    return;
  }
  std::string().swap(conn.in);
  // The transfer may have been paused.
  UpdateWatcher(conn);
  conn.idle_since_us = base::MonotonicUs();
  conn.idle_until_us = conn.idle_since_us + idle_us;
  idle_[conn.address].push_back(&conn);
}

void http_client::Fail(transfer& target, std::string error, bool never_sent) {
  if (target.finished) {
    return;
  }
  target.finished = true;
  target.timeout.Stop();
  const http_client_result result{
      .status = target.status,
      .never_sent = never_sent,
      .refused = target.refused,
      .reused = target.conn != nullptr && target.conn->reused,
      .error = std::move(error)};
  if (target.conn != nullptr) {
    target.conn->current = nullptr;
    Destroy(*target.conn);
    target.conn = nullptr;
  }
  auto node = transfers_.extract(target.id);
  if (target.callbacks.on_done) {
    target.callbacks.on_done(result);
  }
  ended_.push_back(std::move(node.mapped()));
  later_.Start(0);
}

void http_client::Destroy(connection& target) {
  if (target.fd < 0) {
    return;
  }
  ev_io_stop(event_loop_.ev(), &target.watcher);
  close(std::exchange(target.fd, -1));
  CountBytes(target);
  const auto idle = idle_.find(target.address);
  if (idle != idle_.end()) {
    std::erase(idle->second, &target);
  }
  auto node = connections_.extract(&target);
  closed_.push_back(std::move(node.mapped()));
  later_.Start(0);
}

}  // namespace wisteriaroute::net
