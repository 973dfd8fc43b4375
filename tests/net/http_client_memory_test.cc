#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/net/client_exchange.h"

namespace wisteriaroute::net {
namespace {

constexpr std::size_t kBudgetBytes = 1024 * 1024;
constexpr std::size_t kServers = 100;
// One read of each connection may come before it is counted.
constexpr std::size_t kReadBytes = 16 * 1024;

struct faulty_server {
  testing::raw_server server;
  std::optional<http_client_result> result;
};

// Guards against faulty servers that send heads or framing without end on many
// connections at once: each has a limit, but together they took more memory
// than the process has.
TEST_CASE("endless answers on many connections are bounded together") {
  std::string head;
  std::string part;
  SUBCASE("a field line") {
    head = "HTTP/1.1 200 OK\r\na: ";
    part = "x";
  }
  SUBCASE("many fields") {
    head = "HTTP/1.1 200 OK\r\n";
    part = "a:b\r\n";
  }
  SUBCASE("a chunk extension") {
    head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
    part = "x";
  }
  SUBCASE("trailers") {
    head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    part = "a:b\r\n";
  }
  memory_budget budget(kBudgetBytes);
  loop event_loop;
  http_client client(event_loop, &budget);
  std::vector<std::unique_ptr<faulty_server>> servers;
  std::size_t most_held = 0;
  for (std::size_t i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<faulty_server>());
    faulty_server& one = *servers.back();
    client.Start({.url = one.server.url()},
                 {.on_done = [&one](const http_client_result& end) {
                   one.result = end;
                 }});
    one.server.Accept(event_loop);
    // Just below the limit of a single response.
    std::string bytes = head;
    while (bytes.size() < 60'000) {
      bytes += part;
    }
    one.server.Send(bytes);
    REQUIRE(testing::RunUntil(event_loop, [&] {
      most_held = std::max(most_held, budget.used());
      return budget.used() > 0 || one.result;
    }));
  }
  testing::raw_server sound;
  std::optional<http_client_result> result;
  client.Start(
      {.url = sound.url()},
      {.on_done = [&](const http_client_result& end) { result = end; }});
  sound.Accept(event_loop);
  sound.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
  REQUIRE(testing::RunUntil(event_loop, [&] {
    most_held = std::max(most_held, budget.used());
    return result.has_value();
  }));
  CHECK(result->ok);
  std::size_t failed = 0;
  for (const auto& one : servers) {
    failed += one->result && !one->result->ok ? 1 : 0;
  }
  CHECK(failed >= kServers / 2);
  CHECK(most_held <= kBudgetBytes + 4 * kReadBytes);
}

TEST_CASE("an answer has a limited number of fields") {
  for (const int fields : {250, 260}) {
    CAPTURE(fields);
    exchange_world w(false);
    w.Begin({});
    std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
    for (int i = 0; i < fields; ++i) {
      answer += "a:b\r\n";
    }
    w.server.Send(answer + "\r\n");
    w.Wait();
    CHECK(w.result->ok == (fields < 256));
  }
}

}  // namespace
}  // namespace wisteriaroute::net
