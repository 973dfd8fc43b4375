#ifndef LIBWISTERIAROUTE_SIDECAR_PLACEMENT_CACHE_H_
#define LIBWISTERIAROUTE_SIDECAR_PLACEMENT_CACHE_H_

#include <cstdint>
#include <map>

#include "libwisteriaroute/wire/rank_messages.h"

namespace wisteriaroute::sidecar {

/**
 * The whole placements of the last orders to prepare, by map version. Orders
 * may contain only the difference to one of them: the whole placement for each
 * of 63 ranks takes the coordinator's host 300 ms to send at 8 Mbit/s.
 */
class placement_cache {
 public:
  /**
   * Replaces the edits of an order to prepare by the placement that results and
   * remembers it. Returns false if the base isn't known or the result isn't
   * what the coordinator meant.
   */
  bool Expand(wire::rank_order& order);

  bool Knows(std::uint64_t version) const {
    return placements_.contains(version);
  }
  void Forget(std::uint64_t version) { placements_.erase(version); }
  void Clear() { placements_.clear(); }

 private:
  std::map<std::uint64_t, wire::expert_placement> placements_;
};

}  // namespace wisteriaroute::sidecar

#endif  // LIBWISTERIAROUTE_SIDECAR_PLACEMENT_CACHE_H_
