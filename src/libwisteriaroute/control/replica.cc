#include "libwisteriaroute/control/replica.h"

#include <utility>

#include "libwisteriaroute/control/admin.h"
#include "libwisteriaroute/control/coordinators.h"
#include "libwisteriaroute/control/group_controller.h"
#include "libwisteriaroute/control/group_policy.h"
#include "libwisteriaroute/control/proposals.h"
#include "libwisteriaroute/control/server_reports.h"
#include "libwisteriaroute/control/sessions.h"
#include "libwisteriaroute/control/updates.h"

namespace wisteriaroute::control {

namespace {

/** The leader's actions after a command was applied, whoever proposed it. */
struct applied_command_handler {
  replica_state& state;
  const command_result& result;
  const step_time& now;
  replica_effects& out;

  void operator()(const publish_command& publish) const {
    const auto& outcome = std::get<publish_result>(result);
    if (outcome.code != publish_code::kOk || outcome.repeated) {
      return;
    }
    state.leadership->config.reset();
    out.push_back(record_event{{.kind = "revision_accepted",
                                .revision = outcome.revision,
                                .detail = publish.operation_id}});
    SendConfigToAll(state, now, out);
  }
  void operator()(const wire::publish_document& document) const {
    const auto& outcome = std::get<publish_result>(result);
    if (outcome.repeated) {
      return;
    }
    state.leadership->config.reset();
    SendChangedShapes(state, out);
    out.push_back(record_event{
        {.kind = "document_accepted",
         .revision = outcome.revision,
         .detail = std::to_string(document.body.size()) + " bytes"}});
    SendConfigToAll(state, now, out);
  }
  void operator()(const wire::drain_request& drain) const {
    if (!std::get<change_result>(result).changed) {
      return;
    }
    out.push_back(record_event{{.kind = drain.drained ? "drained" : "undrained",
                                .server = drain.name}});
    state.leadership->drained_changed = true;
    FlushMembers(state, now, out);
  }
  void operator()(const wire::evacuation_order& order) const {
    if (std::get<change_result>(result).changed) {
      out.push_back(record_event{
          {.kind = order.evacuated ? "evacuation_started" : "evacuation_ended",
           .detail = order.data_center}});
    }
  }
  void operator()(const departure_command& departure) const {
    HandleDeparture(state, departure, now, out);
  }
  void operator()(const form_group_command& form) const {
    RecordGroupEvent(form.group, "group_formed", form.generation);
  }
  void operator()(const stage_map_command& stage) const {
    RecordGroupEvent(stage.group, "map_staged", stage.generation);
  }
  void operator()(const arm_map_command& arm) const {
    RecordGroupEvent(arm.group, "map_armed", arm.step);
  }
  void operator()(const decide_map_command& decide) const {
    RecordGroupEvent(decide.group,
                     decide.commit ? "map_committed" : "map_aborted",
                     decide.step);
  }
  void operator()(const grant_command& grant) const {
    if (std::get<change_result>(result).changed) {
      out.push_back(record_event{{.kind = "coordinator_granted",
                                  .group = grant.group,
                                  .detail = grant.name}});
      SendGrant(state, grant.group, out);
    }
  }
  template <typename Other>
  void operator()(const Other&) const {
    if (const auto* changes = std::get_if<quarantine_changes>(&result)) {
      SendQuarantine(state, *changes, out);
    }
  }

 private:
  void RecordGroupEvent(const std::string& group,
                        const char* kind,
                        std::uint64_t number) const {
    if (std::get<change_result>(result).changed) {
      out.push_back(record_event{
          {.kind = kind, .group = group, .detail = std::to_string(number)}});
      AdvanceGroups(state, now, out);
    }
  }
};

struct message_handler {
  replica_state& state;
  net::link_id link;
  const step_time& now;
  replica_effects& out;

  void operator()(const wire::admin_request& request) const {
    HandleAdmin(state, link, request, now, out);
  }
  void operator()(const wire::session_hello& hello) const {
    if (RequireLeader()) {
      HandleHello(state, link, hello, now, out);
    } else if (hello.info.role == wire::member_role::kEntry &&
               state.leader_name.empty()) {
      // Entries are notified of the next leader because callers wait for them.
      // Other members retry on their own, spread over time.
      state.entries_awaiting_leader.insert(link);
    }
  }
  void operator()(const wire::session_heartbeat& heartbeat) const {
    if (RequireLeader()) {
      HandleHeartbeat(state, link, heartbeat, now, out);
    }
  }
  void operator()(const wire::session_goodbye&) const {
    if (state.leadership) {
      HandleGoodbye(state, link, out);
    }
  }
  void operator()(const wire::claim_request& request) const { Claim(request); }
  void operator()(const wire::claim_move& move) const { Claim(move); }
  void operator()(const wire::claim_outcome& outcome) const { Claim(outcome); }
  void operator()(const wire::suspect_report& report) const {
    if (RequireLeader()) {
      Propose(state, report, std::monostate{}, now, out);
    }
  }
  void operator()(const wire::suspect_cleared& cleared) const {
    if (RequireLeader()) {
      Propose(state, cleared, std::monostate{}, now, out);
    }
  }
  void operator()(const wire::crash_reports& reports) const {
    if (RequireLeader()) {
      Propose(state, reports, std::monostate{}, now, out);
    }
  }
  void operator()(const wire::answers_begun& answers) const {
    if (RequireLeader()) {
      Propose(state, answers, std::monostate{}, now, out);
    }
  }
  void operator()(const wire::server_crash& crash) const {
    if (RequireLeader()) {
      HandleServerCrash(state, link, crash, out);
    }
  }
  void operator()(const wire::order_result& result) const {
    if (state.leadership) {
      HandleOrderResult(state, link, result, now, out);
    }
  }
  void operator()(const wire::group_report& report) const {
    if (state.leadership) {
      HandleGroupReport(state, link, report);
    }
  }
  void operator()(const wire::rank_presence& presence) const {
    if (RequireLeader()) {
      HandlePresence(state, link, presence, now, out);
    }
  }
  // Ignores messages that only members receive.
  template <typename Other>
  void operator()(const Other&) const {}

 private:
  bool RequireLeader() const {
    if (!state.leadership) {
      out.push_back(send_to_links{
          {link}, wire::not_leader{state.leader_name, state.leader_address}});
      return false;
    }
    return true;
  }
  template <typename Message>
  void Claim(const Message& message) const {
    if (RequireLeader()) {
      ProposeClaim(state, link, message, now, out);
    }
  }
};

struct event_handler {
  replica_state& state;
  const step_time& now;
  replica_effects& out;

  void operator()(const became_leader& event) const {
    StepDown();
    state.leadership.emplace();
    state.leadership->term = event.term;
    state.leadership->elected_us = now.now_us;
    state.leadership->next_clock_tick_us = now.now_us;
    state.leader_name = state.self_name;
    state.leader_address = state.self_address;
    out.push_back(record_event{
        {.kind = "leader_elected", .detail = std::to_string(event.term)}});
    NotifyWaitingEntries();
  }

  void operator()(const became_follower& event) const {
    state.leader_name = event.leader_name;
    state.leader_address = event.leader_address;
    StepDown();
    if (!state.leader_name.empty()) {
      NotifyWaitingEntries();
    }
  }

  void operator()(const entry_committed& event) const {
    const command value = DecodeCommand(event.payload);
    const command_result result = Apply(state.durable, value, event.index);
    state.applied_index = event.index;
    if (state.leadership) {
      if (std::holds_alternative<wire::evacuation_order>(value.body)) {
        // Before the acknowledgement, and also for an order that changes
        // nothing: its first acknowledgement may have been lost with a leader.
        SendEvacuations(state, now, out);
      }
      AnswerProposal(state, value, result, out);
      std::visit(applied_command_handler{state, result, now, out}, value.body);
    }
  }

  void operator()(const state_installed& event) const {
    state.durable = DecodeState(event.payload);
    state.applied_index = event.index;
  }

  void operator()(const proposal_failed& event) const {
    if (state.leadership) {
      FailProposal(state, event, out);
    }
  }

  void operator()(const replica_change_done& event) const {
    if (!state.leadership) {
      return;
    }
    const auto node = state.leadership->proposals.extract(event.proposal_id);
    if (node.empty()) {
      return;
    }
    const auto& waiter = std::get<pending_admin>(node.mapped());
    out.push_back(
        send_to_links{{waiter.link},
                      wire::admin_reply{.correlation = waiter.correlation,
                                        .result = wire::admin_result::kOk,
                                        .json = R"({"changed":true})"}});
  }

  void operator()(const leader_confirmed& event) const {
    if (!state.leadership || state.leadership->confirm_id != event.confirm_id) {
      return;
    }
    state.leadership->confirm_id = 0;
    const confirm_batch batch =
        std::exchange(state.leadership->current_batch, confirm_batch{});
    if (event.confirmed) {
      AcknowledgeHeartbeats(state, batch.heartbeats, out);
    }
    for (const waiting_read& read : batch.reads) {
      if (event.confirmed) {
        AnswerRead(state, read, now, out);
      } else {
        RefuseRead(read, out);
      }
    }
    BeginConfirm(state, now, out);
  }

  void operator()(const link_closed& event) const {
    state.entries_awaiting_leader.erase(event.link);
    if (state.leadership) {
      DetachSession(state, event.link);
      DetachRanks(*state.leadership, event.link, now);
    }
  }

  void operator()(const link_received& event) const {
    std::visit(message_handler{state, event.link, now, out}, event.message);
  }

  void operator()(const map_change_requested& event) const {
    if (state.leadership) {
      HandleMapChangeRequested(state, event);
    }
  }

  void operator()(const replicas_updated& event) const {
    state.replicas = event.replicas;
  }

  void operator()(const replica_tick&) const {
    if (!state.leadership) {
      return;
    }
    ExpireSessions(state, now, out);
    FlushMembers(state, now, out);
    BeginConfirm(state, now, out);
    PlanMapChanges(state, now);
    AdvanceGroups(state, now, out);
    GrantCoordinators(state, now, out);
    if (now.now_us >= state.leadership->next_clock_tick_us) {
      state.leadership->next_clock_tick_us =
          now.now_us + state.options.clock_tick_us;
      Propose(state, clock_tick{KeyRetentionMs(state)}, std::monostate{}, now,
              out);
    }
  }

 private:
  void NotifyWaitingEntries() const {
    const std::set<net::link_id> links =
        std::exchange(state.entries_awaiting_leader, {});
    if (!links.empty()) {
      out.push_back(send_to_links{
          {links.begin(), links.end()},
          wire::not_leader{state.leader_name, state.leader_address}});
    }
  }

  /**
   * Ends leadership: fails pending proposals and reads, and sends not_leader to
   * all members, which then look for the new leader.
   */
  void StepDown() const {
    if (!state.leadership) {
      return;
    }
    out.push_back(
        record_event{{.kind = "leadership_lost",
                      .detail = std::to_string(state.leadership->term)}});
    FailAllProposals(state, out);
    for (const auto* batch :
         {&state.leadership->current_batch, &state.leadership->next_batch}) {
      for (const waiting_read& read : batch->reads) {
        RefuseRead(read, out);
      }
    }
    std::vector<net::link_id> links;
    for (const auto& [link, name] : state.leadership->session_links) {
      links.push_back(link);
    }
    state.leadership.reset();
    if (!links.empty()) {
      out.push_back(send_to_links{
          std::move(links),
          wire::not_leader{state.leader_name, state.leader_address}});
    }
  }
};

}  // namespace

replica_effects Step(replica_state& state,
                     const replica_event& event,
                     const step_time& now) {
  replica_effects out;
  std::visit(event_handler{state, now, out}, event);
  return out;
}

}  // namespace wisteriaroute::control
