#ifndef LIBWISTERIAROUTE_RAFT_MEMBERSHIP_H_
#define LIBWISTERIAROUTE_RAFT_MEMBERSHIP_H_

#include "libwisteriaroute/raft/step_context.h"

namespace wisteriaroute::raft {

void OnChangeReplicas(step_context& step, const change_replicas& event);

/**
 * Leader: makes a voter that lost its data directory a learner, and promotes
 * learners that were marked for it and have caught up.
 */
void MaintainReplicas(step_context& step);

}  // namespace wisteriaroute::raft

#endif  // LIBWISTERIAROUTE_RAFT_MEMBERSHIP_H_
