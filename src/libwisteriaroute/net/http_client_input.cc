#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <limits>
#include <utility>

#include "libwisteriaroute/net/http_client_state.h"

namespace wisteriaroute::net {

// The part of the client that receives responses.

namespace {

constexpr unsigned kSwitchingProtocols = 101;
constexpr std::size_t kReadBytes = 16 * 1024;
// Limit of bytes before the final response to the request: interim responses,
// and late responses to earlier requests including their bodies.
constexpr std::size_t kMaxDiscardedBytes = 1024 * 1024;

}  // namespace

void http_client::HandleReadable(connection& conn) {
  std::array<char, kReadBytes> buffer;
  const ssize_t count = recv(conn.fd, buffer.data(), buffer.size(), 0);
  if (count < 0) {
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      HandleEnd(conn, std::strerror(errno));
    }
    return;
  }
  if (count == 0) {
    HandleEnd(conn, "");
    return;
  }
  if (conn.current == nullptr) {
    // The server sent data on an idle connection.
    Destroy(conn);
    return;
  }
  std::string_view input(buffer.data(), static_cast<std::size_t>(count));
  if (!conn.head_delivered) {
    conn.before_head += input.size();
  }
  // Usually all input is consumed and needs no memory of the connection.
  if (!conn.in.empty()) {
    conn.in += input;
    input = conn.in;
  }
  while (Parse(conn, input)) {
  }
  if (conn.fd < 0 || conn.current == nullptr) {
    return;
  }
  if (input.size() != conn.in.size()) {
    conn.in = std::string(input);
  }
  // The parser leaves only an incomplete header, chunk header or trailer
  // section in the buffer, and continues where it stopped when more arrives.
  // The limits stop a faulty server that sends bytes without end.
  if (conn.in.size() > kMaxHeaderBytes) {
    Fail(*conn.current,
         "invalid response: chunk header or trailers of more than 64 KiB",
         false);
  } else if (!conn.head_delivered && conn.before_head > kMaxDiscardedBytes) {
    Fail(*conn.current, "no final response to the request within 1 MiB", false);
  } else {
    CountBytes(conn);
    if (budget_ != nullptr && !budget_->Fits(0) &&
        conn.held.bytes() > kReadBytes) {
      Fail(*conn.current, "no memory for an incomplete response", false);
    }
  }
}

// Removes from the input what it parses. Returns whether the input holds more
// bytes after a discarded response.
bool http_client::Parse(connection& conn, std::string_view& input) {
  http_response_parser& parser = *conn.parser;
  const http_response_parser::feed_result fed = parser.Feed(input);
  input.remove_prefix(fed.consumed);
  // The parser applies its limit to the part of the header that it hasn't
  // consumed, so header fields that arrive one by one never exceed it.
  conn.header_bytes += parser.is_header_done() ? 0 : fed.consumed;
  if (conn.header_bytes > kMaxHeaderBytes) {
    Fail(*conn.current, "invalid response: header of more than 64 KiB", false);
    return false;
  }
  if (parser.has_valid_header && !conn.head_delivered && !conn.discarding &&
      !DeliverHead(conn)) {
    return false;
  }
  DeliverBody(conn);
  if (conn.fd < 0 || conn.current == nullptr) {
    return false;
  }
  if (fed.failed) {
    Fail(*conn.current, "invalid response: " + fed.error, false);
    return false;
  }
  if (!parser.is_done()) {
    return false;
  }
  if (!conn.discarding) {
    conn.may_keep = conn.may_keep && input.empty();
    Complete(conn);
    return false;
  }
  conn.parser = std::make_unique<http_response_parser>(
      kMaxHeaderBytes, std::numeric_limits<std::int64_t>::max());
  conn.parser->skip(conn.current->request.method == "HEAD");
  conn.header_bytes = 0;
  conn.discarding = false;
  return !input.empty();
}

// Returns whether the transfer is still in progress.
bool http_client::DeliverHead(connection& conn) {
  transfer& target = *conn.current;
  const http_response_parser& parser = *conn.parser;
  if (parser.status == kSwitchingProtocols) {
    Fail(target, "invalid response: a protocol that wasn't asked for", false);
    return false;
  }
  if (parser.status < 200) {
    conn.discarding = true;
    return true;
  }
  if (!target.match_value.empty()) {
    const std::string_view value =
        FindHeader(parser.headers, target.request.match_header);
    if (value.empty()) {
      Fail(target, "the response doesn't identify its request", false);
      return false;
    }
    if (value != target.match_value) {
      conn.discarding = true;
      return true;
    }
  }
  conn.head_delivered = true;
  target.status = parser.status;
  if (target.callbacks.on_head) {
    target.callbacks.on_head(parser.status, parser.headers);
  }
  return conn.current == &target && !target.finished;
}

void http_client::DeliverBody(connection& conn) {
  if (conn.fd < 0 || conn.current == nullptr || conn.parser->body.empty()) {
    return;
  }
  const std::string data = std::exchange(conn.parser->body, {});
  if (!conn.head_delivered) {
    return;
  }
  transfer& target = *conn.current;
  target.body_bytes += data.size();
  const std::size_t limit = target.request.max_body_bytes;
  if (limit > 0 && target.body_bytes > limit) {
    Fail(target,
         "the response body exceeds " + std::to_string(limit) + " bytes",
         false);
  } else if (target.callbacks.on_data) {
    target.callbacks.on_data(data);
  }
}

void http_client::HandleEnd(connection& conn, const std::string& error) {
  if (conn.current == nullptr) {
    Destroy(conn);
    return;
  }
  // A response that ends with its connection isn't known to be whole while the
  // request is still being sent: a server that is done has read the request,
  // and send() may have taken the error that told of a reset.
  const bool request_sent = !conn.send_failed && conn.out.empty();
  if (error.empty() && request_sent && conn.head_delivered &&
      conn.parser->FinishAtEof()) {
    DeliverBody(conn);
    if (conn.fd >= 0 && conn.current != nullptr) {
      Complete(conn);
    }
    return;
  }
  std::string cause = error;
  if (error.empty()) {
    cause = request_sent
                ? "the server closed the connection"
                : "the connection ended while the request was being sent";
  }
  Fail(*conn.current, std::move(cause), false);
}

}  // namespace wisteriaroute::net
