#ifndef LIBWISTERIAROUTE_CONTROL_GROUP_POLICY_H_
#define LIBWISTERIAROUTE_CONTROL_GROUP_POLICY_H_

#include "libwisteriaroute/config/object_set.h"
#include "libwisteriaroute/control/replica.h"
#include "libwisteriaroute/policy/expert_plan.h"

namespace wisteriaroute::control {

/** Cost parameters for PlanChange, from the configuration and step time. */
policy::plan_settings PlanSettings(const config::model_group& group,
                                   base::time_us step_time_us);

/**
 * Updates the load estimates with the reported tokens and sets the next map
 * of each group for which the benefit of a change exceeds its cost. Runs once
 * per `map_period_us` for each group, and immediately after a rebalance
 * request. Groups with a pending change are skipped.
 */
void PlanMapChanges(replica_state& state, const step_time& now);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_GROUP_POLICY_H_
