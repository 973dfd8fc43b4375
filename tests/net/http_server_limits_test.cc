// Guards against callers that send or read without limit, at the interface of
// the HTTP server: which connection is closed, which request is refused, and
// that no other one is.

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

#include "libwisteriaroute/net/address.h"
#include "libwisteriaroute/net/http_server.h"
#include "tests/run_until.h"

namespace wisteriaroute::net {
namespace {

using testing::RunUntil;

constexpr std::size_t kKib = 1024;
constexpr std::size_t kSocketBytes = 8 * kKib;
const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/** A caller whose bytes the test sends and reads. */
class raw_caller {
 public:
  explicit raw_caller(const std::string& address) {
    const socket_address to = ParseAddress(address);
    fd_ = socket(to.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int bytes = kSocketBytes;
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    REQUIRE(connect(fd_, to.get(), to.length) == 0);
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
  }
  ~raw_caller() { close(fd_); }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;

  void Send(std::string text) { unsent_ += text; }
  /** Sends what it can and, if `read`, reads what has arrived. */
  void Step(bool read) {
    const ssize_t sent =
        send(fd_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      unsent_.erase(0, static_cast<std::size_t>(sent));
    }
    std::string buffer(64 * kKib, '\0');
    ssize_t count = 0;
    while (read && (count = recv(fd_, buffer.data(), buffer.size(), 0)) > 0) {
      received.append(buffer, 0, static_cast<std::size_t>(count));
    }
    closed = closed || (read && count == 0);
  }
  bool Has(const std::string& text) const {
    return received.find(text) != text.npos;
  }

  std::string received;
  bool closed = false;

 private:
  int fd_ = -1;
  std::string unsent_;
};

struct limited_server {
  explicit limited_server(http_server_limits limits,
                          std::size_t budget_bytes = 64 * kKib * kKib)
      : budget(budget_bytes),
        server(
            event_loop,
            limits,
            {.on_request =
                 [this](exchange_id id, const http_server_request&) {
                   requests.push_back(id);
                 },
             .on_abandoned =
                 [this](exchange_id id) { abandoned.push_back(id); },
             .on_blocked = [this](exchange_id id) { blocked.push_back(id); },
             .on_drained = [this](exchange_id id) { drained.push_back(id); }},
            &budget),
        address(server.Listen("127.0.0.1:0")) {}

  /** Runs until the condition holds; the callers send and read meanwhile. */
  bool Run(const std::function<bool()>& condition,
           const std::vector<raw_caller*>& senders,
           const std::vector<raw_caller*>& readers = {}) {
    return RunUntil(event_loop, [&] {
      for (raw_caller* one : senders) {
        one->Step(false);
      }
      for (raw_caller* one : readers) {
        one->Step(true);
      }
      return condition();
    });
  }
  bool WasAbandoned(exchange_id id) const {
    return std::ranges::find(abandoned, id) != abandoned.end();
  }
  void Wait(base::time_us duration_us) {
    RunUntil(
        event_loop, [] { return false; }, duration_us);
  }

  loop event_loop;
  std::vector<exchange_id> requests;
  std::vector<exchange_id> abandoned;
  std::vector<exchange_id> blocked;
  std::vector<exchange_id> drained;
  memory_budget budget;
  http_server server;
  std::string address;
};

TEST_CASE("a pipelined request waits until earlier responses are read") {
  limited_server system({.socket_bytes = kSocketBytes});
  raw_caller caller(system.address);
  caller.Send(get + get);
  REQUIRE(system.Run([&] { return system.requests.size() == 1; }, {&caller}));
  system.server.Respond(system.requests[0], 200, {},
                        std::string(kKib * kKib, 'a'));
  system.Wait(50'000);
  CHECK(system.requests.size() == 1);
  CHECK(system.Run([&] { return system.requests.size() == 2; }, {}, {&caller}));
}

TEST_CASE("the owner of a stream is told when its caller doesn't read") {
  limited_server system({.socket_bytes = kSocketBytes});
  raw_caller caller(system.address);
  caller.Send(get);
  REQUIRE(system.Run([&] { return system.requests.size() == 1; }, {&caller}));
  const exchange_id id = system.requests[0];
  system.server.StartStream(id, 200, {});
  system.server.Write(id, "first");
  CHECK(system.blocked.empty());
  system.server.Write(id, std::string(200 * kKib, 'a'));
  CHECK(system.blocked == std::vector{id});
  CHECK(system.budget.used(memory_use::kOutput) > 100 * kKib);
  CHECK(system.Run([&] { return system.drained == std::vector{id}; }, {},
                   {&caller}));
  CHECK(system.Run([&] { return system.budget.used(memory_use::kOutput) == 0; },
                   {}, {&caller}));
}

TEST_CASE("above the budget the caller that waits longest is closed") {
  limited_server system({.socket_bytes = kSocketBytes}, 1'024 * kKib);
  raw_caller slow(system.address);
  slow.Send(get);
  REQUIRE(system.Run([&] { return system.requests.size() == 1; }, {&slow}));
  raw_caller later(system.address);
  later.Send(get);
  REQUIRE(system.Run([&] { return system.requests.size() == 2; }, {&later}));
  for (const exchange_id id : system.requests) {
    system.server.StartStream(id, 200, {});
  }
  system.server.Write(system.requests[0], std::string(400 * kKib, 'a'));
  system.Wait(400'000);

  SUBCASE("not the one that has just been sent much") {
    system.server.Write(system.requests[1], std::string(800 * kKib, 'b'));
    CHECK(system.abandoned == std::vector{system.requests[0]});
    CHECK(system.server.slow_callers_closed() == 1);
  }
  SUBCASE("of the same workspace, if that has too much") {
    system.server.SetWorkspace(system.requests[0], "large");
    system.server.SetWorkspace(system.requests[1], "large");
    system.server.Write(system.requests[1], std::string(200 * kKib, 'b'));
    CHECK(system.abandoned == std::vector{system.requests[0]});
  }
  SUBCASE("not of another workspace than the one that has too much") {
    system.server.SetWorkspace(system.requests[0], "small");
    system.server.SetWorkspace(system.requests[1], "large");
    system.server.Write(system.requests[1], std::string(550 * kKib, 'b'));
    CHECK_FALSE(system.WasAbandoned(system.requests[0]));
  }
}

TEST_CASE("output that waits too long closes its connection") {
  limited_server system({.socket_bytes = kSocketBytes, .send_timeout_ms = 300});
  raw_caller caller(system.address);
  caller.Send(get);
  REQUIRE(system.Run([&] { return system.requests.size() == 1; }, {&caller}));
  SUBCASE("of a stream") {
    system.server.StartStream(system.requests[0], 200, {});
    system.server.Write(system.requests[0], std::string(200 * kKib, 'a'));
    CHECK(system.Run([&] { return system.WasAbandoned(system.requests[0]); },
                     {}));
  }
  SUBCASE("of a complete response") {
    system.server.Respond(system.requests[0], 200, {},
                          std::string(200 * kKib, 'a'));
    CHECK(
        system.Run([&] { return system.server.connection_count() == 0; }, {}));
  }
  CHECK(system.server.slow_callers_closed() == 1);
}

TEST_CASE("large unfinished requests make room for small ones") {
  limited_server system({.body_bytes = 4'096 * kKib}, 512 * kKib);
  raw_caller large(system.address);
  large.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n" +
             std::string(900'000, 'a'));
  CHECK(system.Run([&] { return large.closed; }, {}, {&large}));
  CHECK(large.Has("HTTP/1.1 503"));
  CHECK(large.Has("Retry-After"));
  CHECK(system.budget.used() < 64 * kKib);
  raw_caller small(system.address);
  small.Send(get);
  CHECK(system.Run([&] { return system.requests.size() == 1; }, {&small}));
}

TEST_CASE("a request beyond the limit of requests in progress gets 503") {
  limited_server system({.requests = 1});
  raw_caller first(system.address);
  first.Send(get);
  REQUIRE(system.Run([&] { return system.requests.size() == 1; }, {&first}));
  raw_caller second(system.address);
  second.Send(get);
  CHECK(system.Run([&] { return second.Has("HTTP/1.1 503"); }, {}, {&second}));
  CHECK(system.requests.size() == 1);
  system.server.Respond(system.requests[0], 200, {}, "");
  second.Send(get);
  CHECK(system.Run([&] { return system.requests.size() == 2; }, {&second}));
  CHECK_FALSE(second.closed);
}

TEST_CASE("sending a byte now and then doesn't extend the time for a request") {
  limited_server system({.header_timeout_ms = 300});
  raw_caller caller(system.address);
  std::string drip;
  SUBCASE("in the head") {
    caller.Send("GET / HTTP/1.1\r\nX-Slow: ");
    drip = "a";
  }
  SUBCASE("in a body") {
    caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n");
    drip = "a";
  }
  SUBCASE("in trailers") {
    caller.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA:");
    drip = "a";
  }
  CHECK(system.Run(
      [&] {
        caller.Send(drip);
        return caller.Has("HTTP/1.1 408");
      },
      {}, {&caller}));
  CHECK(system.requests.empty());
}

TEST_CASE("at the limit of connections those without an answer make room") {
  limited_server system({.connections = 2});
  raw_caller served(system.address);
  served.Send(get);
  REQUIRE(system.Run([&] { return system.requests.size() == 1; }, {&served}));
  system.server.Respond(system.requests[0], 200, {}, "");
  raw_caller silent(system.address);
  REQUIRE(
      system.Run([&] { return system.server.connection_count() == 2; }, {}));
  raw_caller next(system.address);
  next.Send(get);
  CHECK(system.Run([&] { return silent.closed; }, {&next}, {&silent, &served}));
  CHECK(system.Run([&] { return system.requests.size() == 2; }, {&next}));
  CHECK_FALSE(served.closed);
  CHECK(system.server.evicted_connections() == 1);
}

TEST_CASE("a budget counts by use and workspace") {
  memory_budget budget(1'000);
  {
    memory_charge input(&budget, memory_use::kInput);
    memory_charge output(&budget, memory_use::kOutput);
    input.Set(300);
    output.Set(200);
    output.SetWorkspace("a");
    CHECK(budget.used() == 500);
    CHECK(budget.used_by("a") == 200);
    CHECK(budget.Fits(500));
    CHECK_FALSE(budget.Fits(501));
    CHECK(budget.Fits("a", 300));
    CHECK_FALSE(budget.Fits("a", 301));
    output.Set(50);
    output.SetWorkspace("");
    CHECK(budget.used_by("a") == 0);
    CHECK(budget.used(memory_use::kOutput) == 50);
  }
  CHECK(budget.used() == 0);
}

TEST_CASE("the sizes of the smallest host leave room for what they must") {
  const descriptor_plan plan = PlanDescriptors(2'870, 2'000);
  // 200 descriptors are reserved for files.
  CHECK(plan.callers + plan.requests + 200 < 2'870);
  CHECK(plan.callers >= 1'500);
  CHECK(plan.requests >= 800);
  CHECK(PlanDescriptors(2'870, 100).callers == 100);
  // A request with a body of 4 MiB and an answer of 8 MiB.
  CHECK(BudgetBytes(112) / 2 > 16 * kKib * kKib);
}

}  // namespace
}  // namespace wisteriaroute::net
