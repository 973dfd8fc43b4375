#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "libwisteriaroute/net/http_client.h"
#include "tests/process/lone_control.h"
#include "tests/run_until.h"

namespace wisteriaroute::testing {
namespace {

// Guards against callers of control's HTTP ports (calls and metrics) that obey
// no protocol: the process lives, its memory and descriptors are bounded, and
// an ordinary request is answered afterwards. The numbers of callers and the
// bounds were fixed before the limits were.

constexpr rlim_t kDescriptors = 512;
constexpr std::size_t kMostDescriptors = 448;
constexpr std::size_t kMostMemoryKb = 144 * 1024;
constexpr base::time_us kSendLimitUs = 8'000'000;
constexpr std::size_t kMiB = 1024 * 1024;

bool IsAnswered(const std::string& url) {
  net::loop event_loop;
  net::http_client client(event_loop);
  std::optional<net::http_client_result> result;
  client.Start(
      {.url = url, .timeout_ms = 2'000},
      {.on_done = [&](const net::http_client_result& end) { result = end; }});
  RunUntil(event_loop, [&] { return result.has_value(); });
  return result && result->ok;
}

/** Whether a request is answered, at the latest after the idle limits. */
bool IsServing(const std::string& address, const std::string& path) {
  for (int i = 0; i < 200; ++i) {
    if (IsAnswered("http://" + address + path)) {
      return true;
    }
    usleep(100'000);
  }
  return false;
}

void CheckIsServing(const lone_control& control) {
  CHECK(IsServing(control.http(), "/unknown"));
  MESSAGE("peak memory, KiB: " << control.PeakMemoryKb());
  CHECK(control.IsAlive());
  CHECK(control.PeakMemoryKb() < kMostMemoryKb);
}

void CheckBounded(const std::string& head,
                  const std::string& part,
                  std::size_t callers,
                  std::size_t bytes) {
  const lone_control control(kDescriptors);
  CheckIsServing(control);
  peer_crowd crowd(control.http(), callers);
  crowd.Send(head, part, bytes, kSendLimitUs);
  CheckIsServing(control);
}

constexpr const char* kChunkedPost =
    "POST /unknown HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST_CASE("calls with bodies that don't become complete") {
  CheckBounded(
      "POST /unknown HTTP/1.1\r\nHost: a\r\nContent-Length: 8000000\r\n\r\n",
      std::string(64 * 1024, 'b'), 32, 7 * kMiB);
}

TEST_CASE("calls with trailers without end") {
  CheckBounded(std::string(kChunkedPost) + "0\r\n", "x: y\r\n", 8, 24 * kMiB);
}

TEST_CASE("calls with a chunk extension without end") {
  CheckBounded(std::string(kChunkedPost) + "5;x=", std::string(1'024, 'x'), 8,
               24 * kMiB);
}

TEST_CASE("calls whose answers aren't read") {
  CheckBounded("", "GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n", 16, 4 * kMiB);
}

TEST_CASE("connections for calls that send nothing") {
  const lone_control control(kDescriptors);
  CheckIsServing(control);
  std::size_t most = 0;
  {
    peer_crowd crowd(control.http(), 600);
    usleep(1'000'000);
    most = control.Descriptors();
  }
  MESSAGE("most descriptors: " << most);
  CHECK(most < kMostDescriptors);
  CheckIsServing(control);
}

TEST_CASE("connections for metrics that send nothing") {
  const lone_control control(kDescriptors);
  CheckIsServing(control);
  // As many as may be open, held until the ordinary request is answered.
  peer_crowd crowd(control.metrics(), 16);
  usleep(500'000);
  CHECK(IsServing(control.metrics(), "/metrics"));
  CheckIsServing(control);
}

}  // namespace
}  // namespace wisteriaroute::testing
