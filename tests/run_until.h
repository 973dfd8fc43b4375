#ifndef TESTS_RUN_UNTIL_H_
#define TESTS_RUN_UNTIL_H_

#include <functional>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/net/loop.h"

namespace wisteriaroute::testing {

/**
 * Runs the loop until the condition holds or the time limit expires; returns
 * whether the condition holds. The condition must not run the loop itself.
 */
inline bool RunUntil(net::loop& event_loop,
                     const std::function<bool()>& condition,
                     base::time_us limit_us = 10'000'000) {
  const base::time_us limit = base::MonotonicUs() + limit_us;
  net::timer poll(event_loop.ev(), [&] {
    if (condition() || base::MonotonicUs() > limit) {
      event_loop.Stop();
    }
  });
  poll.Start(1'000, 1'000);
  event_loop.Run();
  return condition();
}

}  // namespace wisteriaroute::testing

#endif  // TESTS_RUN_UNTIL_H_
