#ifndef TESTS_POLICY_WINDOWED_DEMAND_TRACKER_H_
#define TESTS_POLICY_WINDOWED_DEMAND_TRACKER_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <numeric>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "libwisteriaroute/base/clock.h"

/**
 * Baseline: the tracker before the sequential test. It compares sums of the
 * last report of each rank with shares of 200 ms before, and takes counts as
 * new by when they arrive.
 */
namespace wisteriaroute::policy::windowed {

// In a shorter period a rank counts too few tokens.
inline constexpr base::time_us kMinPeriodUs = 100'000;
// Time that a report covers at most; a pass may take as long.
inline constexpr base::time_us kMaxWindowUs = 200'000;
// Bound of the counts sent by all ranks of a group to its coordinator. Most
// counts take one byte; the slowest hosts have 6 Mbit/s for all traffic.
inline constexpr std::uint64_t kMaxCountsPerSecond = 250'000;
// Older reports are ignored: their ranks are delayed.
inline constexpr base::time_us kMaxReportAgeUs = 350'000;
// Part of the expected reports that must be present; some ranks, such as idle
// ones, send none.
inline constexpr double kMinReportFraction = 0.75;
// Reports that arrive at least this long after a shift was detected are taken
// to contain only counts from after it.
inline constexpr base::time_us kShiftGuardUs = 50'000;
// Longest time for which such reports are collected.
inline constexpr base::time_us kMaxCollectUs = 200'000;
// Interval at which the shares used for comparison advance. Longer than the
// shortest period, in which each rank reports once.
inline constexpr base::time_us kBaselineIntervalUs = 200'000;
// With fewer tokens the shares are mostly noise.
inline constexpr std::uint64_t kMinTokens = 10'000;
// Part of the demand of a set that must have moved to other experts to count as
// a shift. Counts over 100 ms differ by up to a tenth without any shift.
inline constexpr double kShiftThreshold = 0.2;

struct count_timing {
  base::time_us period_us = 0;
  base::time_us window_us = 0;
};

struct demand_tracker {
  struct report {
    std::vector<std::uint32_t> tokens;
    base::time_us at_us = 0;
  };

  std::map<std::uint32_t, report> reports;
  std::vector<double> baseline;
  std::vector<double> next_baseline;
  base::time_us next_baseline_us = 0;
  base::time_us shift_detected_us = 0;
};

inline std::vector<double> Shares(std::span<const std::uint64_t> tokens,
                                  std::uint32_t experts) {
  std::vector<double> shares;
  shares.reserve(tokens.size());
  for (std::size_t first = 0; first < tokens.size(); first += experts) {
    const auto set = tokens.subspan(first, experts);
    const auto sum = static_cast<double>(
        std::accumulate(set.begin(), set.end(), std::uint64_t{0}));
    for (const std::uint64_t count : set) {
      shares.push_back(sum > 0 ? static_cast<double>(count) / sum : 0);
    }
  }
  return shares;
}

/** Part of the demand that moved to other experts, mean over the sets. */
inline double ShiftedFraction(std::span<const double> from,
                              std::span<const double> to,
                              std::uint32_t experts) {
  double sum = 0;
  for (std::size_t i = 0; i < from.size(); ++i) {
    sum += std::abs(from[i] - to[i]);
  }
  const double sets =
      static_cast<double>(from.size()) / static_cast<double>(experts);
  return sum / 2 / sets;
}

inline count_timing CountTiming(std::uint32_t ranks, std::size_t numbers) {
  const auto period_us = static_cast<base::time_us>(
      std::uint64_t{ranks} * numbers * 1'000'000 / kMaxCountsPerSecond);
  const base::time_us period = std::max(kMinPeriodUs, period_us);
  return {.period_us = period, .window_us = std::min(period, kMaxWindowUs)};
}

inline bool NoteCounts(demand_tracker& tracker,
                       std::uint32_t rank,
                       std::span<const std::uint32_t> tokens,
                       base::time_us now_us) {
  const bool counted = std::ranges::any_of(
      tokens, [](std::uint32_t count) { return count > 0; });
  if (counted) {
    tracker.reports[rank] = {{tokens.begin(), tokens.end()}, now_us};
  }
  return counted;
}

inline std::optional<std::vector<std::uint64_t>> SettledDemand(
    demand_tracker& tracker,
    std::uint32_t ranks,
    std::uint32_t experts,
    base::time_us now_us) {
  if (experts == 0 || tracker.reports.empty()) {
    return std::nullopt;
  }
  const count_timing timing =
      CountTiming(ranks, tracker.reports.begin()->second.tokens.size());
  base::time_us since_us = now_us - kMaxReportAgeUs;
  base::time_us span_us = kMaxReportAgeUs;
  if (tracker.shift_detected_us != 0) {
    since_us = std::max(since_us, tracker.shift_detected_us + kShiftGuardUs);
    span_us = std::min(timing.period_us, kMaxCollectUs);
    if (now_us < since_us + span_us) {
      return std::nullopt;
    }
  }
  std::vector<std::uint64_t> sum;
  std::uint32_t fresh = 0;
  for (const auto& [rank, one] : tracker.reports) {
    if (one.at_us < since_us) {
      continue;
    }
    ++fresh;
    sum.resize(std::max(sum.size(), one.tokens.size()));
    for (std::size_t i = 0; i < one.tokens.size(); ++i) {
      sum[i] += one.tokens[i];
    }
  }
  const double expected =
      ranks * std::min(1.0, static_cast<double>(span_us) /
                                static_cast<double>(timing.period_us));
  if (fresh < expected * kMinReportFraction) {
    return std::nullopt;
  }
  const std::uint64_t total =
      std::accumulate(sum.begin(), sum.end(), std::uint64_t{0});
  if (total < kMinTokens || sum.size() % experts != 0) {
    return std::nullopt;
  }
  std::vector<double> shares = Shares(sum, experts);
  const bool moved =
      tracker.baseline.size() == shares.size() &&
      ShiftedFraction(tracker.baseline, shares, experts) > kShiftThreshold;
  if (moved && tracker.shift_detected_us == 0) {
    tracker.shift_detected_us = now_us;
  }
  if (moved && tracker.shift_detected_us == now_us) {
    return std::nullopt;
  }
  // Ranks report a shift one after the other, so each report changes the sum
  // only slightly. The shares used for comparison must predate all of these
  // reports.
  if (tracker.shift_detected_us != 0 || tracker.baseline.empty()) {
    tracker.baseline = shares;
    tracker.next_baseline = std::move(shares);
    tracker.next_baseline_us = now_us;
  } else if (now_us - tracker.next_baseline_us >= kBaselineIntervalUs) {
    tracker.baseline = std::exchange(tracker.next_baseline, std::move(shares));
    tracker.next_baseline_us = now_us;
  }
  tracker.shift_detected_us = 0;
  return sum;
}

}  // namespace wisteriaroute::policy::windowed

#endif  // TESTS_POLICY_WINDOWED_DEMAND_TRACKER_H_
