#include "libwisteriaroute/entry/step.h"

#include "libwisteriaroute/entry/agents.h"
#include "libwisteriaroute/entry/attempts.h"
#include "libwisteriaroute/entry/claims.h"
#include "libwisteriaroute/entry/quarantine.h"
#include "libwisteriaroute/entry/queue.h"
#include "libwisteriaroute/entry/receive.h"
#include "libwisteriaroute/entry/resend.h"
#include "libwisteriaroute/entry/streaming.h"
#include "libwisteriaroute/entry/timeouts.h"

namespace wisteriaroute::entry {

namespace {

template <typename... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
// clang 14 has no class template argument deduction for aggregates.
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

void HandleWork(step_context& step, const work_received& event) {
  const net::link_id link = event.link;
  std::visit(
      overloaded{
          [&](const wire::chunk& m) { HandleChunk(step, m); },
          [&](const wire::head& m) { HandleHead(step, m); },
          [&](const wire::finish& m) { HandleFinish(step, m); },
          [&](const wire::refused& m) { HandleRefused(step, m); },
          [&](const wire::failed& m) { HandleFailed(step, m); },
          [&](const wire::attempt_status& m) { HandleStatus(step, m); },
          [&](const wire::load_report& m) { HandleLoad(step, link, m); },
          [&](const wire::cache_hint& m) { HandleCacheHint(step, link, m); },
          [&](const wire::agent_state& m) { HandleAgentState(step, link, m); },
          // Messages that only entries send to agents.
          [&](const auto&) {
            step.Emit(count_metric{"wisteriaroute_unexpected_messages_total"});
          },
      },
      event.message);
}

void HandleControl(step_context& step, const control_received& event) {
  std::visit(
      overloaded{
          [&](const wire::member_update& m) { HandleMemberUpdate(step, m); },
          [&](const wire::quarantine_update& m) {
            HandleQuarantineUpdate(step, m);
          },
          [&](const wire::claim_reply& m) { HandleClaimReply(step, m); },
          [](const auto&) {},
      },
      event.message);
}

void ApplyConfiguration(step_context& step,
                        const configuration_applied& event) {
  entry_state& state = step.state;
  if (event.revision < state.revision || event.set == nullptr) {
    return;
  }
  state.configuration = event.set;
  state.revision = event.revision;
  state.workspace_of_key.clear();
  for (const auto& [name, owner] : event.set->workspaces) {
    for (const std::string& digest : owner.key_digests) {
      state.workspace_of_key[digest] = name;
    }
  }
  step.Emit(
      add_timeline{.kind = "revision_in_force", .revision = event.revision});
  RebuildPools(step);
  UpdateDials(step);
}

void HandleTick(step_context& step, const tick& event) {
  step.state.random ^= event.seed;
  CheckTimeouts(step);
  CheckShutdown(step);
}

void HandleShutdown(step_context& step) {
  if (!step.state.stopping) {
    step.state.stopping = true;
    step.state.stopping_since_us = step.now_us;
    step.Emit(add_timeline{.kind = "stopping"});
  }
}

// Chunks are frequent and rarely free capacity for queued requests. If one
// does, for instance a last chunk that arrives after the finish message, the
// next event of another kind dispatches them.
bool MayFreeCapacity(const entry_event& event) {
  const auto* work = std::get_if<work_received>(&event);
  return work == nullptr || !std::holds_alternative<wire::chunk>(work->message);
}

}  // namespace

std::vector<entry_effect> Step(entry_state& state,
                               const entry_event& event,
                               base::time_us now_us) {
  std::vector<entry_effect> effects;
  step_context step{state, now_us, effects};
  std::visit(
      overloaded{
          [&](const http_received& e) { HandleHttp(step, e); },
          [&](const caller_left& e) { HandleCallerLeft(step, e); },
          [&](const agent_link_up& e) { HandleLinkUp(step, e); },
          [&](const agent_link_down& e) { HandleLinkDown(step, e); },
          [&](const work_received& e) { HandleWork(step, e); },
          [&](const control_received& e) { HandleControl(step, e); },
          [&](const control_opened&) {
            ResendClaims(step, true);
            ResendCrashReports(step);
          },
          [&](const control_dropped& e) {
            HandleClaimDropped(step, e.message);
          },
          [&](const lease_extended& e) {
            state.lease_until_us = std::max(state.lease_until_us, e.until_us);
          },
          [&](const configuration_applied& e) { ApplyConfiguration(step, e); },
          [&](const tick& e) { HandleTick(step, e); },
          [&](const shutdown&) { HandleShutdown(step); },
      },
      event);
  if (MayFreeCapacity(event)) {
    DispatchQueued(step);
  }
  return effects;
}

}  // namespace wisteriaroute::entry
