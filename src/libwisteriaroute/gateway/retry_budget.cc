#include "libwisteriaroute/gateway/retry_budget.h"

namespace wisteriaroute::gateway {

void retry_budget::CountRequest(base::time_us now_us,
                                const retry_limits& limits) {
  Forget(now_us, limits);
  requests_.push_back(now_us);
}

bool retry_budget::Take(base::time_us now_us, const retry_limits& limits) {
  if (Left(now_us, limits) < 1) {
    return false;
  }
  retries_.push_back(now_us);
  return true;
}

double retry_budget::Left(base::time_us now_us, const retry_limits& limits) {
  Forget(now_us, limits);
  return limits.floor + limits.ratio * static_cast<double>(requests_.size()) -
         static_cast<double>(retries_.size());
}

void retry_budget::Forget(base::time_us now_us, const retry_limits& limits) {
  for (auto* times : {&requests_, &retries_}) {
    while (!times->empty() && times->front() <= now_us - limits.window_us) {
      times->pop_front();
    }
  }
}

}  // namespace wisteriaroute::gateway
