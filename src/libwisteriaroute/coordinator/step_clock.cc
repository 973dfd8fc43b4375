#include "libwisteriaroute/coordinator/step_clock.h"

#include <algorithm>

namespace wisteriaroute::coordinator {

namespace {

constexpr std::uint64_t kMaxMarginSteps = 64;
// Steps over which a pass time is averaged; after a larger gap the group was
// idle or held.
constexpr std::uint64_t kMaxStepGap = 4;
constexpr base::time_us kMaxPassUs = 2'000'000;
constexpr base::time_us kAverage = 4;
// A step is reported this long after it began.
constexpr base::time_us kReportDelayUs = 5'000;

}  // namespace

void NoteStep(step_clock& clock, std::uint64_t step, base::time_us now_us) {
  if (step <= clock.step) {
    return;
  }
  const std::uint64_t steps = step - clock.step;
  const base::time_us elapsed_us = now_us - clock.step_us;
  if (clock.step_us != 0 && steps <= kMaxStepGap) {
    const base::time_us pass_us =
        std::min(elapsed_us / static_cast<base::time_us>(steps), kMaxPassUs);
    clock.pass_us = clock.pass_us == 0
                        ? pass_us
                        : clock.pass_us + (pass_us - clock.pass_us) / kAverage;
  }
  clock.step = step;
  clock.step_us = now_us;
}

// A group that waits for the arming of one rank loses more than one that
// switches a pass later, so the estimate follows slow armings at once.
void NoteArming(step_clock& clock, base::time_us duration_us) {
  clock.arming_us =
      duration_us > clock.arming_us
          ? std::min(duration_us, kMaxPassUs)
          : clock.arming_us + (duration_us - clock.arming_us) / kAverage;
  clock.min_margin = std::max<std::uint64_t>(clock.min_margin - 1, 1);
}

void NoteLateHold(step_clock& clock) {
  clock.min_margin = std::min(clock.min_margin * 2, kMaxMarginSteps);
}

std::uint64_t MarginSteps(const step_clock& clock, base::time_us now_us) {
  if (clock.pass_us <= 0) {
    return std::max<std::uint64_t>(clock.min_margin, 2);
  }
  const base::time_us elapsed_us = now_us - clock.step_us + kReportDelayUs;
  const base::time_us left_us =
      std::max<base::time_us>(clock.pass_us - elapsed_us, 0);
  std::uint64_t margin = 1;
  if (clock.arming_us > left_us) {
    margin += static_cast<std::uint64_t>(
        (clock.arming_us - left_us + clock.pass_us - 1) / clock.pass_us);
  }
  return std::clamp(margin, clock.min_margin, kMaxMarginSteps);
}

}  // namespace wisteriaroute::coordinator
