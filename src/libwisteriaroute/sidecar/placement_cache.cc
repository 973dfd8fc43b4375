#include "libwisteriaroute/sidecar/placement_cache.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/wire/placement_edits.h"

namespace wisteriaroute::sidecar {

namespace {

// The map in use, the one in preparation, and those that preparations replaced.
// An older map can't come into use any more, since versions only increase.
constexpr std::size_t kMaxPlacements = 8;

}  // namespace

bool placement_cache::Expand(wire::rank_order& order) {
  if (order.base_version != 0) {
    const auto base = placements_.find(order.base_version);
    if (base == placements_.end()) {
      return false;
    }
    wire::expert_placement placement = base->second;
    if (!wire::ApplyEdits(placement, order.edits) ||
        wire::PlacementDigest(placement) != order.placement_digest) {
      placements_.erase(base);
      return false;
    }
    order.placement = std::move(placement);
    order.base_version = 0;
    order.edits.clear();
  }
  // Some ranks get the whole placement and some the edits of one that they
  // have. The group needs the same lists in the same order at all ranks.
  for (auto& ranks : order.placement) {
    for (wire::expert_list& list : ranks) {
      std::ranges::sort(list);
    }
  }
  placements_[order.version] = order.placement;
  while (placements_.size() > kMaxPlacements) {
    placements_.erase(placements_.begin());
  }
  return true;
}

}  // namespace wisteriaroute::sidecar
