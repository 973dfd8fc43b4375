#ifndef LIBWISTERIAROUTE_BASE_LOG_SINK_H_
#define LIBWISTERIAROUTE_BASE_LOG_SINK_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::base {

/** Limits the lines of each kind per second and counts the dropped ones. */
class log_limiter {
 public:
  explicit log_limiter(std::uint64_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  /** Returns whether a line of the kind may be written; counts it if not. */
  bool Admit(std::string_view kind, time_ms now_ms);

  /** Returns the number of lines dropped since the last call. */
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
 * Writes a line to a descriptor unless that would block, for instance because
 * the reader of a pipe has stopped. Truncates lines to PIPE_BUF bytes. Returns
 * whether the line was written.
 */
bool WriteWithoutBlocking(int fd, std::string_view line);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_LOG_SINK_H_
