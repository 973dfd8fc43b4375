#include "libwisteriaroute/policy/pause_ramp.h"

#include <limits>

namespace wisteriaroute::policy {

namespace {

// Responses after which the ramp is over: about the number of requests that a
// server runs at once.
constexpr int kRampEndResponses = 16;

}  // namespace

base::time_us RampStartUs(base::time_us pause_ends_us, std::uint64_t random) {
  return pause_ends_us +
         static_cast<base::time_us>(random %
                                    static_cast<std::uint64_t>(kRampSpreadUs));
}

double RequestsAfterPause(int answers) {
  return answers < kRampEndResponses ? 1.0 + answers
                                     : std::numeric_limits<double>::infinity();
}

}  // namespace wisteriaroute::policy
