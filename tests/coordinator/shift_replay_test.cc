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
};

std::vector<replay_case> Cases() {
  return {
      {"63 ranks", {.ranks = 63, .shape = Shape(8, 252, 4, 2)}},
      {"24 ranks",
       {.ranks = 24,
        .shape = Shape(16, 96, 4, 2),
        .shift_period_us = 3'200'000}},
      {"24 ranks with 4 spare slots",
       {.ranks = 24,
        .shape = Shape(16, 96, 4, 4),
        .shift_period_us = 2'400'000}},
      {"63 ranks with few requests",
       {.ranks = 63, .shape = Shape(8, 252, 4, 2), .choices = 32}},
  };
}

TEST_CASE("the map follows shifts of demand") {
  for (replay_case& one : Cases()) {
    if (const char* seconds = std::getenv("REPLAY_SECONDS")) {
      one.settings.duration_us = std::atoll(seconds) * 1'000'000;
    }
    const replay_result result = Replay(one.settings);
    std::cout << one.name << ": " << Describe(one.settings, result);
    CHECK(result.consistent);
  }
}

}  // namespace
}  // namespace wisteriaroute::coordinator
