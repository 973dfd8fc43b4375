#ifndef LIBWISTERIAROUTE_CONTROL_REPLICA_MEMBERSHIP_H_
#define LIBWISTERIAROUTE_CONTROL_REPLICA_MEMBERSHIP_H_

#include <optional>
#include <span>
#include <string>

#include "libwisteriaroute/control/replica.h"
#include "libwisteriaroute/control/settings.h"
#include "libwisteriaroute/raft/raft.h"

namespace wisteriaroute::control {

/**
 * Measures the silence of other replicas without the pauses of this process,
 * which may be suspended: answers that came meanwhile are still to be read.
 */
class silence_clock {
 public:
  /** To be called at least every `period_us` while the process runs. */
  void Tick(base::time_us now_us, base::time_us period_us);
  base::time_ms SilentMs(base::time_us last_reply_us,
                         base::time_us now_us) const;

 private:
  base::time_us last_tick_us_ = 0;
  base::time_us running_since_us_ = 0;
};

/**
 * The change of the replica set that the leader should make next on a platform
 * that replaces hosts automatically. A connected replica that isn't in the set
 * is added as a learner, which is promoted when it has caught up with the log.
 * A silent replica is removed while at least `target_voters` voters are live,
 * so that it doesn't count for the quorum; it is added again if it reconnects.
 */
std::optional<raft::change_replicas> NextReplicaChange(
    std::span<const replica_view> replicas,
    std::span<const replica_address> connected,
    std::string_view self,
    std::size_t target_voters);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_REPLICA_MEMBERSHIP_H_
