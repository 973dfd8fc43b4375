#include "libwisteriaroute/agent/startup_pages.h"

#include <sys/mman.h>

#include <cstdint>
#include <fstream>
#include <sstream>
#include <string>

namespace wisteriaroute::agent {

void ReleaseStartupPages() {
  std::ifstream maps("/proc/self/maps");
  std::string line;
  while (std::getline(maps, line)) {
    std::istringstream fields(line);
    std::uintptr_t begin = 0;
    std::uintptr_t end = 0;
    char dash = 0;
    std::string access;
    std::string offset;
    std::string device;
    std::uint64_t inode = 0;
    fields >> std::hex >> begin >> dash >> end >> access >> offset >> device >>
        std::dec >> inode;
    // Program text is never modified, so the kernel can reload it from its
    // file. Read-only data may contain relocations, which would be lost.
    if (fields && access == "r-xp" && inode != 0) {
      madvise(reinterpret_cast<void*>(begin), end - begin, MADV_DONTNEED);
    }
  }
}

}  // namespace wisteriaroute::agent
