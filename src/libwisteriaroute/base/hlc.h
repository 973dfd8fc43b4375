#ifndef LIBWISTERIAROUTE_BASE_HLC_H_
#define LIBWISTERIAROUTE_BASE_HLC_H_

#include <cstdint>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::base {

/**
 * Hybrid logical clock: the upper 48 bits of a timestamp are wall milliseconds,
 * the lower 16 a counter. Timestamps order events causally across processes.
 */
class hybrid_clock {
 public:
  /** Returns the timestamp of a local event or of a message to send. */
  std::uint64_t Tick(time_ms wall_ms);

  /**
   * Merges the timestamp of a received message. Ignores one that is more than
   * 60 s ahead of the local wall time.
   */
  void Observe(std::uint64_t remote, time_ms wall_ms);

 private:
  std::uint64_t last_ = 0;
};

/** Wall milliseconds of a hybrid timestamp. */
constexpr time_ms HlcWallMs(std::uint64_t hlc) {
  return static_cast<time_ms>(hlc >> 16);
}

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_HLC_H_
