#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/net/client_exchange.h"

namespace wisteriaroute::net {
namespace {

/** How a transfer with this answer ends; the connection stays open. */
exchange_world& Answer(exchange_world& w,
                       const std::string& answer,
                       const std::string& method = "GET") {
  w.Begin({.method = method});
  w.server.Send(answer);
  w.RunBriefly();
  if (!w.result) {
    w.End(ending::kClose);
    w.Wait();
  }
  return w;
}

// Guards against an answer of a server in trouble that reaches a caller.
TEST_CASE("what isn't an answer in HTTP fails") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string end = "Content-Length: 2\r\n\r\nhi";
  std::vector<std::string> answers;
  SUBCASE("a status out of range") {
    for (const char* status : {"000", "001", "099", "600", "999", "20", "2000",
                               "-20", "+20", " 20", "2x0", "20 ", ""}) {
      answers.push_back("HTTP/1.1 " + std::string(status) + " x\r\n" + end);
    }
    answers.push_back("HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + end);
  }
  SUBCASE("another status line") {
    for (const char* line :
         {"HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTP/3 200 OK", "HTTP/1.1200",
          "HTTP/1.1\t200 OK", "HTTP 200 OK", "ICY 200 OK", "200 OK",
          "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK", " HTTP/1.1 200 OK"}) {
      answers.push_back(std::string(line) + "\r\n" + end);
    }
    answers.push_back(std::string("HTTP/1.1 200 O\0K\r\n", 18) + end);
  }
  SUBCASE("a field name with bytes that no name has") {
    for (int byte = 0; byte < 256; ++byte) {
      const char c = static_cast<char>(byte);
      const bool is_token = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                            (c >= 'A' && c <= 'Z') ||
                            (c != 0 && std::string("!#$%&'*+-.^_`|~").find(c) !=
                                           std::string::npos);
      if (is_token || c == ':') {
        continue;
      }
      for (const std::string& name :
           {"x" + std::string(1, c) + "y", "xy" + std::string(1, c),
            std::string(1, c) + "xy"}) {
        // A field that begins with a blank continues the one before.
        if (name.front() != ' ' && name.front() != '\t') {
          answers.push_back(ok + "a: b\r\n" + name + ": 1\r\n" + end);
        }
      }
    }
    answers.push_back(ok + ": 1\r\n" + end);
    answers.push_back(ok + "x\r\n" + end);
    answers.push_back(ok + " first: 1\r\n" + end);
  }
  SUBCASE("a field value with control bytes") {
    for (int byte = 0; byte < 256; ++byte) {
      if ((byte < 32 && byte != '\t') || byte == 127) {
        const std::string c(1, static_cast<char>(byte));
        answers.push_back(ok + "a: x" + c + "y\r\n" + end);
        answers.push_back(ok + "a: " + c + "y\r\n" + end);
        answers.push_back(ok + "a: x" + c + "\r\n" + end);
      }
    }
  }
  SUBCASE("lengths that contradict or aren't numbers") {
    for (const char* fields :
         {"Content-Length: 2\r\nContent-Length: 3",
          "Content-Length: 2, 3",
          "Content-Length: 2\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nContent-Length: 2",
          "Transfer-Encoding: gzip",
          "Transfer-Encoding: chunked, gzip",
          "Transfer-Encoding: gzip, chunked",
          "Transfer-Encoding: identity",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked, chunked",
          "Transfer-Encoding: xchunked",
          "Transfer-Encoding: chunked;q=1",
          "Transfer-Encoding:",
          "Content-Length: -2",
          "Content-Length: +2",
          "Content-Length: 0x2",
          "Content-Length: 2 2",
          "Content-Length: 2x",
          "Content-Length:",
          "Content-Length: 99999999999999999999"}) {
      answers.push_back(ok + fields + "\r\n\r\nhi");
      answers.push_back(ok + fields + "\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    }
    answers.push_back(
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nhi\r\n0\r\n\r\n");
  }
  for (const std::string& answer : answers) {
    CAPTURE(answer);
    exchange_world w(false);
    Answer(w, answer);
    CHECK_FALSE(w.result->ok);
    CHECK_FALSE(w.result->never_sent);
    CHECK(w.heads == 0);
    const std::uint64_t made = w.client.connections_made();
    w.Start({.reuse_connection = true});
    CHECK(w.client.connections_made() == made + 1);
  }
}

TEST_CASE("unusual answers that are HTTP are taken") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string end = "Content-Length: 2\r\n\r\nhi";
  for (const std::string& answer :
       {ok + end, "HTTP/1.1 200 \r\n" + end, "HTTP/1.1 599 x\r\n" + end,
        "HTTP/1.0 200 OK\r\n" + end, ok + "x!#$%&'*+-.^_`|~9: 1\r\n" + end,
        ok + "a:\r\n" + end, ok + "a: b\r\n folded: 1\r\n" + end,
        ok + "a: \xc3\xa9\t\x80\r\n" + end, ok + "Content-Length: 2\r\n" + end,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\na: b\r\n\r\n" + ok +
            end,
        ok + "Transfer-Encoding: Chunked\r\n\r\n2;a=b\r\nhi\r\n0\r\nt: "
             "1\r\n\r\n"}) {
    CAPTURE(answer);
    exchange_world w(false);
    Answer(w, answer);
    CHECK(w.result->ok);
    CHECK(w.heads == 1);
    CHECK(w.body == "hi");
  }
}

}  // namespace
}  // namespace wisteriaroute::net
