#include "libwisteriaroute/base/clock.h"

#include <ctime>

namespace wisteriaroute::base {

namespace {

time_us ReadUs(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return static_cast<time_us>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1'000;
}

}  // namespace

// Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME advances while the machine is
// suspended, so leases and deadlines also expire during a suspend.
time_us MonotonicUs() {
  return ReadUs(CLOCK_BOOTTIME);
}

time_ms MonotonicMs() {
  return MonotonicUs() / 1'000;
}

time_ms WallMs() {
  return ReadUs(CLOCK_REALTIME) / 1'000;
}

}  // namespace wisteriaroute::base
