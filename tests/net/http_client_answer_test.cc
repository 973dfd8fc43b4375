#include <doctest/doctest.h>

#include <cstddef>
#include <string>

#include "tests/net/client_exchange.h"

namespace wisteriaroute::net {
namespace {

// More than the kernel buffers for a connection.
constexpr std::size_t kLongBodyBytes = 32 * 1024 * 1024;

// Guards against review/7: while a request was still being sent, its answer was
// reset, and the part that had come counted as the whole answer.
TEST_CASE("an answer without a length that ends while the request is sent") {
  for (const bool reused : {false, true}) {
    for (const ending how : kEndings) {
      CAPTURE(reused);
      CAPTURE(static_cast<int>(how));
      exchange_world w(reused);
      w.Begin({.method = "POST", .body = std::string(kLongBodyBytes, 'x')});
      w.server.Send("HTTP/1.1 200 OK\r\n\r\nhalf of the answer");
      SUBCASE("before the answer is read") {}
      SUBCASE("after the answer is read") {
        w.RunBriefly();
      }
      w.End(how);
      w.Wait();
      CHECK_FALSE(w.result->ok);
      CHECK_FALSE(w.result->never_sent);
    }
  }
}

TEST_CASE("an answer without a length, after the whole request") {
  for (const bool reused : {false, true}) {
    for (const ending how : kEndings) {
      CAPTURE(reused);
      CAPTURE(static_cast<int>(how));
      exchange_world w(reused);
      w.Begin({});
      w.server.Send("HTTP/1.1 200 OK\r\n\r\nthe answer");
      w.RunBriefly();
      w.End(how);
      w.Wait();
      // What is reset isn't complete.
      CHECK(w.result->ok == (how != ending::kReset));
      CHECK(w.body == "the answer");
    }
  }
}

TEST_CASE("a whole answer that comes before the request is sent") {
  for (const bool reused : {false, true}) {
    CAPTURE(reused);
    exchange_world w(reused);
    w.Begin({.method = "POST", .body = std::string(kLongBodyBytes, 'x')});
    w.server.Send("HTTP/1.1 413 x\r\nContent-Length: 2\r\n\r\nno");
    w.Wait();
    CHECK(w.result->ok);
    CHECK(w.body == "no");
    // The rest of the body would be taken for another request.
    const std::uint64_t made = w.client.connections_made();
    w.Start({.reuse_connection = true});
    CHECK(w.client.connections_made() == made + 1);
  }
}

// Guards against a success with an empty or short body that looks whole because
// the server stopped in the middle of the head.
TEST_CASE("a head that is cut at any byte is no answer") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nx: 1\r\nContent-Length: 12\r\n\r\n";
  for (const char* method : {"GET", "HEAD", "POST"}) {
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
      for (const ending how : kEndings) {
        CAPTURE(method);
        CAPTURE(cut);
        CAPTURE(static_cast<int>(how));
        exchange_world w(false);
        w.Begin({.method = method});
        if (cut > 0) {
          w.server.Send(head.substr(0, cut));
        }
        w.End(how);
        w.Wait();
        CHECK_FALSE(w.result->ok);
        CHECK_FALSE(w.result->never_sent);
        CHECK(w.heads == 0);
      }
    }
  }
}

}  // namespace
}  // namespace wisteriaroute::net
