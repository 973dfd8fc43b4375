#include "standin/reporting_server.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "libwisteriaroute/net/address.h"
#include "libwisteriaroute/net/loop.h"
#include "tests/run_until.h"

namespace wisteriaroute::standin {
namespace {

constexpr int kGapMs = 20;

/** A caller that reads a stream on a blocking connection. */
class caller {
 public:
  caller(const std::string& address, std::string_view request)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const net::socket_address to = net::ParseAddress(address);
    REQUIRE(connect(fd_, to.get(), to.length) == 0);
    REQUIRE(write(fd_, request.data(), request.size()) > 0);
  }
  ~caller() { close(fd_); }

  bool HasReceived() const {
    char byte = 0;
    return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }
  std::string Read() const {
    std::string text(4'096, '\0');
    const ssize_t count = recv(fd_, text.data(), text.size(), 0);
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return text;
  }
  /** Resets the connection at once. */
  void Reset() {
    const linger option{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    close(std::exchange(fd_, -1));
  }

 private:
  int fd_;
};

}  // namespace

// The write of the next event ended the run that was being continued.
TEST_CASE("a caller that resets its stream before an event is due") {
  net::loop loop;
  reporting_server tested(
      loop, {.id = "s", .service = "chat", .controls = {"127.0.0.1:1"}});
  const std::string address = tested.Listen("127.0.0.1:0");
  caller streaming(address,
                   "GET /draft HTTP/1.1\r\nHost: h\r\nX-Work-Ms: 0\r\n"
                   "X-Events: 100\r\nX-Gap-Ms: " +
                       std::to_string(kGapMs) + "\r\n\r\n");
  REQUIRE(testing::RunUntil(loop, [&] { return streaming.HasReceived(); }));

  streaming.Reset();
  // The event is due before the loop has noticed the reset.
  std::this_thread::sleep_for(std::chrono::milliseconds(2 * kGapMs));

  caller asking(address, "GET /standin/runs HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(testing::RunUntil(loop, [&] { return asking.HasReceived(); }));
  const std::string state = asking.Read();
  CHECK(state.find("\"abandoned\":1") != std::string::npos);
  CHECK(state.find("\"running\":0") != std::string::npos);
}

}  // namespace wisteriaroute::standin
