#ifndef LIBWISTERIAROUTE_CONFIG_CHANGES_H_
#define LIBWISTERIAROUTE_CONFIG_CHANGES_H_

#include <cstdint>
#include <span>
#include <vector>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::config {

/** What turns one set of objects into another. */
struct set_changes {
  /** Objects that are new or have another body, sorted. */
  std::vector<wire::config_object> changed;
  std::vector<wire::object_name> removed;

  bool empty() const { return changed.empty() && removed.empty(); }
  bool operator==(const set_changes&) const = default;
};

/** Changes from `from` to `to`. Neither needs to be sorted. */
set_changes Diff(std::span<const wire::config_object> from,
                 std::span<const wire::config_object> to);

/** What an operator's request changes in the objects that it is based on. */
set_changes Changes(const wire::publish_request& request,
                    std::span<const wire::config_object> base);

/**
 * Returns `objects` with the changes, sorted by kind and name. An object that
 * is both removed and changed stays, as changed. Removing an absent object
 * does nothing.
 */
std::vector<wire::config_object> Apply(
    std::span<const wire::config_object> objects,
    std::span<const wire::config_object> changed,
    std::span<const wire::object_name> removed);

/** A digest of kinds, names and bodies; their order has no effect. */
base::digest128 Digest(std::span<const wire::config_object> objects);

/** The objects of a revision. */
struct revision_objects {
  std::uint64_t revision = 0;
  std::vector<wire::config_object> objects;

  bool operator==(const revision_objects&) const = default;
};

enum class update_result : std::uint8_t {
  kApplied,
  /** The update's revision isn't above the one in force; ignore it. */
  kNotNewer,
  /** A delta against another revision; a snapshot is needed. */
  kOtherBase,
};

/** Applies a delta or a snapshot; `current` changes only for kApplied. */
update_result Apply(const wire::config_update& update,
                    revision_objects& current);

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_CHANGES_H_
