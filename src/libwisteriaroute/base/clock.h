#ifndef LIBWISTERIAROUTE_BASE_CLOCK_H_
#define LIBWISTERIAROUTE_BASE_CLOCK_H_

#include <cstdint>

namespace wisteriaroute::base {

/** Milliseconds of the monotonic clock unless a name states another clock. */
using time_ms = std::int64_t;
/** Microseconds of the monotonic clock. */
using time_us = std::int64_t;

/**
 * Current time of the monotonic clock (CLOCK_BOOTTIME). Only for daemons:
 * reducers take the time from their events.
 */
time_us MonotonicUs();
time_ms MonotonicMs();

/** Current wall time in milliseconds since the Unix epoch. */
time_ms WallMs();

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_CLOCK_H_
