#include "libwisteriaroute/base/log_sink.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <string>
#include <utility>

namespace wisteriaroute::base {

namespace {

constexpr time_ms kSecondMs = 1'000;

}  // namespace

bool log_limiter::Admit(std::string_view kind, time_ms now_ms) {
  auto found = windows_.find(kind);
  if (found == windows_.end()) {
    found = windows_.emplace(std::string(kind), window()).first;
  }
  window& current = found->second;
  if (current.second != now_ms / kSecondMs) {
    current = {.second = now_ms / kSecondMs};
  }
  if (current.lines >= lines_per_second_) {
    ++dropped_;
    return false;
  }
  ++current.lines;
  return true;
}

std::uint64_t log_limiter::TakeDropped() {
  return std::exchange(dropped_, 0);
}

bool WriteWithoutBlocking(int fd, std::string_view line) {
  pollfd writable{.fd = fd, .events = POLLOUT, .revents = 0};
  if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
    return false;
  }
  // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
  std::string cut;
  if (line.size() > PIPE_BUF) {
    cut = std::string(line.substr(0, PIPE_BUF - 1)) + "\n";
    line = cut;
  }
  return write(fd, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

}  // namespace wisteriaroute::base
