#include "libwisteriaroute/agent/agent.h"

#include <algorithm>

#include "libwisteriaroute/agent/step_context.h"

namespace wisteriaroute::agent {

namespace {

// Shortest gap between ticks that counts as a pause of this process. Ticks are
// 50 ms apart, so load on the host alone does not explain such a gap.
constexpr base::time_us kMinProcessPauseUs = 700'000;

void Handle(step_context& context, const entry_up& event) {
  context.state.reports.entry_links.insert(event.link);
  SendInitialReports(context, event.link);
}

void Handle(step_context& context, const entry_down& event) {
  HandleEntryDown(context, event.link);
}

void Handle(step_context& context, const entry_received& event) {
  HandleWork(context, event.link, event.message);
}

void Handle(step_context& context, const lease_extended& event) {
  agent_state& state = context.state;
  state.lease_until_us = std::max(state.lease_until_us, event.until_us);
  state.orders.highest_fencing =
      std::max(state.orders.highest_fencing, event.fencing);
  state.orders.fencing_known = true;
}

void HandleConfig(agent_state& state, const wire::config_update& update) {
  // Ignore a delta for another base revision. The leader sees the agent's
  // revision in the next heartbeat and sends the missing changes.
  const bool applies =
      update.base_revision == 0 || update.base_revision == state.revision;
  if (applies && update.revision > state.revision) {
    state.revision = update.revision;
  }
}

void Handle(step_context& context, const control_received& event) {
  agent_state& state = context.state;
  if (const auto* order = std::get_if<wire::order>(&event.message)) {
    HandleOrder(context, *order);
  } else if (const auto* config =
                 std::get_if<wire::config_update>(&event.message)) {
    HandleConfig(state, *config);
  } else if (const auto* members =
                 std::get_if<wire::member_update>(&event.message)) {
    const bool drained =
        std::ranges::count(members->drained, state.options.name) > 0;
    if (drained != state.drained) {
      state.drained = drained;
      context.Emit(record_event{.kind = drained ? "drained" : "undrained",
                                .state_change = true});
    }
  }
}

void Handle(step_context& context, const session_opened&) {
  context.state.reports.member_sent = false;
}

void Handle(step_context& context, const stop_requested&) {
  agent_state& state = context.state;
  if (!state.stopping) {
    state.stopping = true;
    state.stop_deadline_us = context.now_us + state.options.stop_limit_us;
    context.Emit(record_event{.kind = "leaving", .state_change = true});
  }
}

void CheckStop(step_context& context) {
  agent_state& state = context.state;
  if (!state.stopping || state.stopped) {
    return;
  }
  if (context.now_us >= state.stop_deadline_us) {
    const std::set<wire::attempt_id> left = state.running;
    for (const wire::attempt_id& id : left) {
      const wire::outcome ran = OutcomeSoFar(state.attempts.at(id));
      context.Emit(cancel_call{id});
      FailAttempt(context, id, wire::failure_reason::kCancelled, ran);
    }
    while (!state.queue.empty()) {
      RefuseAttempt(context, state.queue.begin()->second,
                    wire::refusal_reason::kLeaving);
    }
  }
  if (state.running.empty() && state.queue.empty()) {
    state.stopped = true;
    context.Emit(stop_process{});
  }
}

/**
 * Extends the timeouts of the backend server by a pause of this process. The
 * agent neither polls nor reads during the pause, so silence of the backend
 * server in that time does not mean that it failed.
 */
void CompensateProcessPause(step_context& context) {
  agent_state& state = context.state;
  const base::time_us pause_us = context.now_us - state.last_tick_us;
  if (state.last_tick_us != 0 && pause_us >= kMinProcessPauseUs) {
    state.health.last_ok_us += pause_us;
    for (const wire::attempt_id& id : state.running) {
      state.attempts.at(id).body->last_data_us += pause_us;
    }
    context.Emit(
        record_event{.kind = "process_paused",
                     .detail = std::to_string(pause_us / 1'000) + " ms",
                     .state_change = true});
  }
  state.last_tick_us = context.now_us;
}

void Handle(step_context& context, const tick&) {
  if (context.now_us >= context.state.window_until_us ||
      context.state.ids_in_window >= context.state.options.max_window_ids) {
    BeginWindow(context);
  }
  CompensateProcessPause(context);
  CheckHealth(context);
  CheckAttempts(context);
  CheckGroup(context);
  CheckReports(context);
}

}  // namespace

agent_state StartAgent(agent_options options,
                       std::uint64_t seed,
                       base::time_us now_us) {
  agent_state state;
  state.options = std::move(options);
  state.random_state = seed;
  state.reports.models = state.options.models;
  ChangeIncarnation(state);
  state.window_until_us = now_us + state.options.window_us;
  state.health.last_ok_us = now_us;
  return state;
}

bool IsAccepting(const agent_state& state, base::time_us now_us) {
  return state.health.healthy && !state.stopping && !state.drained &&
         now_us < state.lease_until_us;
}

std::vector<agent_effect> Step(agent_state& state,
                               const agent_event& event,
                               base::time_us now_us) {
  step_context context{.state = state, .now_us = now_us, .effects = {}};
  std::visit([&](const auto& alternative) { Handle(context, alternative); },
             event);
  CheckStop(context);
  ReportState(context);
  return std::move(context.effects);
}

}  // namespace wisteriaroute::agent
