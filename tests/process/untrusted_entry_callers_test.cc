// Guards against callers that make an entry run out of memory: they send
// framing without end or don't read the answers to their requests. Checked are
// only the life of the process, its peak memory, its descriptors, and that one
// ordinary request is answered while the callers are still connected.

#include <doctest/doctest.h>
#include <unistd.h>

#include <string>

#include "tests/process/demo_system.h"
#include "tests/process/raw_callers.h"

namespace wisteriaroute::testing {
namespace {

constexpr std::size_t kMaxMemoryKb = 112 * 1024;
constexpr std::size_t kMaxDescriptors = 2'670;
constexpr std::size_t kKib = 1024;
constexpr std::size_t kMib = 1024 * 1024;
constexpr base::time_us kSendLimitUs = 20'000'000;

std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string all;
  while (all.size() < bytes) {
    all += text;
  }
  return all;
}

bool IsServed(demo_system& system) {
  for (int i = 0; i < 40; ++i) {
    const auto answer = system.StartStream(0, "two blankets", 4);
    system.RunUntil([&] { return answer->done; });
    if (answer->status == 200 && answer->StreamEnded()) {
      return true;
    }
    system.RunFor(250'000);
  }
  return false;
}

TEST_CASE("an entry outlives callers that send or read without limit") {
  demo_system system;
  const std::string entry = system.ProcessNames("entry").front();
  const std::string url = system.EntryUrl(0);
  raw_callers callers(url.substr(std::string("http://").size()), 8);
  const std::string chunked =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
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
  SUBCASE("answers to pipelined requests") {
    const std::string request = "GET /metrics HTTP/1.1\r\nHost: entry\r\n\r\n";
    callers.Send(
        {.prefix = "", .unit = Repeat(request, 64 * kKib), .bytes = 2 * kMib},
        kSendLimitUs);
  }
  REQUIRE(system.IsRunning(entry));
  const std::size_t memory_kb = PeakMemoryKb(system.Pid(entry));
  MESSAGE("entry: ", memory_kb, " KiB");
  CHECK(memory_kb < kMaxMemoryKb);
  CHECK(OpenDescriptors(system.Pid(entry)) < kMaxDescriptors);
  CHECK(IsServed(system));
}

}  // namespace
}  // namespace wisteriaroute::testing
