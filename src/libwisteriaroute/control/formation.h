#ifndef LIBWISTERIAROUTE_CONTROL_FORMATION_H_
#define LIBWISTERIAROUTE_CONTROL_FORMATION_H_

#include <optional>
#include <span>
#include <string>

#include "libwisteriaroute/control/replica.h"
#include "libwisteriaroute/control/settings.h"
#include "libwisteriaroute/raft/raft.h"

namespace wisteriaroute::control {

/**
 * The change of the replica set that the leader should make next, for a
 * platform that replaces hosts by itself: a replica that has linked itself and
 * isn't in the set joins as a learner, and is promoted when it holds the log. A
 * voter that has been silent is removed once `target_voters` others are live,
 * so that it doesn't count for the quorum; it joins again if it comes back.
 */
std::optional<raft::change_replicas> NextReplicaChange(
    std::span<const replica_view> replicas,
    std::span<const replica_address> linked,
    std::string_view self,
    std::size_t target_voters);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_FORMATION_H_
