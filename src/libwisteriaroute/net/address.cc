#include "libwisteriaroute/net/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <stdexcept>
#include <system_error>

namespace wisteriaroute::net {

namespace {

constexpr int kListenBacklog = 1'024;

[[noreturn]] void ThrowInvalid(std::string_view text) {
  throw std::invalid_argument("'" + std::string(text) +
                              "' is not an address of the form IP:port");
}

std::uint16_t ParsePort(std::string_view port, std::string_view whole) {
  std::uint16_t value = 0;
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), value);
  if (error != std::errc() || end != port.data() + port.size()) {
    ThrowInvalid(whole);
  }
  return value;
}

}  // namespace

socket_address ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    ThrowInvalid(text);
  }
  std::string host(text.substr(0, colon));
  const std::uint16_t port = ParsePort(text.substr(colon + 1), text);
  socket_address result;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(port);
    result.length = sizeof *v6;
    if (inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) != 1) {
      ThrowInvalid(text);
    }
    return result;
  }
  auto* v4 = reinterpret_cast<sockaddr_in*>(&result.storage);
  v4->sin_family = AF_INET;
  v4->sin_port = htons(port);
  result.length = sizeof *v4;
  if (inet_pton(AF_INET, host.c_str(), &v4->sin_addr) != 1) {
    ThrowInvalid(text);
  }
  return result;
}

bool IsAddress(std::string_view text) {
  try {
    ParseAddress(text);
    return true;
  } catch (const std::invalid_argument&) {
    return false;
  }
}

std::string LocalAddress(int fd) {
  sockaddr_storage storage{};
  socklen_t length = sizeof storage;
  getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length);
  std::array<char, INET6_ADDRSTRLEN> host{};
  if (storage.ss_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    inet_ntop(AF_INET6, &v6->sin6_addr, host.data(), host.size());
    return "[" + std::string(host.data()) +
           "]:" + std::to_string(ntohs(v6->sin6_port));
  }
  const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
  inet_ntop(AF_INET, &v4->sin_addr, host.data(), host.size());
  return std::string(host.data()) + ":" + std::to_string(ntohs(v4->sin_port));
}

int OpenListener(std::string_view address) {
  const socket_address parsed = ParseAddress(address);
  const int fd = socket(parsed.storage.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      bind(fd, parsed.get(), parsed.length) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const int error = errno;
    if (fd >= 0) {
      close(fd);
    }
    throw std::system_error(error, std::generic_category(),
                            "can't listen on " + std::string(address));
  }
  return fd;
}

}  // namespace wisteriaroute::net
