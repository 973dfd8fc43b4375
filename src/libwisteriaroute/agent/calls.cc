#include "libwisteriaroute/agent/step_context.h"

namespace wisteriaroute::agent {

namespace {

constexpr std::uint16_t kFirstServerError = 500;

/** Returns the attempt of a call, or null if it is not running. */
attempt* FindRunning(agent_state& state, const wire::attempt_id& id) {
  const auto it = state.attempts.find(id);
  return it != state.attempts.end() &&
                 it->second.stage == attempt_stage::kRunning
             ? &it->second
             : nullptr;
}

bool IsGeneration(const attempt& target) {
  return target.body->work->kind != wire::work_kind::kPlain;
}

}  // namespace

void Handle(step_context& context, const call_head& event) {
  attempt* target = FindRunning(context.state, event.attempt);
  if (target == nullptr || target->body->response.head) {
    return;
  }
  target->body->last_data_us = context.now_us;
  if (IsGeneration(*target) && event.status >= kFirstServerError) {
    context.Emit(cancel_call{event.attempt});
    FailAttempt(context, event.attempt, wire::failure_reason::kBackendError,
                wire::outcome::kUnknown);
    return;
  }
  response_buffer& response = target->body->response;
  context.state.buffered_bytes -= response.bytes;
  SetHead(response, {.attempt = event.attempt,
                     .status = event.status,
                     .headers = event.headers});
  context.state.buffered_bytes += response.bytes;
  SendToSubscribers(context, *target, *response.head);
  LimitBufferedBytes(context);
}

void Handle(step_context& context, const call_data& event) {
  attempt* target = FindRunning(context.state, event.attempt);
  if (target == nullptr || event.data.empty()) {
    return;
  }
  attempt_body& body = *target->body;
  body.last_data_us = context.now_us;
  SendToSubscribers(context, *target,
                    wire::chunk{.attempt = event.attempt,
                                .offset = body.response.end_offset,
                                .token_count = event.token_count,
                                .data = event.data});
  context.state.buffered_bytes -= body.response.bytes;
  Append(body.response, event.token_count, event.data,
         context.state.options.tail_bytes);
  context.state.buffered_bytes += body.response.bytes;
  LimitBufferedBytes(context);
}

void Handle(step_context& context, const call_finished& event) {
  agent_state& state = context.state;
  attempt* target = FindRunning(state, event.attempt);
  if (target == nullptr) {
    return;
  }
  state.running.erase(event.attempt);
  target->stage = attempt_stage::kFinished;
  target->ran = wire::outcome::kRan;
  attempt_body& body = *target->body;
  body.response.finish =
      wire::finish{.attempt = event.attempt,
                   .end_offset = body.response.end_offset,
                   .reason = event.reason,
                   .prompt_tokens = event.prompt_tokens,
                   .completion_tokens = event.completion_tokens,
                   .cached_tokens = event.cached_tokens};
  SendToSubscribers(context, *target, *body.response.finish);
  context.Count("agent_attempts_finished_total");
  context.Emit(record_event{.kind = "attempt_finished",
                            .request_id = body.work->request_id,
                            .detail = base::ToString(event.attempt)});
  body.work.reset();
  RetainUntil(state, event.attempt, *target, state.window);
  state.finished_attempts.push_back(event.attempt);
  LimitBufferedBytes(context);
  StartQueued(context);
}

void Handle(step_context& context, const call_failed& event) {
  attempt* target = FindRunning(context.state, event.attempt);
  if (target == nullptr) {
    return;
  }
  const bool first_call =
      target->body->resume_count == 0 && !target->body->response.head;
  if (event.failure == call_failure::kMalformed) {
    FailAttempt(context, event.attempt, wire::failure_reason::kBackendError,
                wire::outcome::kRan);
    return;
  }
  const std::uint64_t poll = PollHealth(context);
  if (event.failure == call_failure::kNeverSent && first_call) {
    RefuseAttempt(context, event.attempt, wire::refusal_reason::kUnhealthy);
    return;
  }
  // The health poll shows whether the backend server died. If it did, all
  // attempts that were running are suspects. Their connections break one after
  // the other, so wait for the poll before ending any of them.
  target->stage = attempt_stage::kBroken;
  target->body->first_poll_after_loss = poll;
}

}  // namespace wisteriaroute::agent
