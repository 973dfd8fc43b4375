#include "tests/coordinator/shift_replay.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <iostream>

namespace wisteriaroute::coordinator {
namespace {

// 420 MB over 44,000 Mbit/s.
constexpr std::uint64_t kCopyUs = 76'364;

wire::placement_shape Shape(std::uint32_t sets,
                            std::uint32_t experts,
                            std::uint32_t base_slots,
                            std::uint32_t spare) {
  return {.sets = sets,
          .experts = experts,
          .slots = base_slots + spare,
          .spare_slots = spare,
          .copy_us = kCopyUs};
}

struct replay_case {
  const char* name = "";
  replay_settings settings;
  /** Bounds of the result. The tracker that compared windows of 200 ms, with
   * whole placements and five copies a rank, exceeded each of them. */
  base::time_us median_in_force_us = 0;
  base::time_us longest_in_force_us = 0;
  double mean_skew = 0;
};

std::vector<replay_case> Cases() {
  return {
      {"63 ranks",
       {.ranks = 63, .shape = Shape(8, 252, 4, 2)},
       550'000,
       650'000,
       1.9},
      {"24 ranks",
       {.ranks = 24,
        .shape = Shape(16, 96, 4, 2),
        .shift_period_us = 3'200'000},
       400'000,
       450'000,
       1.6},
      {"24 ranks with 4 spare slots",
       {.ranks = 24, .shape = Shape(16, 96, 4, 4)},
       400'000,
       450'000,
       1.65},
      {"63 ranks with few requests",
       {.ranks = 63, .shape = Shape(8, 252, 4, 2), .choices = 32},
       600'000,
       700'000,
       2.0},
  };
}

replay_result Run(const char* name, replay_settings settings) {
  if (const char* seconds = std::getenv("REPLAY_SECONDS")) {
    settings.duration_us = std::atoll(seconds) * 1'000'000;
  }
  replay_result result = Replay(settings);
  std::cout << name << ": " << Describe(settings, result);
  return result;
}

TEST_CASE("the map follows shifts of demand") {
  for (const replay_case& one : Cases()) {
    CAPTURE(one.name);
    const replay_result result = Run(one.name, one.settings);
    CHECK(result.consistent);
    CHECK(MedianUs(result, &replay_stages::detected_us) <= 150'000);
    CHECK(MedianUs(result, &replay_stages::in_force_us) <=
          one.median_in_force_us);
    CHECK(LongestUs(result, &replay_stages::in_force_us) <=
          one.longest_in_force_us);
    CHECK(result.mean_skew <= one.mean_skew);
    for (std::size_t i = 0; i + 1 < result.shifts.size(); ++i) {
      CHECK(result.shifts[i].detected_us >= 0);
    }
    CHECK(result.false_alarms <= 1);
    CHECK(result.coordinator_bytes_in_per_s < 450'000);
  }
}

// A slow rank determines the time of each pass of its group.
TEST_CASE("a slow rank gets less load") {
  replay_settings settings{.ranks = 24,
                           .shape = Shape(16, 96, 4, 2),
                           .shift_period_us = 3'200'000,
                           .slow_pace = 2,
                           .slow_from_us = 6'000'000,
                           .slow_until_us = 60'000'000};
  const replay_result planned = Run("one rank at half speed", settings);
  settings.report_pace = false;
  const replay_result ignored = Run("the same, not reported", settings);
  CHECK(planned.consistent);
  CHECK(planned.mean_skew < 0.85 * ignored.mean_skew);
}

}  // namespace
}  // namespace wisteriaroute::coordinator
