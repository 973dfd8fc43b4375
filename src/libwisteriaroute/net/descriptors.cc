#include "libwisteriaroute/net/descriptors.h"

#include <sys/resource.h>

namespace wisteriaroute::net {

std::size_t DescriptorLimit() {
  // Linux's default, in case the limit can't be read.
  constexpr std::size_t kDefault = 1'024;
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : kDefault;
}

}  // namespace wisteriaroute::net
