#ifndef LIBWISTERIAROUTE_GATEWAY_RETRY_BUDGET_H_
#define LIBWISTERIAROUTE_GATEWAY_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::gateway {

struct retry_limits {
  /** Retries allowed per request in the window. */
  double ratio = 0.1;
  /** Retries allowed in the window in addition to those. */
  double floor = 3;
  base::time_us window_us = 10'000'000;
};

/**
 * Bounds the retries that this entry sends to one service within a sliding
 * window. All entries together stay within the limits of the deployment,
 * because each entry counts only its own requests and the floor is divided
 * among the entries.
 */
class retry_budget {
 public:
  void CountRequest(base::time_us now_us, const retry_limits& limits);

  /** Takes one retry from the budget. Returns false if none is left. */
  bool Take(base::time_us now_us, const retry_limits& limits);

  /** Number of retries left in the window. */
  double Left(base::time_us now_us, const retry_limits& limits);

 private:
  /** Drops times that are older than the window. */
  void Forget(base::time_us now_us, const retry_limits& limits);

  std::deque<base::time_us> requests_;
  std::deque<base::time_us> retries_;
};

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_RETRY_BUDGET_H_
