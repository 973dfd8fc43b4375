#include "libwisteriaroute/net/loop.h"

#include <doctest/doctest.h>

namespace wisteriaroute::net {
namespace {

constexpr base::time_us kBusyUs = 30'000;

TEST_CASE("TakeLongestTurn returns the longest busy time of the loop") {
  loop event_loop;
  timer busy(event_loop.ev(), [] {
    const base::time_us end = base::MonotonicUs() + kBusyUs;
    while (base::MonotonicUs() < end) {
    }
  });
  timer stop(event_loop.ev(), [&] { event_loop.Stop(); });
  busy.Start(1'000);
  stop.Start(3 * kBusyUs);
  event_loop.Run();
  CHECK(event_loop.TakeLongestTurn() >= kBusyUs);
  CHECK(event_loop.TakeLongestTurn() == 0);
}

}  // namespace
}  // namespace wisteriaroute::net
