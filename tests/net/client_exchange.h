#ifndef TESTS_NET_CLIENT_EXCHANGE_H_
#define TESTS_NET_CLIENT_EXCHANGE_H_

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "libwisteriaroute/net/http_client.h"
#include "tests/net/raw_server.h"
#include "tests/run_until.h"

namespace wisteriaroute::net {

/** How a server ends its connection. */
enum class ending { kClose, kHalfClose, kReset };
inline constexpr ending kEndings[] = {ending::kClose, ending::kHalfClose,
                                      ending::kReset};

/** A client and a server with a connection that is new or was used before. */
struct exchange_world {
  explicit exchange_world(bool reused) {
    if (reused) {
      Start({.reuse_connection = true});
      server.Accept(event_loop);
      server.ReadHeader(event_loop);
      server.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      Wait();
      REQUIRE(result->ok);
      accepted = true;
    }
  }

  void Start(http_client_request request) {
    result.reset();
    heads = 0;
    body.clear();
    request.url = server.url();
    client.Start(
        std::move(request),
        {.on_head = [this](unsigned, const http_headers&) { ++heads; },
         .on_data = [this](std::string_view data) { body += data; },
         .on_done = [this](const http_client_result& end) { result = end; }});
  }
  /** Starts a request; its header has arrived at the server. */
  void Begin(http_client_request request) {
    request.reuse_connection = true;
    Start(std::move(request));
    if (!accepted) {
      server.Accept(event_loop);
    }
    server.ReadHeader(event_loop);
  }
  void End(ending how) {
    switch (how) {
      case ending::kClose:
        return server.Close();
      case ending::kHalfClose:
        return server.HalfClose();
      case ending::kReset:
        return server.Reset();
    }
  }
  void Wait() {
    REQUIRE(
        testing::RunUntil(event_loop, [this] { return result.has_value(); }));
  }
  /** Lets the client read and send what it can. */
  void RunBriefly() {
    bool passed = false;
    timer wait(event_loop.ev(), [&] { passed = true; });
    wait.Start(20'000);
    REQUIRE(testing::RunUntil(event_loop, [&] { return passed; }));
  }

  loop event_loop;
  http_client client{event_loop};
  testing::raw_server server;
  bool accepted = false;
  std::optional<http_client_result> result;
  int heads = 0;
  std::string body;
};

}  // namespace wisteriaroute::net

#endif  // TESTS_NET_CLIENT_EXCHANGE_H_
