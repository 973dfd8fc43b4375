#ifndef LIBWISTERIAROUTE_WIRE_PLACEMENT_EDITS_H_
#define LIBWISTERIAROUTE_WIRE_PLACEMENT_EDITS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/wire/rank_messages.h"

namespace wisteriaroute::wire {

/** The lists that differ, regardless of the order within a list. Both
 * placements must have the same sets and ranks. */
std::vector<placement_edit> DiffPlacement(const expert_placement& from,
                                          const expert_placement& to);

/** Applies edits. Returns false, with `placement` unspecified, if one doesn't
 * fit. */
bool ApplyEdits(expert_placement& placement,
                std::span<const placement_edit> edits);

/** Digest that doesn't depend on the order within a list. */
std::uint64_t PlacementDigest(const expert_placement& placement);

std::string PackEdits(std::span<const placement_edit> edits);
/** Decodes the output of PackEdits. Throws malformed_message. */
std::vector<placement_edit> UnpackEdits(std::string_view bytes);

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_PLACEMENT_EDITS_H_
