// Guards against faulty servers that send answers without end: a gateway must
// not keep them all and run out of memory, and callers of sound servers must be
// served meanwhile. The memory of the smallest host for a gateway is the bound.

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/net/address.h"
#include "tests/process/gateway_process_harness.h"
#include "tests/process/raw_callers.h"

namespace wisteriaroute::testing {
namespace {

constexpr std::size_t kMaxMemoryKb = 112 * 1024;
constexpr int kFaultyServers = 4;
constexpr int kCallers = 120;

/** What follows the status line, the request's id and the seal, without end. */
struct endless_answer {
  std::string head;
  std::string part;
};

/** Answers each request without end. Runs on threads of its own. */
class endless_server {
 public:
  explicit endless_server(endless_answer answer)
      : answer_(std::move(answer)),
        listener_(net::OpenListener("127.0.0.1:0")),
        acceptor_([this] { Accept(); }) {}
  ~endless_server() {
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    for (std::thread& one : workers_) {
      one.join();
    }
    close(listener_);
  }
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;

  std::string address() const { return net::LocalAddress(listener_); }
  int answered() const { return answered_; }

 private:
  void Accept() {
    while (!stopping_) {
      // The listener of OpenListener doesn't block.
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        usleep(1'000);
        continue;
      }
      const timeval limit{.tv_sec = 0, .tv_usec = 100'000};
      setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
      setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      workers_.emplace_back([this, fd] { Serve(fd); });
    }
  }

  void Serve(int fd) {
    std::string input;
    char buffer[4'096];
    while (!stopping_ && input.find("\r\n\r\n") == input.npos) {
      const ssize_t count = recv(fd, buffer, sizeof buffer, 0);
      if (count == 0) {
        break;
      }
      if (count > 0) {
        input.append(buffer, static_cast<std::size_t>(count));
      }
    }
    const std::size_t at = input.find("x-request-id: ");
    if (at != input.npos) {
      ++answered_;
      const std::string id = input.substr(at, input.find('\r', at) - at);
      std::string rest =
          "HTTP/1.1 200 OK\r\n" + id + "\r\nX-Server-Id: s\r\n" + answer_.head;
      while (!stopping_) {
        const ssize_t count = send(fd, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN) {
          break;
        }
        rest.erase(0, count < 0 ? 0 : static_cast<std::size_t>(count));
        while (rest.size() < sizeof buffer) {
          rest += answer_.part;
        }
      }
    }
    close(fd);
  }

  endless_answer answer_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> answered_ = 0;
  int listener_;
  std::vector<std::thread> workers_;
  std::thread acceptor_;
};

void Report(gateway_system& system,
            const std::string& name,
            const std::string& address) {
  const nlohmann::json body = {{"service", "desk"},
                               {"address", address},
                               {"data_center", "north-a"},
                               {"slots", 200},
                               {"started_ms", base::WallMs()},
                               {"sequence", 1}};
  for (std::size_t replica = 0; replica < 3; ++replica) {
    system.CallControl(replica, "PUT", "/v1/servers/" + name, body.dump());
  }
}

TEST_CASE("a gateway outlives answers without end") {
  endless_answer answer;
  std::string path = "/lookup/1";
  SUBCASE("a head") {
    answer = {.head = "", .part = "a: " + std::string(50, 'x') + "\r\n"};
  }
  SUBCASE("a field") {
    answer = {.head = "a: ", .part = std::string(1'000, 'x')};
  }
  SUBCASE("a chunk's extension") {
    answer = {.head = "Transfer-Encoding: chunked\r\n\r\n1;",
              .part = std::string(1'000, 'x')};
  }
  SUBCASE("a body") {
    answer = {.head = "\r\n", .part = std::string(1'000, 'x')};
  }
  SUBCASE("an event") {
    answer = {.head = "Content-Type: text/event-stream\r\n\r\ndata: ",
              .part = std::string(1'000, 'x')};
    path = "/draft/1";
  }
  gateway_system system({.server_slots = 50});
  system.PublishAndWait();
  std::vector<std::unique_ptr<endless_server>> faulty;
  for (int i = 0; i < kFaultyServers; ++i) {
    faulty.push_back(std::make_unique<endless_server>(answer));
    Report(system, "faulty-" + std::to_string(i), faulty.back()->address());
  }
  system.RunFor(500'000);
  std::vector<std::shared_ptr<call>> calls;
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < kCallers; ++i) {
      const std::string id =
          "r-" + std::to_string(round) + "-" + std::to_string(i);
      calls.push_back(system.Start(0, path, id));
    }
    system.RunFor(1'000'000);
  }
  int served = 0;
  for (int i = 0; i < 40 && served == 0; ++i) {
    const auto one =
        system.StartAndWait(0, "/lookup/1", "ordinary-" + std::to_string(i));
    served += one->status == 200 ? 1 : 0;
    system.RunFor(100'000);
  }
  CHECK(served > 0);
  int answered = 0;
  for (const auto& one : faulty) {
    answered += one->answered();
  }
  CHECK(answered > kCallers / 4);
  const int pid = system.Pid("gateway-0");
  REQUIRE(pid > 0);
  CHECK(system.IsRunning("gateway-0"));
  MESSAGE("gateway: ", PeakMemoryKb(pid), " KiB, ", answered, " answers");
  CHECK(PeakMemoryKb(pid) < kMaxMemoryKb);
}

}  // namespace
}  // namespace wisteriaroute::testing
