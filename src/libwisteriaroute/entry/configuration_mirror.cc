#include "libwisteriaroute/entry/configuration_mirror.h"

namespace wisteriaroute::entry {

bool Apply(configuration_mirror& mirror, const wire::config_update& update) {
  const bool snapshot = update.base_revision == 0;
  if (update.revision < mirror.revision ||
      (update.revision == mirror.revision && mirror.revision != 0) ||
      (!snapshot && update.base_revision != mirror.revision)) {
    return false;
  }
  if (snapshot) {
    mirror.objects.clear();
  }
  for (const wire::config_object& object : update.changed) {
    mirror.objects[{object.kind, object.name}] = object.body;
  }
  for (const wire::object_name& name : update.removed) {
    mirror.objects.erase(name);
  }
  mirror.revision = update.revision;
  return true;
}

std::vector<wire::config_object> Objects(const configuration_mirror& mirror) {
  std::vector<wire::config_object> out;
  out.reserve(mirror.objects.size());
  for (const auto& [name, body] : mirror.objects) {
    out.push_back({name.kind, name.name, body});
  }
  return out;
}

}  // namespace wisteriaroute::entry
