#include "libwisteriaroute/base/hlc.h"

#include <algorithm>

namespace wisteriaroute::base {

namespace {

// Remote timestamps that are further ahead are ignored. Otherwise one host with
// a wrong clock would move the timestamps of all processes into the future.
constexpr time_ms kMaxAheadMs = 60'000;

}  // namespace

std::uint64_t hybrid_clock::Tick(time_ms wall_ms) {
  last_ = std::max(last_ + 1, static_cast<std::uint64_t>(wall_ms) << 16);
  return last_;
}

void hybrid_clock::Observe(std::uint64_t remote, time_ms wall_ms) {
  if (HlcWallMs(remote) <= wall_ms + kMaxAheadMs) {
    last_ = std::max(last_, remote);
  }
}

}  // namespace wisteriaroute::base
