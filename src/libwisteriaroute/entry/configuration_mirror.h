#ifndef LIBWISTERIAROUTE_ENTRY_CONFIGURATION_MIRROR_H_
#define LIBWISTERIAROUTE_ENTRY_CONFIGURATION_MIRROR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::entry {

/** This entry's copy of the configuration objects that control published. */
struct configuration_mirror {
  std::uint64_t revision = 0;
  /** Bodies by kind and name. */
  std::map<wire::object_name, std::string> objects;
};

/**
 * Applies a snapshot, or a delta based on the current revision. Returns false
 * and changes nothing if the revision is not newer or the base is another one.
 */
bool Apply(configuration_mirror& mirror, const wire::config_update& update);

std::vector<wire::config_object> Objects(const configuration_mirror& mirror);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_CONFIGURATION_MIRROR_H_
