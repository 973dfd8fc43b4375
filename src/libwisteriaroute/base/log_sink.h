#ifndef LIBWISTERIAROUTE_BASE_LOG_SINK_H_
#define LIBWISTERIAROUTE_BASE_LOG_SINK_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::base {

/** Bounds the lines of each kind in a second, and counts what is left out. */
class log_limiter {
 public:
  explicit log_limiter(std::uint64_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  /** Whether a line of the kind may be written now. */
  bool Admit(std::string_view kind, time_ms now_ms);

  /** Lines that were left out since the last call. */
  std::uint64_t TakeDropped();

 private:
  struct window {
    time_ms second = 0;
    std::uint64_t lines = 0;
  };

  std::uint64_t lines_per_second_;
  std::map<std::string, window, std::less<>> windows_;
  std::uint64_t dropped_ = 0;
};

/**
 * Writes a line to a descriptor if that can't block, for instance because the
 * reader of a pipe has stopped. Returns whether it was written.
 */
bool WriteWithoutBlocking(int fd, std::string_view line);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_LOG_SINK_H_
