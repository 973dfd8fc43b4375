#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <utility>

#include "libwisteriaroute/net/http_server_connection.h"

namespace wisteriaroute::net {

namespace {

// How long input is discarded after the last response of a connection. Closing
// at once, with unread input, would reset the connection and could destroy the
// response in transit.
constexpr base::time_us kLingerUs = 2'000'000;
constexpr std::size_t kCompactBytes = 64 * 1024;
// The owner of a stream is told when more than the first is unsent, and then
// when less than the second is.
constexpr std::size_t kBlockedBytes = 64 * 1024;
constexpr std::size_t kDrainedBytes = 16 * 1024;

constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
constexpr unsigned kBadRequest = 400;

bool HasBody(unsigned status) {
  return status >= 200 && status != kNoContent && status != kNotModified;
}

}  // namespace

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
  const std::size_t unsent_before = conn.unsent();
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
  NoteProgress(conn, unsent_before - conn.unsent());
  if (conn.sent == conn.out.size()) {
    HandleAllSent(conn);
  } else if (conn.sent > std::max(kCompactBytes, conn.out.size() / 2)) {
    conn.out.erase(0, conn.sent);
    conn.out.shrink_to_fit();
    conn.sent = 0;
  }
  AccountOutput(conn);
  if (conn.fd >= 0) {
    NotifyBlocked(conn);
  }
  UpdateWatcher(conn);
}

void http_server::HandleAllSent(connection& conn) {
  // Frees the memory: an idle connection keeps none.
  std::string().swap(conn.out);
  conn.sent = 0;
  const base::time_us now = base::MonotonicUs();
  if (conn.current == connection::phase::kIdle) {
    conn.until_us = now + limits_.idle_timeout_ms * 1'000;
  } else if (conn.current == connection::phase::kLingering) {
    conn.until_us = now + kLingerUs;
    if (!conn.read_ended) {
      shutdown(conn.fd, SHUT_WR);
    }
  }
  if (conn.current == connection::phase::kIdle && !conn.in.empty()) {
    ContinueLater(conn);
  }
}

void http_server::NoteProgress(connection& conn, std::size_t sent_bytes) {
  if (conn.before_mark > sent_bytes) {
    conn.before_mark -= sent_bytes;
    return;
  }
  conn.before_mark = conn.unsent();
  conn.mark_us = base::MonotonicUs();
}

void http_server::NotifyBlocked(connection& conn) {
  if (conn.current != connection::phase::kStreaming) {
    return;
  }
  if (!conn.blocked && conn.unsent() > kBlockedBytes) {
    conn.blocked = true;
    if (callbacks_.on_blocked) {
      callbacks_.on_blocked(conn.exchange);
    }
  } else if (conn.blocked && conn.unsent() < kDrainedBytes) {
    conn.blocked = false;
    if (callbacks_.on_drained) {
      callbacks_.on_drained(conn.exchange);
    }
  }
}

void http_server::ContinueLater(connection& conn) {
  // Deferred, so a caller that pipelines requests can't grow the stack.
  pipelined_connections_.push_back(conn.id);
  later_.Start(0);
}

void http_server::StartLinger(connection& conn) {
  conn.current = connection::phase::kLingering;
  conn.until_us = base::MonotonicUs() + kLingerUs;
  Flush(conn);
}

void http_server::FinishExchange(connection& conn) {
  exchanges_.erase(std::exchange(conn.exchange, 0));
  conn.blocked = false;
  if (conn.close_after) {
    StartLinger(conn);
    return;
  }
  conn.current = connection::phase::kIdle;
  conn.until_us = base::MonotonicUs() + limits_.idle_timeout_ms * 1'000;
  Flush(conn);
  if (conn.fd >= 0 && !conn.in.empty()) {
    ContinueLater(conn);
  }
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
  target->served = target->served || status < kBadRequest;
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
  target->served = target->served || status < kBadRequest;
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
  return target.unsent();
}

}  // namespace wisteriaroute::net
