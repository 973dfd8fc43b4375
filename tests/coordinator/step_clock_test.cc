#include "libwisteriaroute/coordinator/step_clock.h"

#include <doctest/doctest.h>

namespace wisteriaroute::coordinator {
namespace {

step_clock Clock(base::time_us pass_us, base::time_us now_us) {
  step_clock clock;
  for (std::uint64_t step = 1; step <= 20; ++step) {
    NoteStep(clock, step, now_us - (20 - static_cast<int>(step)) * pass_us);
  }
  return clock;
}

// A step that is too near begins before all ranks are armed, and the group
// waits; one that is too far delays the map by a pass each.
TEST_CASE("the step to be held is as far ahead as arming takes") {
  const base::time_us now_us = 10'000'000;
  step_clock clock = Clock(50'000, now_us);
  NoteArming(clock, 30'000);
  CHECK(MarginSteps(clock, now_us) == 1);
  CHECK(MarginSteps(clock, now_us + 40'000) == 2);
  NoteArming(clock, 140'000);
  CHECK(MarginSteps(clock, now_us) == 3);

  SUBCASE("and farther after orders to hold that came too late") {
    NoteLateHold(clock);
    NoteLateHold(clock);
    CHECK(MarginSteps(clock, now_us) == 4);
    for (int i = 0; i < 100; ++i) {
      NoteArming(clock, 10'000);
    }
    CHECK(MarginSteps(clock, now_us) == 1);
  }

  SUBCASE("and isn't the next one while the time of a pass is unknown") {
    CHECK(MarginSteps(step_clock(), now_us) == 2);
  }

  SUBCASE("and an idle time between two passes isn't taken for a pass") {
    NoteStep(clock, 40, now_us + 60'000'000);
    CHECK(clock.pass_us == 50'000);
  }
}

}  // namespace
}  // namespace wisteriaroute::coordinator
