#ifndef LIBWISTERIAROUTE_NET_ADDRESS_H_
#define LIBWISTERIAROUTE_NET_ADDRESS_H_

#include <sys/socket.h>

#include <string>
#include <string_view>

namespace wisteriaroute::net {

/** A resolved `IP:port`. */
struct socket_address {
  sockaddr_storage storage{};
  socklen_t length = 0;

  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
};

/** Parses `1.2.3.4:80` or `[::1]:80`. Throws std::invalid_argument. */
socket_address ParseAddress(std::string_view text);

/** Returns whether ParseAddress would accept `text`. */
bool IsAddress(std::string_view text);

/** Returns the local address of a socket as `IP:port`. */
std::string LocalAddress(int fd);

/**
 * Opens a non-blocking listening socket on `IP:port`. Throws
 * std::invalid_argument and std::system_error.
 */
int OpenListener(std::string_view address);

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_ADDRESS_H_
