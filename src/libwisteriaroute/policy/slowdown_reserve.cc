#include "libwisteriaroute/policy/slowdown_reserve.h"

#include <algorithm>

namespace wisteriaroute::policy {

namespace {

// Spans two or three passes, so that a single late event isn't taken for a slow
// group.
constexpr base::time_us kWindowUs = 120'000;
constexpr std::uint32_t kMinEvents = 5;
// A slowdown is remembered for one to two periods. Demand shifts every 3 s to
// 5 s.
constexpr base::time_us kMemoryPeriodUs = 6'000'000;
// Leaves a margin for the variation of passes and for the delivery of events to
// the caller.
constexpr double kObjectiveFraction = 0.93;
// With a lower limit, requests would be refused while most slots are free.
constexpr double kMinSlotFraction = 0.5;

}  // namespace

void NoteSlowdown(slowdown_reserve& reserve,
                  double gap_ms,
                  double streams,
                  const pass_time& pass,
                  base::time_us now_us) {
  if (now_us - reserve.period_start_us >= kMemoryPeriodUs) {
    const bool follows = now_us - reserve.period_start_us < 2 * kMemoryPeriodUs;
    reserve.previous_max_slowdown = follows ? reserve.max_slowdown : 0;
    reserve.max_slowdown = 0;
    reserve.period_start_us = now_us;
  }
  // Measurements from before an interruption say nothing about the present.
  const bool stale = now_us - reserve.window_start_us > 2 * kWindowUs;
  if (reserve.events == 0 || stale) {
    reserve.gap_sum_ms = 0;
    reserve.streams_sum = 0;
    reserve.events = 0;
    reserve.window_start_us = now_us;
  }
  reserve.gap_sum_ms += gap_ms;
  reserve.streams_sum += streams;
  ++reserve.events;
  if (now_us - reserve.window_start_us < kWindowUs ||
      reserve.events < kMinEvents) {
    return;
  }
  const double expected_ms =
      pass.DurationMs(reserve.streams_sum / reserve.events);
  if (expected_ms > 0) {
    reserve.max_slowdown =
        std::max(reserve.max_slowdown,
                 reserve.gap_sum_ms / reserve.events / expected_ms);
  }
  reserve.gap_sum_ms = 0;
  reserve.streams_sum = 0;
  reserve.events = 0;
}

double StreamsWithReserve(const slowdown_reserve& reserve,
                          const pass_time& pass,
                          double objective_ms,
                          double slots) {
  const double worst =
      std::max(reserve.max_slowdown, reserve.previous_max_slowdown);
  if (worst <= 0 || pass.ms_per_stream <= 0 || objective_ms <= 0) {
    return slots;
  }
  const double streams =
      (kObjectiveFraction * objective_ms / worst - pass.fixed_ms) /
      pass.ms_per_stream;
  return std::clamp(streams, kMinSlotFraction * slots, slots);
}

}  // namespace wisteriaroute::policy
