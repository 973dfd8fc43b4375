#ifndef LIBWISTERIAROUTE_CONTROL_REPLICA_MEMBERSHIP_H_
#define LIBWISTERIAROUTE_CONTROL_REPLICA_MEMBERSHIP_H_

#include <optional>
#include <span>
#include <string>
#include <vector>

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

/** The members of the replica set as this replica sees them. */
std::vector<replica_view> ViewReplicas(const raft::raft_state& raft,
                                       const silence_clock& silence,
                                       base::time_us now_us);

/**
 * The change of the replica set that the leader should make next on a platform
 * that replaces hosts automatically.
 *
 * - A connected replica that isn't in the set is added as a learner.
 * - The number of voters is as large as the number of live replicas allows,
 *   and odd. The others are standbys: learners that hold the log.
 * - `target_voters` and one more all vote; the one that joined last has two
 *   votes. So those that remain decide even if a voter is removed without
 *   notice and another one, not the last, is lost at the same time.
 * - A standby takes the vote of a voter that is leaving or silent, in one
 *   change, so that the set isn't even meanwhile.
 * - Without a standby, and while at least `target_voters` others are live, the
 *   vote of a voter that is leaving or silent is dropped, and a replica that
 *   stays silent is removed. It is added again if it reconnects.
 */
std::optional<raft::change_replicas> NextReplicaChange(
    std::span<const replica_view> replicas,
    std::span<const replica_address> connected,
    std::string_view self,
    std::size_t target_voters);

/**
 * Whether a replica that was told to stop should go on until its vote has been
 * dropped or passed on. False if too few others are known, as in a restart
 * without a replacement: it then keeps its vote.
 */
bool AwaitsReplacement(const raft::raft_state& raft, std::size_t target_voters);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_REPLICA_MEMBERSHIP_H_
