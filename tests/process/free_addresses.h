#ifndef TESTS_PROCESS_FREE_ADDRESSES_H_
#define TESTS_PROCESS_FREE_ADDRESSES_H_

#include <unistd.h>

#include <string>
#include <vector>

#include "libwisteriaroute/net/address.h"

namespace wisteriaroute::testing {

/**
 * One of four loopback IPs that belong to this process. Connections have local
 * ports on 127.0.0.1, and tests that run at the same time have other IPs, so
 * none of them takes a port that is free here.
 */
inline std::string LoopbackIp(unsigned index) {
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + (pid >> 14 & 63)) + "." +
         std::to_string(pid >> 6 & 255) + "." +
         std::to_string((pid & 63) * 4 + index);
}

/** Returns different addresses with free ports on LoopbackIp(0). */
inline std::vector<std::string> FreeAddresses(std::size_t count) {
  std::vector<std::string> addresses;
  std::vector<int> sockets;
  for (std::size_t i = 0; i < count; ++i) {
    sockets.push_back(net::OpenListener(LoopbackIp(0) + ":0"));
    addresses.push_back(net::LocalAddress(sockets.back()));
  }
  for (const int socket : sockets) {
    close(socket);
  }
  return addresses;
}

}  // namespace wisteriaroute::testing

#endif  // TESTS_PROCESS_FREE_ADDRESSES_H_
