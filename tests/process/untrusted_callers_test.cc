// Guards against callers that make a gateway run out of memory or descriptors:
// they send framing, heads or bodies without limit, or don't read what they are
// sent. Checked are only the life of the processes, their peak memory, their
// descriptors, and that one ordinary request is answered while the callers are
// still connected. The memory of the smallest host for a gateway is the bound.

#include <doctest/doctest.h>
#include <unistd.h>

#include <string>

#include "tests/process/gateway_process_harness.h"
#include "tests/process/raw_callers.h"

namespace wisteriaroute::testing {
namespace {

constexpr std::size_t kMaxMemoryKb = 112 * 1024;
// The smallest host has 2,870 descriptors, 200 of them reserved for files.
constexpr std::size_t kMaxDescriptors = 2'670;
constexpr std::size_t kKib = 1024;
constexpr std::size_t kMib = 1024 * 1024;
constexpr base::time_us kSendLimitUs = 20'000'000;
constexpr int kServerSlots = 100;

// The limits that the platform's configurations have, but a longer time for a
// request, so that its end doesn't depend on the machine's speed.
constexpr const char* kCallerLimits = R"(
[limits]
header_bytes = 16384
body_bytes = 4194304
header_timeout_ms = 20000
idle_timeout_ms = 15000
)";

std::string Head(const std::string& path, const std::string& more) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: untrusted\r\n"
         "Authorization: Bearer counter-key\r\n" +
         more + "\r\n";
}

std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string all;
  while (all.size() < bytes) {
    all += text;
  }
  return all;
}

bool IsServed(gateway_system& system) {
  // A refusal with 503 may be repeated.
  for (int i = 0; i < 40; ++i) {
    const auto answer = system.StartAndWait(
        0, "/lookup/1", "ordinary-" + std::to_string(i), {}, "two blankets");
    if (answer->status == 200 && answer->body == "echo two blankets") {
      return true;
    }
    system.RunFor(250'000);
  }
  return false;
}

void CheckProcesses(gateway_system& system,
                    std::size_t max_descriptors = kMaxDescriptors) {
  for (const std::string& name : system.ProductProcesses()) {
    INFO(name);
    const int pid = system.Pid(name);
    REQUIRE(pid > 0);
    const std::size_t memory_kb = PeakMemoryKb(pid);
    const std::size_t descriptors = OpenDescriptors(pid);
    if (name == "gateway-0") {
      MESSAGE("gateway: ", memory_kb, " KiB, ", descriptors, " descriptors");
    }
    CHECK(memory_kb < kMaxMemoryKb);
    CHECK(descriptors < max_descriptors);
  }
}

gateway_system_options Options(const std::string& gateway_lines = "") {
  return {.server_slots = kServerSlots,
          .gateway_lines = gateway_lines,
          .traffic_lines = kCallerLimits};
}

TEST_CASE("a gateway outlives callers that send framing without end") {
  gateway_system system(Options());
  system.PublishAndWait();
  raw_callers callers(system.HttpAddress(0), 8);
  const std::string chunked =
      Head("/lookup/1", "Transfer-Encoding: chunked\r\n");
  constexpr std::size_t kBytes = 16 * kMib;

  SUBCASE("trailers") {
    callers.Send(
        {.prefix = chunked + "4\r\nbody\r\n0\r\n",
         .unit = Repeat("X-More: " + std::string(500, 'a') + "\r\n", 64 * kKib),
         .bytes = kBytes},
        kSendLimitUs);
  }
  SUBCASE("a chunk extension") {
    callers.Send({.prefix = chunked + "4;name=",
                  .unit = std::string(64 * kKib, 'a'),
                  .bytes = kBytes},
                 kSendLimitUs);
  }
  SUBCASE("a header line") {
    callers.Send({.prefix = "POST /lookup/1 HTTP/1.1\r\nX-Long: ",
                  .unit = std::string(64 * kKib, 'a'),
                  .bytes = kBytes},
                 kSendLimitUs);
  }
  SUBCASE("short header lines, a few whole ones at a time") {
    const std::string line = "A:b\r\n";
    const std::string first = "POST /lookup/1 HTTP/1.1\r\n";
    const std::size_t piece = 800 * line.size();
    for (std::size_t i = 1; i <= 500; ++i) {
      callers.Send({.prefix = first,
                    .unit = Repeat(line, piece),
                    .bytes = first.size() + i * piece},
                   kSendLimitUs / 1'000);
      system.RunFor(2'000);
    }
  }
  SUBCASE("header lines in pieces that end within the next one") {
    const std::string first = "POST /lookup/1 HTTP/1.1\r\nA";
    const std::string line = ":b\r\nA";
    const std::size_t piece = 800 * line.size();
    for (std::size_t i = 1; i <= 500; ++i) {
      callers.Send({.prefix = first,
                    .unit = Repeat(line, piece),
                    .bytes = first.size() + i * piece},
                   kSendLimitUs / 1'000);
      system.RunFor(2'000);
    }
  }
  SUBCASE("bytes that are no request") {
    callers.Send({.prefix = "",
                  .unit = Repeat(std::string("\0\r\n\x7f", 4), 64 * kKib),
                  .bytes = kBytes},
                 kSendLimitUs);
  }
  CheckProcesses(system);
  CHECK(IsServed(system));
}

TEST_CASE("a gateway serves the largest body in chunks of one byte") {
  gateway_system system(Options());
  system.PublishAndWait();
  raw_callers callers(system.HttpAddress(0), 1);
  const std::string head = Head("/lookup/1", "Transfer-Encoding: chunked\r\n");
  const std::string chunk = "1\r\nb\r\n";
  const std::string end = "0\r\n\r\n";
  const std::size_t body_bytes = 4 * kMib * chunk.size();
  callers.Send({.prefix = head,
                .unit = Repeat(chunk, 10'000 * chunk.size()),
                .bytes = head.size() + body_bytes},
               kSendLimitUs);
  callers.Send({.prefix = std::string(head.size() + body_bytes, ' ') + end,
                .unit = "",
                .bytes = head.size() + body_bytes + end.size()},
               kSendLimitUs);
  for (int i = 0; i < 200 && callers.beginning().empty(); ++i) {
    callers.Read(kKib);
    system.RunFor(50'000);
  }
  CHECK(callers.beginning().starts_with("HTTP/1.1 200"));
  CheckProcesses(system);
}

TEST_CASE("a gateway outlives callers that don't read their answers") {
  gateway_system system(Options());
  system.PublishAndWait();

  SUBCASE("long answers") {
    constexpr std::size_t kBody = 4 * kMib;
    const std::string head =
        Head("/lookup/1", "Content-Length: " + std::to_string(kBody) + "\r\n");
    raw_callers callers(system.HttpAddress(0), 40);
    callers.Send({.prefix = head,
                  .unit = std::string(64 * kKib, 'b'),
                  .bytes = head.size() + kBody},
                 kSendLimitUs);
    for (int i = 0; i < 30; ++i) {
      callers.Read(kKib);
      system.RunFor(100'000);
    }
    CheckProcesses(system);
    CHECK(IsServed(system));
  }
  SUBCASE("streams") {
    const std::string request =
        Head("/draft/1",
             "X-Events: 2000\r\nX-Gap-Ms: 1\r\n"
             "X-Event-Bytes: 16384\r\nContent-Length: 0\r\n");
    raw_callers silent(system.HttpAddress(0), 80);
    raw_callers slow(system.HttpAddress(0), 80);
    const caller_input input = {
        .prefix = request, .unit = "", .bytes = request.size()};
    silent.Send(input, kSendLimitUs);
    slow.Send(input, kSendLimitUs);
    for (int i = 0; i < 40; ++i) {
      slow.Read(kKib);
      system.RunFor(100'000);
    }
    CheckProcesses(system);
    CHECK(IsServed(system));
  }
  SUBCASE("answers to pipelined requests") {
    constexpr std::size_t kBody = 256 * kKib;
    const std::string request =
        Head("/lookup/1", "Content-Length: " + std::to_string(kBody) + "\r\n") +
        std::string(kBody, 'b');
    raw_callers callers(system.HttpAddress(0), 8);
    callers.Send({.prefix = "", .unit = request, .bytes = 100 * request.size()},
                 kSendLimitUs);
    CheckProcesses(system);
    CHECK(IsServed(system));
  }
}

TEST_CASE("a gateway serves beside connections that send next to nothing") {
  constexpr std::size_t kMaxConnections = 200;
  gateway_system system(
      Options("max_connections = " + std::to_string(kMaxConnections) + "\n"));
  system.PublishAndWait();
  raw_callers silent(system.HttpAddress(0), 150);
  raw_callers dripping(system.HttpAddress(0), 150);
  const std::string begun =
      Head("/lookup/1", "Expect: 100-continue\r\nContent-Length: 1000\r\n");
  dripping.Send({.prefix = begun, .unit = "", .bytes = begun.size()},
                kSendLimitUs);
  for (int i = 0; i < 20; ++i) {
    dripping.SendByte('b');
    system.RunFor(100'000);
  }
  // 100 for links, servers and files.
  CheckProcesses(system, kMaxConnections + 100);
  CHECK(IsServed(system));
}

TEST_CASE("a gateway outlives bodies up to the limit from many callers") {
  gateway_system system(Options());
  system.PublishAndWait();
  constexpr std::size_t kBody = 4 * kMib;
  const std::string head =
      Head("/lookup/1", "Content-Length: " + std::to_string(kBody) + "\r\n");
  raw_callers callers(system.HttpAddress(0), 60);

  SUBCASE("that stay incomplete") {
    callers.Send({.prefix = head,
                  .unit = std::string(64 * kKib, 'b'),
                  .bytes = head.size() + kBody - 1},
                 kSendLimitUs);
  }
  SUBCASE("that servers take long to answer") {
    const std::string slow = Head(
        "/lookup/1",
        "X-Work-Ms: 2000\r\nContent-Length: " + std::to_string(kBody) + "\r\n");
    callers.Send({.prefix = slow,
                  .unit = std::string(64 * kKib, 'b'),
                  .bytes = slow.size() + kBody},
                 kSendLimitUs);
  }
  CheckProcesses(system);
  CHECK(IsServed(system));
}

}  // namespace
}  // namespace wisteriaroute::testing
