#ifndef LIBWISTERIAROUTE_BASE_CLOCK_H_
#define LIBWISTERIAROUTE_BASE_CLOCK_H_

#include <cstdint>

namespace wisteriaroute::base {

/** Milliseconds, of a monotonic clock unless a name says otherwise. */
using time_ms = std::int64_t;
/** Microseconds of a monotonic clock. */
using time_us = std::int64_t;

/** Reads CLOCK_BOOTTIME. For daemons only; reducers get times in events. */
time_us MonotonicUs();
time_ms MonotonicMs();

/** Milliseconds since the Unix epoch. */
time_ms WallMs();

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_CLOCK_H_
