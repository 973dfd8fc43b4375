#include "libwisteriaroute/coordinator/coordinator.h"

#include <algorithm>

#include "libwisteriaroute/coordinator/map_change.h"

namespace wisteriaroute::coordinator {

namespace {

/**
 * Records the status of a rank. Returns false if it is invalid or belongs to
 * another group or to an older formation.
 */
bool RecordStatus(coordinator_state& state,
                  const rank_reported& event,
                  base::time_us now_us) {
  const wire::rank_status& status = event.status;
  if (status.group != state.group_name || status.rank >= status.ranks) {
    return false;
  }
  rank_group& group = state.group;
  if (status.formation > group.formation) {
    // The ranks keep no state of the previous formation.
    group = {.formation = status.formation, .last_active_us = now_us};
  } else if (status.formation < group.formation) {
    return false;
  }
  rank_view& view = group.ranks[status.rank];
  view.link = event.link;
  view.last_status_us = now_us;
  view.status = status;
  if (!status.experts.empty()) {
    view.experts = status.experts;
    view.experts_version = status.map_version;
  }
  group.last_version =
      std::max({group.last_version, status.map_version, status.prepared_version,
                status.armed_version});
  NoteStep(group.clock, status.step, now_us);
  if (policy::NotePace(
          view.pace,
          static_cast<double>(status.pace_permille) / wire::kHealthyPace,
          now_us)) {
    group.next_plan_us = now_us;
  }
  if (policy::NoteCounts(group.demand,
                         {.rank = status.rank,
                          .first_step = status.first_count_step,
                          .last_step = status.last_count_step,
                          .tokens = status.expert_tokens},
                         state.shape ? state.shape->experts : 0, now_us)) {
    group.last_active_us = now_us;
  }
  view.status.expert_tokens.clear();
  view.status.experts.clear();
  return true;
}

struct event_handler {
  coordinator_state& state;
  base::time_us now_us;
  coordinator_effects& out;

  void operator()(const coordination_granted& event) const {
    if (event.grant.term < state.term) {
      return;
    }
    if (event.grant.term > state.term) {
      state = {.term = event.grant.term, .group_name = event.grant.group};
      out.push_back(log_event{.kind = "coordinating",
                              .group = state.group_name,
                              .detail = std::to_string(state.term)});
    }
    if (event.grant.shape) {
      state.shape = event.grant.shape;
    }
  }

  void operator()(const coordination_lost&) const {
    if (state.term != 0) {
      out.push_back(log_event{.kind = "coordination_lost",
                              .group = state.group_name,
                              .detail = std::to_string(state.term)});
      state = {};
    }
  }

  void operator()(const rank_reported& event) const {
    if (state.term != 0 && RecordStatus(state, event, now_us) &&
        (state.group.change || state.group.demand.shift_detected_us != 0)) {
      AdvanceMapChange(state, now_us, out);
    }
  }

  void operator()(const coordinator_tick&) const {
    if (state.term != 0) {
      AdvanceMapChange(state, now_us, out);
    }
  }
};

}  // namespace

coordinator_effects Step(coordinator_state& state,
                         const coordinator_event& event,
                         base::time_us now_us) {
  coordinator_effects out;
  std::visit(event_handler{state, now_us, out}, event);
  return out;
}

}  // namespace wisteriaroute::coordinator
