#include "libwisteriaroute/policy/stream_limit.h"

#include <algorithm>

namespace wisteriaroute::policy {

namespace {

// Covers events of several passes but is short compared with a burst.
constexpr base::time_us kWindowUs = 200'000;
// Ratios of the mean time between events to the objective above which the limit
// decreases and below which it increases. Single gaps vary by about a quarter
// around the mean.
constexpr double kDecreaseAbove = 0.8;
constexpr double kIncreaseBelow = 0.65;
constexpr double kDecreaseFactor = 0.9;
constexpr double kIncreaseStreams = 0.4;
constexpr double kMinStreams = 2;

}  // namespace

void NoteGap(stream_limit& limit,
             double gap_ms,
             double objective_ms,
             double slots,
             base::time_us now_us) {
  if (limit.streams == 0) {
    limit.streams = slots;
    limit.window_start_us = now_us;
  }
  limit.gap_sum_ms += gap_ms;
  limit.objective_sum_ms += objective_ms;
  if (now_us - limit.window_start_us < kWindowUs) {
    return;
  }
  const double pace = limit.gap_sum_ms / limit.objective_sum_ms;
  if (pace > kDecreaseAbove) {
    limit.streams *= kDecreaseFactor;
  } else if (pace < kIncreaseBelow) {
    limit.streams += kIncreaseStreams;
  }
  limit.streams =
      std::clamp(limit.streams, std::min(kMinStreams, slots), slots);
  limit.gap_sum_ms = 0;
  limit.objective_sum_ms = 0;
  limit.window_start_us = now_us;
}

double StreamsAllowed(const stream_limit& limit, double slots) {
  return limit.streams == 0 ? slots : std::min(limit.streams, slots);
}

}  // namespace wisteriaroute::policy
