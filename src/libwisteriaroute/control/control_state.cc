#include "libwisteriaroute/control/control_state.h"

#include <algorithm>

namespace wisteriaroute::control {

namespace {

struct applier {
  control_state& state;
  std::uint64_t index;

  command_result operator()(const clock_tick& tick) {
    ExpireClaims(state.claims, tick.retention_ms, state.time_ms);
    ExpireEvacuationEnds(state.evacuations, state.time_ms);
    ExpireDepartures(state.departures, state.time_ms);
    return ExpireSuspects(state.quarantine, state.time_ms);
  }
  command_result operator()(const publish_command& publish) {
    return Publish(state.config, publish, state.time_ms);
  }
  command_result operator()(const wire::publish_document& document) {
    return PublishDocument(state.config, document);
  }
  command_result operator()(const claim_command& claim) {
    return Claim(state.claims, claim.request, claim.limits, state.time_ms);
  }
  command_result operator()(const wire::claim_move& move) {
    return Move(state.claims, move);
  }
  command_result operator()(const wire::claim_outcome& outcome) {
    return RecordOutcome(state.claims, outcome);
  }
  command_result operator()(const wire::drain_request& drain) {
    const bool changed = drain.drained ? state.drained.insert(drain.name).second
                                       : state.drained.erase(drain.name) > 0;
    return change_result{changed};
  }
  command_result operator()(const wire::evacuation_order& order) {
    return change_result{
        ApplyEvacuation(state.evacuations, order, index, state.time_ms)};
  }
  command_result operator()(const departure_command& departure) {
    return change_result{
        RecordDeparture(state.departures, departure, state.time_ms)};
  }
  command_result operator()(const wire::suspect_report& report) {
    return ReportSuspects(state.quarantine, report, state.time_ms);
  }
  command_result operator()(const wire::suspect_cleared& cleared) {
    return ClearSuspect(state.quarantine, cleared.fingerprint);
  }
  command_result operator()(const wire::crash_reports& reports) {
    return ReportCrashes(state.quarantine, reports, state.time_ms);
  }
  command_result operator()(const wire::answers_begun& answers) {
    return NoteAnswers(state.quarantine, answers, state.time_ms);
  }
  command_result operator()(const wire::release_quarantine& release) {
    return Release(state.quarantine, release.fingerprint);
  }
  command_result operator()(const grant_command& grant) {
    granted_coordinator& held = state.coordinators[grant.group];
    if (held.term != grant.replaces) {
      return change_result{};
    }
    held = {.name = grant.name,
            .address = grant.address,
            .incarnation = grant.incarnation,
            .term = index};
    return change_result{true};
  }
  template <typename GroupCommand>
  command_result operator()(const GroupCommand& group_command) {
    return change_result{ApplyGroup(state.groups, group_command, index)};
  }
};

}  // namespace

command_result Apply(control_state& state,
                     const command& value,
                     std::uint64_t index) {
  // The clock of a new leader may be behind that of the previous one.
  state.time_ms = std::max(state.time_ms, value.wall_ms);
  return std::visit(applier{state, index}, value.body);
}

}  // namespace wisteriaroute::control
