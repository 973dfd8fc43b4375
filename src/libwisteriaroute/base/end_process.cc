#include "libwisteriaroute/base/end_process.h"

#include <cstdio>
#include <cstdlib>

namespace wisteriaroute::base {

void EndProcess(int status) {
  std::fflush(nullptr);
  std::quick_exit(status);
}

}  // namespace wisteriaroute::base
