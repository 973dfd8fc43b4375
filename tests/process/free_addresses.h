#ifndef TESTS_PROCESS_FREE_ADDRESSES_H_
#define TESTS_PROCESS_FREE_ADDRESSES_H_

#include <unistd.h>

#include <string>
#include <vector>

#include "libwisteriaroute/net/address.h"

namespace wisteriaroute::testing {

/**
 * Returns different loopback addresses with free ports. Another process may
 * take a port before the caller binds it.
 */
inline std::vector<std::string> FreeAddresses(std::size_t count) {
  std::vector<std::string> addresses;
  std::vector<int> sockets;
  for (std::size_t i = 0; i < count; ++i) {
    sockets.push_back(net::OpenListener("127.0.0.1:0"));
    addresses.push_back(net::LocalAddress(sockets.back()));
  }
  for (const int socket : sockets) {
    close(socket);
  }
  return addresses;
}

}  // namespace wisteriaroute::testing

#endif  // TESTS_PROCESS_FREE_ADDRESSES_H_
