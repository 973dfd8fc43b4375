#ifndef LIBWISTERIAROUTE_NET_DESCRIPTORS_H_
#define LIBWISTERIAROUTE_NET_DESCRIPTORS_H_

#include <cstddef>

namespace wisteriaroute::net {

/** Returns how many descriptors the process may open (RLIMIT_NOFILE). */
std::size_t DescriptorLimit();

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_DESCRIPTORS_H_
