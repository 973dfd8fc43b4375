#ifndef LIBWISTERIAROUTE_CONTROL_GROUP_POLICY_H_
#define LIBWISTERIAROUTE_CONTROL_GROUP_POLICY_H_

#include "libwisteriaroute/config/object_set.h"
#include "libwisteriaroute/control/replica.h"
#include "libwisteriaroute/policy/expert_plan.h"

namespace wisteriaroute::control {

/** What skew and moves cost a group, from its configuration and step time. */
policy::plan_settings PlanSettings(const config::model_group& group,
                                   base::time_us step_time_us);

/**
 * Updates the load estimates with the reported tokens and sets `wanted` where a
 * change of the map pays for itself. Looks at each group once a map period, and
 * at once after `rebalance`.
 */
void ConsiderMaps(replica_state& state, const step_time& now);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_GROUP_POLICY_H_
