#ifndef LIBWISTERIAROUTE_POLICY_PAUSE_RAMP_H_
#define LIBWISTERIAROUTE_POLICY_PAUSE_RAMP_H_

#include <cstdint>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/**
 * How work returns to a server that asked for a pause. Every entry that it
 * turned away knows nearly the same end and holds work for it, so each begins
 * somewhat later, by chance, with one request, and may have one more for each
 * answer: an answer tells what the other entries have there.
 */
inline constexpr base::time_us kRampSpreadUs = 200'000;

/** When this entry sends again, given the end of the pause. */
base::time_us RampBegins(base::time_us pause_ends_us, std::uint64_t random);

/** Requests that this entry may have there, by the answers since the pause. */
double RequestsAfterPause(int answers);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_PAUSE_RAMP_H_
