#include "libwisteriaroute/agent/random.h"
#include "libwisteriaroute/agent/step_context.h"

namespace wisteriaroute::agent {

namespace {

constexpr base::time_us kHealthPollUs = 250'000;
// This plus the poll period is less than the 2 s within which a frozen server
// must be detected.
constexpr base::time_us kHealthTimeoutUs = 1'500'000;
constexpr std::uint32_t kRefusalsUntilLost = 2;
// Consecutive successful polls before a server gets work, at the start and
// after it was lost.
constexpr std::uint32_t kSuccessesUntilHealthy = 2;
// Incarnations change at most every 500 ms, so this many cover the windows for
// which attempts are remembered.
constexpr std::size_t kMaxOwnIncarnations = 256;

std::vector<base::digest128> RunningFingerprints(const agent_state& state) {
  std::vector<base::digest128> running;
  for (const wire::attempt_id& id : state.running) {
    running.push_back(state.attempts.at(id).body->work->fingerprint);
  }
  return running;
}

void HandleBackendLost(step_context& context, std::string_view why) {
  agent_state& state = context.state;
  const std::vector<base::digest128> suspects = RunningFingerprints(state);
  const std::uint64_t lost = state.incarnation;
  state.health.healthy = false;
  state.health.consecutive_successes = 0;
  ChangeIncarnation(state);
  context.Emit(record_event{.kind = "backend_lost",
                            .detail = std::string(why) + ", " +
                                      std::to_string(suspects.size()) +
                                      " attempts were running",
                            .state_change = true});
  context.Count("agent_backend_lost_total");
  const std::set<wire::attempt_id> running = state.running;
  for (const wire::attempt_id& id : running) {
    context.Emit(cancel_call{id});
    FailAttempt(context, id, wire::failure_reason::kBackendLost,
                wire::outcome::kUnknown, suspects);
  }
  while (!state.queue.empty()) {
    RefuseAttempt(context, state.queue.begin()->second,
                  wire::refusal_reason::kUnhealthy);
  }
  if (!suspects.empty()) {
    context.Emit(send_control{wire::suspect_report{.agent = state.options.name,
                                                   .backend_incarnation = lost,
                                                   .running = suspects}});
  }
  FailPendingStageOrders(context);
  // The prefix cache of the lost process no longer exists.
  state.reports.cached_blocks.clear();
  state.reports.cache_sequence = 0;
}

/**
 * Handles attempts whose connection was lost although the server is alive:
 * resumes a stream once, otherwise fails the attempt.
 */
void ResolveBrokenAttempts(step_context& context, std::uint64_t poll) {
  const std::set<wire::attempt_id> running = context.state.running;
  for (const wire::attempt_id& id : running) {
    attempt& target = context.state.attempts.at(id);
    if (target.stage != attempt_stage::kBroken ||
        target.body->first_poll_after_loss > poll) {
      continue;
    }
    attempt_body& body = *target.body;
    const bool generation = body.work->kind != wire::work_kind::kPlain;
    if (generation && body.resume_count == 0) {
      ++body.resume_count;
      body.last_data_us = context.now_us;
      target.stage = attempt_stage::kRunning;
      context.Count("agent_streams_resumed_total");
      context.Emit(start_call{.work = body.work,
                              .resume_from = body.response.end_offset,
                              .is_reconnect = true});
      continue;
    }
    FailAttempt(context, id, wire::failure_reason::kBackendError,
                OutcomeSoFar(target));
  }
}

bool HasBrokenAttempt(const agent_state& state) {
  for (const wire::attempt_id& id : state.running) {
    if (state.attempts.at(id).stage == attempt_stage::kBroken) {
      return true;
    }
  }
  return false;
}

void HandleOk(step_context& context, const health_result& event) {
  backend_health& health = context.state.health;
  const bool restarted = !health.instance.empty() && !event.instance.empty() &&
                         health.instance != event.instance;
  if (restarted && health.healthy) {
    HandleBackendLost(context, "restarted");
  }
  health.instance = event.instance;
  health.last_ok_us = context.now_us;
  health.consecutive_refusals = 0;
  ++health.consecutive_successes;
  if (!health.healthy &&
      health.consecutive_successes >= kSuccessesUntilHealthy) {
    health.healthy = true;
    context.Emit(record_event{.kind = "backend_healthy", .state_change = true});
  }
  ResolveBrokenAttempts(context, event.poll);
  StartQueued(context);
}

}  // namespace

void ChangeIncarnation(agent_state& state) {
  state.incarnation = NextRandom(state.random_state);
  state.own_incarnations.push_back(state.incarnation);
  if (state.own_incarnations.size() > kMaxOwnIncarnations) {
    state.own_incarnations.pop_front();
  }
}

std::uint64_t PollHealth(step_context& context) {
  const std::uint64_t poll = context.state.health.next_poll++;
  context.Emit(poll_backend{.kind = poll_kind::kHealth, .number = poll});
  return poll;
}

void Handle(step_context& context, const health_result& event) {
  backend_health& health = context.state.health;
  if (event.ok) {
    HandleOk(context, event);
    return;
  }
  health.consecutive_successes = 0;
  health.consecutive_refusals =
      event.refused ? health.consecutive_refusals + 1 : 0;
  if (health.healthy && event.refused &&
      (health.consecutive_refusals >= kRefusalsUntilLost ||
       HasBrokenAttempt(context.state))) {
    HandleBackendLost(context, "connection refused");
  }
}

void CheckHealth(step_context& context) {
  backend_health& health = context.state.health;
  if (health.healthy &&
      context.now_us - health.last_ok_us >= kHealthTimeoutUs) {
    HandleBackendLost(context, "no answer to health polls");
  }
  if (context.now_us >= health.next_poll_us) {
    health.next_poll_us = context.now_us + kHealthPollUs;
    PollHealth(context);
  }
}

}  // namespace wisteriaroute::agent
