#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "libwisteriaroute/net/address.h"
#include "libwisteriaroute/net/http_client.h"
#include "libwisteriaroute/net/http_server.h"
#include "tests/run_until.h"

namespace wisteriaroute::net {
namespace {

using testing::RunUntil;

struct recorded_response {
  unsigned status = 0;
  std::string body;
  bool done = false;
  bool ok = false;
  bool never_sent = false;
  bool refused = false;
};

http_client_callbacks RecordInto(recorded_response& into) {
  return {.on_head = [&into](unsigned status,
                             const http_headers&) { into.status = status; },
          .on_data = [&into](std::string_view data) { into.body += data; },
          .on_done =
              [&into](const http_client_result& result) {
                into.done = true;
                into.ok = result.ok;
                into.never_sent = result.never_sent;
                into.refused = result.refused;
              }};
}

TEST_CASE("the HTTP server and client exchange requests on one loop") {
  loop event_loop;
  std::vector<exchange_id> waiting;
  std::vector<exchange_id> abandoned;
  std::vector<http_server_request> requests;
  http_server server(
      event_loop, {.body_bytes = 100'000},
      {.on_request =
           [&](exchange_id id, http_server_request request) {
             waiting.push_back(id);
             requests.push_back(std::move(request));
           },
       .on_abandoned = [&](exchange_id id) { abandoned.push_back(id); },
       .too_large_body = [] { return std::string("too large"); }});
  const std::string base = "http://" + server.Listen("127.0.0.1:0");
  http_client client(event_loop);
  recorded_response response;

  SUBCASE("a response may come long after its request") {
    client.Start({.method = "POST",
                  .url = base + "/path?a=b",
                  .headers = {{"X-Name", "value"}},
                  .body = std::string(50'000, 'b')},
                 RecordInto(response));
    REQUIRE(RunUntil(event_loop, [&] { return waiting.size() == 1; }));
    CHECK(requests[0].path == "/path");
    CHECK(requests[0].query == "?a=b");
    CHECK(requests[0].Header("x-name") == "value");
    CHECK(requests[0].body.size() == 50'000);
    server.Respond(waiting[0], 201, {}, "made");
    REQUIRE(RunUntil(event_loop, [&] { return response.done; }));
    CHECK(response.status == 201);
    CHECK(response.body == "made");
  }

  SUBCASE("a stream arrives piece by piece") {
    client.Start({.url = base + "/stream"}, RecordInto(response));
    REQUIRE(RunUntil(event_loop, [&] { return waiting.size() == 1; }));
    server.StartStream(waiting[0], 200, {});
    server.Write(waiting[0], "one ");
    REQUIRE(RunUntil(event_loop, [&] { return response.body == "one "; }));
    CHECK_FALSE(response.done);

    SUBCASE("and is complete at its end") {
      server.Write(waiting[0], "two");
      server.EndStream(waiting[0]);
      REQUIRE(RunUntil(event_loop, [&] { return response.done; }));
      CHECK(response.ok);
      CHECK(response.body == "one two");
    }

    SUBCASE("and is incomplete if it is aborted") {
      server.AbortStream(waiting[0]);
      REQUIRE(RunUntil(event_loop, [&] { return response.done; }));
      CHECK_FALSE(response.ok);
    }
  }

  SUBCASE("a caller that disconnects abandons its waiting request") {
    const transfer_id id =
        client.Start({.url = base + "/wait"}, RecordInto(response));
    REQUIRE(RunUntil(event_loop, [&] { return waiting.size() == 1; }));
    client.Cancel(id);
    REQUIRE(RunUntil(event_loop, [&] { return abandoned.size() == 1; }));
    CHECK(abandoned[0] == waiting[0]);
    CHECK(RunUntil(event_loop, [&] { return server.exchange_count() == 0; }));
  }

  SUBCASE("an oversized body gets 413 and is not dispatched") {
    client.Start({.method = "POST",
                  .url = base + "/",
                  .body = std::string(200'000, 'b')},
                 RecordInto(response));
    REQUIRE(RunUntil(event_loop, [&] { return response.done; }));
    CHECK(response.status == 413);
    CHECK(response.body == "too large");
    CHECK(waiting.empty());
  }

  SUBCASE("a transfer that only connects sends no request") {
    client.Start({.url = base + "/", .connect_only = true},
                 RecordInto(response));
    REQUIRE(RunUntil(event_loop, [&] { return response.done; }));
    CHECK(response.ok);
    CHECK_FALSE(response.refused);
    CHECK(requests.empty());
    CHECK(client.transfer_count() == 0);
  }

  SUBCASE("a refused connection is reported as never sent") {
    client.Start({.url = "http://127.0.0.1:1/"}, RecordInto(response));
    REQUIRE(RunUntil(event_loop, [&] { return response.done; }));
    CHECK_FALSE(response.ok);
    CHECK(response.never_sent);
    CHECK(response.refused);
  }
}

/** Answers its first request; closes the connection of every later one. */
class one_response_server {
 public:
  one_response_server() : fd_(OpenListener("127.0.0.1:0")) {
    address_ = LocalAddress(fd_);
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) & ~O_NONBLOCK);
    thread_ = std::thread([this] {
      for (int fd = accept(fd_, nullptr, nullptr); fd >= 0;
           fd = accept(fd_, nullptr, nullptr)) {
        Serve(fd);
        close(fd);
      }
    });
  }
  ~one_response_server() {
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
  }

  const std::string& address() const { return address_; }
  int requests() const { return requests_; }

 private:
  void Serve(int fd) {
    char buffer[4'096];
    while (read(fd, buffer, sizeof buffer) > 0) {
      if (++requests_ > 1) {
        return;
      }
      const std::string_view answer =
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      CHECK(write(fd, answer.data(), answer.size()) > 0);
    }
  }

  int fd_;
  std::string address_;
  std::atomic<int> requests_ = 0;
  std::thread thread_;
};

// Guards against a client that sends a request twice. curl repeats a booking by
// itself if the idle connection that it chose was closed.
TEST_CASE("a request is sent once even if its connection is closed") {
  one_response_server server;
  loop event_loop;
  http_client client(event_loop);
  for (int i = 0; i < 2; ++i) {
    recorded_response response;
    client.Start({.method = "POST",
                  .url = "http://" + server.address() + "/",
                  .body = "body"},
                 RecordInto(response));
    REQUIRE(RunUntil(event_loop, [&] { return response.done; }));
    CHECK(response.ok == (i == 0));
    CHECK_FALSE(response.never_sent);
  }
  CHECK(server.requests() == 2);
}

/** Sends the same bytes on each connection, whatever the request, and then
 * closes or resets it. */
class scripted_server {
 public:
  explicit scripted_server(std::string answer, bool reset = false)
      : answer_(std::move(answer)),
        reset_(reset),
        fd_(OpenListener("127.0.0.1:0")) {
    address_ = LocalAddress(fd_);
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) & ~O_NONBLOCK);
    thread_ = std::thread([this] {
      for (int fd = accept(fd_, nullptr, nullptr); fd >= 0;
           fd = accept(fd_, nullptr, nullptr)) {
        char buffer[4'096];
        if (read(fd, buffer, sizeof buffer) > 0) {
          CHECK(write(fd, answer_.data(), answer_.size()) > 0);
        }
        if (reset_) {
          const linger option{.l_onoff = 1, .l_linger = 0};
          setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        }
        close(fd);
      }
    });
  }
  ~scripted_server() {
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
  }

  const std::string& address() const { return address_; }

 private:
  std::string answer_;
  bool reset_;
  int fd_;
  std::string address_;
  std::thread thread_;
};

/** Sends `head`, then repeats `part` until the client closes. */
class endless_server {
 public:
  endless_server(std::string head, std::string part)
      : head_(std::move(head)),
        part_(std::move(part)),
        fd_(OpenListener("127.0.0.1:0")) {
    address_ = LocalAddress(fd_);
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) & ~O_NONBLOCK);
    thread_ = std::thread([this] { Serve(); });
  }
  ~endless_server() {
    stopping_ = true;
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
  }

  const std::string& address() const { return address_; }
  std::size_t sent() const { return sent_; }
  bool closed() const { return closed_; }

 private:
  void Serve() {
    const int fd = accept(fd_, nullptr, nullptr);
    char buffer[4'096];
    if (fd >= 0 && read(fd, buffer, sizeof buffer) > 0) {
      Send(fd, head_);
      while (!stopping_ && Send(fd, part_)) {
      }
    }
    closed_ = true;
    close(fd);
  }
  bool Send(int fd, const std::string& bytes) {
    const ssize_t count = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    sent_ += count > 0 ? static_cast<std::size_t>(count) : 0;
    return count >= 0;
  }

  std::string head_;
  std::string part_;
  int fd_;
  std::string address_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> closed_ = false;
  std::atomic<std::size_t> sent_ = 0;
  std::thread thread_;
};

std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nx-id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Guards against delivering a response that belongs to another request.
// An entry that knew a server by an invalid address ended at each request.
TEST_CASE("a request to an invalid address fails") {
  loop event_loop;
  http_client client(event_loop);
  for (const char* address :
       {"10.0.0.9:99999", "10.0.0.9:-1", "10.0.0.9", "host:80", ""}) {
    recorded_response response;
    client.Start({.url = "http://" + std::string(address) + "/"},
                 RecordInto(response));
    REQUIRE(RunUntil(event_loop, [&] { return response.done; }));
    CHECK_FALSE(response.ok);
    CHECK(response.never_sent);
  }
}

// On a kept connection, a refusal of an earlier request that arrives once more
// would be taken for the answer to a request without an id.
TEST_CASE("a request without the id that matches it has its own connection") {
  loop event_loop;
  http_client client(event_loop);
  http_server* answering = nullptr;
  http_server server(event_loop, {},
                     {.on_request = [&](exchange_id id, http_server_request) {
                       answering->Respond(id, 200, {{"x-id", "1"}}, "done");
                     }});
  answering = &server;
  const std::string url = "http://" + server.Listen("127.0.0.1:0") + "/";
  const auto ask = [&](http_headers headers) {
    recorded_response response;
    client.Start({.url = url,
                  .headers = std::move(headers),
                  .reuse_connection = true,
                  .match_header = "x-id"},
                 RecordInto(response));
    REQUIRE(RunUntil(event_loop, [&] { return response.done; }));
    CHECK(response.ok);
  };
  ask({{"x-id", "1"}});
  ask({{"x-id", "1"}});
  CHECK(client.connections_made() == 1);
  ask({});
  CHECK(client.connections_made() == 2);
  ask({});
  CHECK(client.connections_made() == 3);
}

TEST_CASE("a response is matched to its request") {
  loop event_loop;
  http_client client(event_loop);
  recorded_response response;
  const auto ask = [&](const scripted_server& server) {
    client.Start({.url = "http://" + server.address() + "/",
                  .headers = {{"x-id", "2"}},
                  .reuse_connection = true,
                  .match_header = "x-id"},
                 RecordInto(response));
    REQUIRE(RunUntil(event_loop, [&] { return response.done; }));
  };

  SUBCASE("a late response to an earlier request is discarded") {
    const scripted_server server(Answer("1", "other") + Answer("2", "mine"));
    ask(server);
    CHECK(response.ok);
    CHECK(response.body == "mine");
  }

  SUBCASE("a response without an id fails the transfer") {
    const scripted_server server("HTTP/1.1 200 OK\r\n\r\nbody");
    ask(server);
    CHECK_FALSE(response.ok);
    CHECK(response.body.empty());
  }

  SUBCASE("a response without length and chunks ends with its connection") {
    const scripted_server server("HTTP/1.1 200 OK\r\nx-id: 2\r\n\r\nmine");
    ask(server);
    CHECK(response.ok);
    CHECK(response.body == "mine");
  }

  SUBCASE("such a response is incomplete if its connection is reset") {
    const scripted_server server("HTTP/1.1 200 OK\r\nx-id: 2\r\n\r\nmine",
                                 true);
    ask(server);
    CHECK_FALSE(response.ok);
  }

  SUBCASE("bytes that are no response fail the transfer") {
    const scripted_server server("what is this\r\n\r\n");
    ask(server);
    CHECK_FALSE(response.ok);
  }

  SUBCASE("a truncated response fails the transfer") {
    std::string answer = Answer("2", "mine");
    answer.resize(answer.size() - 2);
    const scripted_server server(answer);
    ask(server);
    CHECK_FALSE(response.ok);
  }
}

// Guards against unbounded memory and time for a server that sends bytes
// without end which are no complete response. The client must close the
// connection.
TEST_CASE("the client fails a response that never begins or ends") {
  loop event_loop;
  http_client client(event_loop);
  recorded_response response;
  // Includes the bytes in the buffers of both sockets, which are sent but not
  // read.
  constexpr std::size_t kMostBytes = 16 * 1024 * 1024;
  const auto fails = [&](const std::string& head, const std::string& part) {
    endless_server server(head, part);
    client.Start({.url = "http://" + server.address() + "/",
                  .headers = {{"x-id", "2"}},
                  .match_header = "x-id"},
                 RecordInto(response));
    REQUIRE(
        RunUntil(event_loop, [&] { return response.done && server.closed(); }));
    CHECK_FALSE(response.ok);
    CHECK(response.body.empty());
    CHECK(server.sent() < kMostBytes);
  };
  const std::string ok = "HTTP/1.1 200 OK\r\nx-id: 2\r\n";
  const std::string noise(1'024, 'x');

  SUBCASE("an unterminated status line") {
    fails("", noise);
  }
  SUBCASE("an unterminated header field") {
    fails(ok + "x: ", noise);
  }
  SUBCASE("endless header fields") {
    fails(ok, "x: y\r\n");
  }
  SUBCASE("an unterminated chunk extension") {
    fails(ok + "Transfer-Encoding: chunked\r\n\r\n5;x=", noise);
  }
  SUBCASE("endless trailers") {
    fails(ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "x: y\r\n");
  }
  SUBCASE("endless interim responses") {
    fails("", "HTTP/1.1 102 Processing\r\n\r\n");
  }
  SUBCASE("endless responses to other requests") {
    fails("", Answer("1", noise));
  }
  SUBCASE("an endless response to another request") {
    fails("HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\n", noise);
  }
}

// Guards against a cancelled request that still reaches its server: a host that
// was paused reads data of a connection that was closed regularly, but drops
// data of one that was reset.
TEST_CASE("a cancelled request's connection is reset") {
  loop event_loop;
  http_client client(event_loop);
  recorded_response response;
  const int listener = OpenListener("127.0.0.1:0");
  const transfer_id id = client.Start(
      {.url = "http://" + LocalAddress(listener) + "/"}, RecordInto(response));
  int server = -1;
  char first = 0;
  REQUIRE(RunUntil(event_loop, [&] {
    if (server < 0) {
      server = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
    }
    return server >= 0 && recv(server, &first, 1, MSG_PEEK) == 1;
  }));
  client.Cancel(id);
  char buffer[4'096];
  // recv reports the error once, but RunUntil may evaluate the condition again.
  std::optional<int> error;
  REQUIRE(RunUntil(event_loop, [&] {
    const ssize_t count = recv(server, buffer, sizeof buffer, 0);
    if (!error && (count == 0 || (count < 0 && errno != EAGAIN))) {
      error = count == 0 ? 0 : errno;
    }
    return error.has_value();
  }));
  CHECK(error == ECONNRESET);
  close(server);
  close(listener);
}

}  // namespace
}  // namespace wisteriaroute::net
