#ifndef LIBWISTERIAROUTE_GATEWAY_RETRY_BUDGET_H_
#define LIBWISTERIAROUTE_GATEWAY_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::gateway {

struct retry_limits {
  /** Repeats that are allowed for each request. */
  double ratio = 0.1;
  /** Repeats that are allowed besides, in a window. */
  double floor = 3;
  base::time_us window_us = 10'000'000;
};

/**
 * Bounds the repeats that this entry sends to one service in any window. The
 * limits of all entries together stay within the deployment's, since each
 * counts its own requests only and the floor is divided among them.
 */
class retry_budget {
 public:
  void CountRequest(base::time_us now_us, const retry_limits& limits);

  /** Takes one repeat; false if none is left. */
  bool Take(base::time_us now_us, const retry_limits& limits);

  /** Repeats that are left. */
  double Left(base::time_us now_us, const retry_limits& limits);

 private:
  void Forget(base::time_us now_us, const retry_limits& limits);

  std::deque<base::time_us> requests_;
  std::deque<base::time_us> repeats_;
};

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_RETRY_BUDGET_H_
