#ifndef LIBWISTERIAROUTE_POLICY_PAUSE_RAMP_H_
#define LIBWISTERIAROUTE_POLICY_PAUSE_RAMP_H_

#include <cstdint>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/**
 * Upper bound of the random delay after a server's pause ends. Every entry that
 * the server refused learns nearly the same end of the pause and holds requests
 * for it. To avoid a burst, each entry resumes after a random delay with one
 * request and may have one more in flight for each response received, because a
 * response reports the load that the other entries put on the server.
 */
inline constexpr base::time_us kRampSpreadUs = 200'000;

/** Time at which this entry resumes sending: the end of the pause plus a random
 * delay below `kRampSpreadUs`. */
base::time_us RampStartUs(base::time_us pause_ends_us, std::uint64_t random);

/** Number of requests that this entry may have in flight at the server after
 * `answers` responses since the pause; infinite once the ramp is over. */
double RequestsAfterPause(int answers);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_PAUSE_RAMP_H_
