#include "libwisteriaroute/policy/rank_pace.h"

#include <algorithm>
#include <cmath>

namespace wisteriaroute::policy {

namespace {

// A smaller relative difference isn't worth a copy.
constexpr double kMinDifference = 0.15;
constexpr base::time_us kSlowAfterUs = 200'000;
constexpr base::time_us kRecoveredAfterUs = 1'000'000;

}  // namespace

bool NotePace(rank_pace& pace, double reported, base::time_us now_us) {
  const double target = std::max(reported, 1.0);
  if (std::abs(target - pace.planned) < kMinDifference * pace.planned) {
    pace.differs_since_us = 0;
    return false;
  }
  if (pace.differs_since_us == 0) {
    pace.differs_since_us = now_us;
  }
  const base::time_us needed_us =
      target > pace.planned ? kSlowAfterUs : kRecoveredAfterUs;
  if (now_us - pace.differs_since_us < needed_us) {
    return false;
  }
  pace.planned = target;
  pace.differs_since_us = 0;
  return true;
}

}  // namespace wisteriaroute::policy
