#ifndef LIBWISTERIAROUTE_ENTRY_CONFIGURATION_MIRROR_H_
#define LIBWISTERIAROUTE_ENTRY_CONFIGURATION_MIRROR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::entry {

/** The published objects that control has sent. */
struct configuration_mirror {
  std::uint64_t revision = 0;
  /** Bodies by kind and name. */
  std::map<wire::object_name, std::string> objects;
};

/**
 * Takes over a snapshot, or a delta to the revision that is there. Returns
 * whether it did: a lower revision, and a delta to another base, is ignored.
 */
bool Apply(configuration_mirror& mirror, const wire::config_update& update);

std::vector<wire::config_object> Objects(const configuration_mirror& mirror);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_CONFIGURATION_MIRROR_H_
