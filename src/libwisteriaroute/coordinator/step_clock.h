#ifndef LIBWISTERIAROUTE_COORDINATOR_STEP_CLOCK_H_
#define LIBWISTERIAROUTE_COORDINATOR_STEP_CLOCK_H_

#include <cstdint>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::coordinator {

/**
 * Estimates when the steps of a group begin, from the steps that its ranks
 * report, and how far ahead a step has to be for all ranks to be armed before
 * it begins.
 */
struct step_clock {
  std::uint64_t step = 0;
  /** When `step` was first reported. */
  base::time_us step_us = 0;
  /** Mean time of a pass; 0: unknown. */
  base::time_us pass_us = 0;
  /** Time from the first order to hold until all ranks are armed. */
  base::time_us arming_us = 30'000;
  /** Least distance; grows when orders to hold come too late. */
  std::uint64_t min_margin = 1;
};

/** Records a step that a rank reported. */
void NoteStep(step_clock& clock, std::uint64_t step, base::time_us now_us);

/** Records how long it took to arm all ranks. */
void NoteArming(step_clock& clock, base::time_us duration_us);

/** Records that an order to hold came too late. */
void NoteLateHold(step_clock& clock);

/** Distance from the last reported step to the step to be held. */
std::uint64_t MarginSteps(const step_clock& clock, base::time_us now_us);

}  // namespace wisteriaroute::coordinator

#endif  // LIBWISTERIAROUTE_COORDINATOR_STEP_CLOCK_H_
