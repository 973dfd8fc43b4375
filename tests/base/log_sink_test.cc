#include "libwisteriaroute/base/log_sink.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <string>

namespace wisteriaroute::base {
namespace {

// Guards against a process that blocks because nobody reads its log.
TEST_CASE("a reader that stops doesn't block the writer") {
  std::array<int, 2> ends;
  REQUIRE(pipe(ends.data()) == 0);
  const std::string line(100, 'x');
  int written = 0;
  while (WriteWithoutBlocking(ends[1], line)) {
    ++written;
  }
  CHECK(written > 100);

  SUBCASE("and receives lines again once it reads") {
    std::string buffer(64 * 1024, ' ');
    CHECK(read(ends[0], buffer.data(), buffer.size()) > 0);
    CHECK(WriteWithoutBlocking(ends[1], line));
  }
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("lines of one kind are limited per second") {
  log_limiter limiter(3);
  for (int i = 0; i < 10; ++i) {
    CHECK(limiter.Admit("often", 5'000) == (i < 3));
  }
  CHECK(limiter.Admit("other", 5'000));
  CHECK(limiter.Admit("often", 6'000));
  CHECK(limiter.TakeDropped() == 7);
  CHECK(limiter.TakeDropped() == 0);
}

}  // namespace
}  // namespace wisteriaroute::base
