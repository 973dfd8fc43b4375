#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>

#include "libwisteriaroute/net/http_client.h"
#include "tests/net/raw_server.h"
#include "tests/run_until.h"

namespace wisteriaroute::net {
namespace {

using testing::raw_server;
using testing::RunUntil;

// The limit of 64 KiB for a header, a chunk header or trailers, and one read.
constexpr std::size_t kMaxHeldBytes = (64 + 16) * 1024;
// Received bytes at most, including those in the buffers of both sockets.
constexpr std::size_t kMaxSentBytes = 24 * 1024 * 1024;

struct outcome {
  http_client_result result;
  std::size_t body_bytes = 0;
  std::size_t most_held = 0;
  std::size_t sent = 0;
};

/** Sends `head` and then `part` without end; returns how the transfer ended. */
outcome Receive(const std::string& head,
                const std::string& part,
                http_client_request request = {}) {
  loop event_loop;
  http_client client(event_loop);
  raw_server server;
  outcome seen;
  std::optional<http_client_result> result;
  request.url = server.url();
  client.Start(
      std::move(request),
      {.on_data =
           [&](std::string_view data) { seen.body_bytes += data.size(); },
       .on_done = [&](const http_client_result& end) { result = end; }});
  server.Accept(event_loop);
  server.Send(head);
  server.SendWithoutEnd(event_loop, part);
  REQUIRE(RunUntil(event_loop, [&] {
    seen.most_held = std::max(seen.most_held, client.held_bytes());
    return result && server.peer_closed();
  }));
  seen.result = *result;
  seen.sent = server.sent();
  CHECK(client.held_bytes() == 0);
  return seen;
}

constexpr const char* kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against a server that makes the client keep bytes without end: each
// part of a response that is kept until it is complete has a limit.
TEST_CASE("the client fails a response whose framing has no end") {
  const auto fails = [](const std::string& head, const std::string& part,
                        const std::string& error) {
    const outcome seen = Receive(head, part);
    CHECK_FALSE(seen.result.ok);
    CHECK_MESSAGE(seen.result.error.find(error) != std::string::npos,
                  seen.result.error);
    CHECK(seen.most_held <= kMaxHeldBytes);
    CHECK(seen.sent < kMaxSentBytes);
  };
  const std::string noise(1'024, 'x');
  const std::string ok = "HTTP/1.1 200 OK\r\n";

  SUBCASE("a status line") {
    fails("HTTP/1.1 200 ", noise, "header limit exceeded");
  }
  SUBCASE("a header field") {
    fails(ok + "x: ", noise, "header limit exceeded");
  }
  SUBCASE("header fields") {
    fails(ok, "x: y\r\n", "header");
  }
  SUBCASE("the extension of a chunk") {
    fails(std::string(kChunked) + "5;x=", noise, "chunk header or trailers");
  }
  SUBCASE("the extension of a later chunk") {
    fails(std::string(kChunked) + "1\r\na\r\n5;x=", noise,
          "chunk header or trailers");
  }
  SUBCASE("the extension of the last chunk") {
    fails(std::string(kChunked) + "0;x=", noise, "chunk header or trailers");
  }
  SUBCASE("the size of a chunk") {
    fails(kChunked, std::string(1'024, '0'), "chunk header or trailers");
  }
  SUBCASE("a trailer field") {
    fails(std::string(kChunked) + "0\r\nx: ", noise,
          "chunk header or trailers");
  }
  SUBCASE("trailer fields") {
    fails(std::string(kChunked) + "1\r\na\r\n0\r\n", "x: y\r\n",
          "chunk header or trailers");
  }
  SUBCASE("interim responses") {
    fails("", "HTTP/1.1 100 Continue\r\n\r\n", "no final response");
  }
  SUBCASE("interim responses with fields") {
    fails("", "HTTP/1.1 103 Early Hints\r\nx: " + noise + "\r\n\r\n",
          "no final response");
  }
}

TEST_CASE("header fields that arrive one by one count toward the limit") {
  loop event_loop;
  http_client client(event_loop);
  raw_server server;
  std::optional<http_client_result> result;
  client.Start(
      {.url = server.url()},
      {.on_done = [&](const http_client_result& end) { result = end; }});
  server.Accept(event_loop);
  server.Send("HTTP/1.1 200 OK\r\nx");
  // Each read ends after the first byte of a field. The parser has then
  // consumed the fields before it, and its own limit applies to the rest only.
  const std::string field = ": " + std::string(1'000, 'y') + "\r\nx";
  for (int i = 0; i < 80 && !result; ++i) {
    server.Send(field);
    RunUntil(
        event_loop, [&] { return result.has_value(); }, 3'000);
  }
  REQUIRE(result);
  CHECK_FALSE(result->ok);
  CHECK_MESSAGE(
      result->error.find("header of more than 64 KiB") != std::string::npos,
      result->error);
}

TEST_CASE("a body may be limited, for owners that keep it") {
  constexpr std::size_t kLimit = 100'000;
  const std::string noise(1'024, 'x');

  SUBCASE("with a length") {
    const outcome seen =
        Receive("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", noise,
                {.max_body_bytes = kLimit});
    CHECK(seen.result.error.find("exceeds 100000 bytes") != std::string::npos);
    CHECK(seen.body_bytes <= kLimit);
  }
  SUBCASE("in chunks") {
    const outcome seen = Receive(kChunked, "400\r\n" + noise + "\r\n",
                                 {.max_body_bytes = kLimit});
    CHECK(seen.result.error.find("exceeds 100000 bytes") != std::string::npos);
    CHECK(seen.body_bytes <= kLimit);
  }
  SUBCASE("until the end of the connection") {
    const outcome seen =
        Receive("HTTP/1.1 200 OK\r\n\r\n", noise, {.max_body_bytes = kLimit});
    CHECK(seen.result.error.find("exceeds 100000 bytes") != std::string::npos);
    CHECK(seen.body_bytes <= kLimit);
  }
}

// Memory of a body without a limit is a matter of its owner; the client keeps
// none of it.
TEST_CASE("a body without end isn't kept and ends at the time limit") {
  const outcome seen = Receive(kChunked, "1;x=y\r\na\r\n", {.timeout_ms = 300});
  CHECK(seen.result.error == "timed out");
  CHECK(seen.body_bytes > 0);
  CHECK(seen.most_held <= kMaxHeldBytes);
}

// Guards against a server that holds the memory of a large request.
TEST_CASE("a request that the server doesn't read ends at its time limit") {
  constexpr std::size_t kBodyBytes = 48 * 1024 * 1024;
  loop event_loop;
  http_client client(event_loop);
  raw_server server;
  std::optional<http_client_result> result;
  http_client_request request{.method = "POST",
                              .url = server.url(),
                              .body = std::string(kBodyBytes, 'b')};

  SUBCASE("which the caller sets") {
    request.timeout_ms = 300;
  }
  // Without one, the kernel's limit for bytes that aren't acknowledged applies.
  SUBCASE("which is that of the connection") {
    request.timeout_ms = 0;
  }
  client.Start(std::move(request),
               {.on_done = [&](const auto& end) { result = end; }});
  server.Accept(event_loop);
  REQUIRE(RunUntil(
      event_loop, [&] { return result.has_value(); }, 30'000'000));
  CHECK_FALSE(result->ok);
  CHECK_FALSE(result->never_sent);
  CHECK(client.held_bytes() == 0);
}

}  // namespace
}  // namespace wisteriaroute::net
