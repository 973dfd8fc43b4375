#ifndef LIBWISTERIAROUTE_RAFT_MEMBERSHIP_H_
#define LIBWISTERIAROUTE_RAFT_MEMBERSHIP_H_

#include "libwisteriaroute/raft/step_context.h"

namespace wisteriaroute::raft {

void OnChangeReplicas(step_context& step, const change_replicas& event);

/**
 * Called by the leader. Demotes a voter that lost its data directory to a
 * learner, and promotes learners with promote_when_ready that have caught up.
 * Appends at most one change.
 */
void MaintainReplicas(step_context& step);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_MEMBERSHIP_H_
