#ifndef LIBWISTERIAROUTE_CONFIG_CHANGES_H_
#define LIBWISTERIAROUTE_CONFIG_CHANGES_H_

#include <cstdint>
#include <span>
#include <vector>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::config {

/** Differences between two sets of objects. */
struct set_changes {
  /** Objects that are new or have another body, sorted. */
  std::vector<wire::config_object> changed;
  std::vector<wire::object_name> removed;

  bool empty() const { return changed.empty() && removed.empty(); }
  bool operator==(const set_changes&) const = default;
};

/** Changes that turn `from` into `to`. Neither needs to be sorted. */
set_changes Diff(std::span<const wire::config_object> from,
                 std::span<const wire::config_object> to);

/** Changes that an operator's request makes to the objects it is based on. */
set_changes RequestedChanges(const wire::publish_request& request,
                             std::span<const wire::config_object> base);

/**
 * Returns `objects` with the changes applied, sorted by kind and name. An
 * object that is both removed and changed is kept with the change. Removing an
 * absent object has no effect.
 */
std::vector<wire::config_object> Apply(
    std::span<const wire::config_object> objects,
    std::span<const wire::config_object> changed,
    std::span<const wire::object_name> removed);

/** Digest of kinds, names and bodies; independent of the objects' order. */
base::digest128 Digest(std::span<const wire::config_object> objects);

/** The objects of a revision. */
struct revision_objects {
  std::uint64_t revision = 0;
  std::vector<wire::config_object> objects;

  bool operator==(const revision_objects&) const = default;
};

enum class update_result : std::uint8_t {
  kApplied,
  /** The update's revision isn't above the current one; ignore it. */
  kNotNewer,
  /** The delta is based on another revision; a snapshot is needed. */
  kBaseMismatch,
};

/** Applies a delta or a snapshot. Changes `current` only for kApplied. */
update_result Apply(const wire::config_update& update,
                    revision_objects& current);

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_CHANGES_H_
