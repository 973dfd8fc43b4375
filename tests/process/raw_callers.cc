#include "tests/process/raw_callers.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <system_error>

#include "libwisteriaroute/net/address.h"

namespace wisteriaroute::testing {

namespace {

// Keeps unread bytes out of the kernel, which is shared by all tests.
constexpr int kReceiveBytes = 16 * 1024;
constexpr int kPollMs = 20;
constexpr std::size_t kBeginningBytes = 100;

}  // namespace

raw_callers::raw_callers(std::string_view address, std::size_t count) {
  const net::socket_address to = net::ParseAddress(address);
  for (std::size_t i = 0; i < count; ++i) {
    const int fd = socket(to.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBytes, sizeof kReceiveBytes);
    if (fd < 0 || connect(fd, to.get(), to.length) != 0) {
      throw std::runtime_error("a caller can't connect");
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    callers_.push_back({.fd = fd});
  }
}

raw_callers::~raw_callers() {
  Close();
}

void raw_callers::Disconnect(caller& one) {
  close(one.fd);
  one.fd = -1;
}

bool raw_callers::SendSome(caller& one, const caller_input& input) {
  while (one.fd >= 0 && one.sent < input.bytes) {
    std::string_view piece = input.prefix;
    if (one.sent < piece.size()) {
      piece.remove_prefix(one.sent);
    } else {
      piece = input.unit;
      piece.remove_prefix((one.sent - input.prefix.size()) % piece.size());
    }
    piece = piece.substr(0, input.bytes - one.sent);
    const ssize_t count =
        send(one.fd, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) {
        return true;
      }
      Disconnect(one);
      return false;
    }
    one.sent += static_cast<std::size_t>(count);
  }
  return false;
}

void raw_callers::Send(const caller_input& input, base::time_us limit_us) {
  const base::time_us end_us = base::MonotonicUs() + limit_us;
  bool sending = true;
  while (sending && base::MonotonicUs() < end_us) {
    sending = false;
    std::vector<pollfd> blocked;
    for (caller& one : callers_) {
      if (SendSome(one, input)) {
        sending = true;
        blocked.push_back({.fd = one.fd, .events = POLLOUT, .revents = 0});
      }
    }
    if (sending) {
      poll(blocked.data(), blocked.size(), kPollMs);
    }
  }
}

void raw_callers::SendByte(char byte) {
  for (caller& one : callers_) {
    if (one.fd >= 0 && send(one.fd, &byte, 1, MSG_NOSIGNAL) < 0 &&
        errno != EAGAIN && errno != EWOULDBLOCK) {
      Disconnect(one);
    }
  }
}

void raw_callers::Read(std::size_t bytes) {
  std::string buffer(bytes, '\0');
  for (caller& one : callers_) {
    if (one.fd < 0) {
      continue;
    }
    const ssize_t count = recv(one.fd, buffer.data(), buffer.size(), 0);
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
      Disconnect(one);
    } else if (count > 0 && one.beginning.size() < kBeginningBytes) {
      one.beginning.append(buffer, 0, static_cast<std::size_t>(count));
    }
  }
}

std::size_t raw_callers::connected() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      callers_, [](const caller& one) { return one.fd >= 0; }));
}

void raw_callers::Close() {
  for (caller& one : callers_) {
    if (one.fd >= 0) {
      Disconnect(one);
    }
  }
}

std::size_t PeakMemoryKb(int pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:")) {
      return std::strtoul(line.c_str() + std::string_view("VmHWM:").size(),
                          nullptr, 10);
    }
  }
  return 0;
}

std::size_t OpenDescriptors(int pid) {
  std::error_code error;
  const std::filesystem::directory_iterator all(
      "/proc/" + std::to_string(pid) + "/fd", error);
  return error ? 0
               : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

}  // namespace wisteriaroute::testing
