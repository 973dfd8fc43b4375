// Guards against a planned stop of a gateway that ends connections of callers
// without an answer: requests that arrive late on connections that are kept
// open, or whose body is still arriving.

#include <doctest/doctest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <utility>

#include "libwisteriaroute/net/address.h"
#include "tests/process/gateway_process_harness.h"

namespace wisteriaroute::testing {
namespace {

/** A caller that sends a request in parts and reads what comes. */
class slow_caller {
 public:
  explicit slow_caller(const std::string& address) {
    const net::socket_address to = net::ParseAddress(address);
    fd_ = socket(to.storage.ss_family, SOCK_STREAM, 0);
    REQUIRE(connect(fd_, to.get(), to.length) == 0);
  }
  ~slow_caller() { close(fd_); }
  slow_caller(const slow_caller&) = delete;
  slow_caller& operator=(const slow_caller&) = delete;

  /** Sends a head and the first byte of a body of two. */
  void Begin(const std::string& path, const std::string& id) {
    Send("POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " +
         id + "\r\nAuthorization: Bearer counter-key\r\n" +
         "Content-Length: 2\r\n\r\na");
  }
  void Finish() { Send("b"); }
  /** Reads what has come; returns whether the connection is open. */
  bool Read() {
    char buffer[4'096];
    for (;;) {
      const ssize_t count = recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
      if (count <= 0) {
        return count < 0;
      }
      text_.append(buffer, static_cast<std::size_t>(count));
    }
  }
  /** The status of the first answer; 0 if none has come. */
  int status() const {
    return text_.size() < 12 ? 0 : std::stoi(text_.substr(9, 3));
  }
  const std::string& text() const { return text_; }

 private:
  void Send(const std::string& text) const {
    CHECK(send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size()));
  }

  int fd_ = -1;
  std::string text_;
};

TEST_CASE("a planned stop answers what it has read") {
  gateway_system system;
  system.PublishAndWait();
  const std::string address = system.HttpAddress(0);
  slow_caller early(address);
  slow_caller late(address);
  slow_caller unfinished(address);
  early.Begin("/lookup/1", "early");
  late.Begin("/draft/1", "late");
  unfinished.Begin("/pay/1", "unfinished");
  system.RunFor(200'000);
  system.Signal("gateway-0", SIGTERM);
  system.RunFor(1'000'000);
  const auto stream = system.Start(0, "/draft/1", "stream",
                                   {{"X-Events", "1000"}, {"X-Gap-Ms", "50"}});
  system.RunFor(2'500'000);
  // It ends in time, and the other one may not.
  early.Finish();
  late.Finish();
  system.RunUntil([&] { return !system.IsRunning("gateway-0"); });
  for (slow_caller* one : {&early, &late, &unfinished}) {
    one->Read();
  }
  CHECK(early.status() == 200);
  CHECK(late.status() == 503);
  CHECK(system.CountRuns("late") == 0);
  CHECK(unfinished.status() == 503);
  CHECK(system.CountRuns("unfinished") == 0);
  CHECK(system.RunUntil([&] { return stream->done; }));
  CHECK_FALSE(stream->ok);
}

}  // namespace
}  // namespace wisteriaroute::testing
