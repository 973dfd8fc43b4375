#include "libwisteriaroute/entry/attempts.h"

#include <algorithm>

#include "libwisteriaroute/entry/admission.h"
#include "libwisteriaroute/entry/claims.h"
#include "libwisteriaroute/entry/quarantine.h"
#include "libwisteriaroute/entry/queue.h"
#include "libwisteriaroute/entry/respond.h"

namespace wisteriaroute::entry {

namespace {

constexpr base::time_us kBudgetWindowS = 10;
// After this many consecutive failures a server gets no new work for
// kSuspendUs; each further failure doubles that time.
constexpr std::uint32_t kFailuresToSuspend = 3;
constexpr base::time_us kSuspendUs = 500'000;
constexpr std::uint32_t kMaxSuspendDoublings = 6;

bool TakeRetry(step_context& step) {
  std::int64_t requests = 0;
  std::int64_t retries = 0;
  auto& retry_budget_counts = step.state.retry_budget_counts;
  const base::time_us second = step.now_us / 1'000'000;
  retry_budget_counts.erase(
      retry_budget_counts.begin(),
      retry_budget_counts.lower_bound(second - kBudgetWindowS));
  for (const auto& [at, counts] : retry_budget_counts) {
    requests += counts.first;
    retries += counts.second;
  }
  const entry_settings& settings = step.state.settings;
  if (retries >=
      std::max(settings.retry_floor, requests * settings.retry_percent / 100)) {
    step.Emit(count_metric{"wisteriaroute_retry_budget_exhausted_total"});
    return false;
  }
  ++retry_budget_counts[second].second;
  return true;
}

void CountFailure(step_context& step, agent& at) {
  ++at.failures;
  if (at.failures >= kFailuresToSuspend) {
    const std::uint32_t doublings =
        std::min(at.failures - kFailuresToSuspend, kMaxSuspendDoublings);
    at.suspended_until_us = step.now_us + (kSuspendUs << doublings);
  }
}

std::string_view Name(wire::refusal_reason reason) {
  constexpr std::string_view kNames[] = {
      "other_incarnation", "window_over", "queried_before",
      "leaving",           "no_lease",    "unhealthy",
      "overloaded",        "cancelled",   "deadline"};
  return kNames[static_cast<std::size_t>(reason)];
}

std::string_view Name(wire::failure_reason reason) {
  constexpr std::string_view kNames[] = {"backend_lost", "backend_error",
                                         "backend_timeout",
                                         "response_too_large", "cancelled"};
  return kNames[static_cast<std::size_t>(reason)];
}

wire::submit MakeSubmit(const step_context& step,
                        const request& of,
                        const wire::claim_target& target) {
  wire::submit out;
  out.attempt = target.attempt;
  out.request_id = of.request_id;
  out.kind = of.kind;
  out.backend_incarnation = target.backend_incarnation;
  out.window = target.window;
  out.claimed = of.non_repeatable;
  out.priority = of.priority;
  if (of.deadline_us != 0) {
    out.deadline_ms =
        std::max<std::int64_t>((of.deadline_us - step.now_us) / 1'000, 1);
  }
  out.workspace = of.workspace;
  out.model = of.model;
  out.adapter = of.adapter;
  out.method = of.method;
  out.target = of.target;
  out.headers = of.headers;
  out.headers.emplace_back("x-request-id", of.request_id);
  out.body = of.body;
  out.fingerprint = of.fingerprint;
  if (of.kind != wire::work_kind::kPlain) {
    out.resume_offset = of.response.offset;
    out.resume_text = of.response.text;
  }
  return out;
}

void SetCurrent(step_context& step,
                request& of,
                const wire::claim_target& target) {
  of.current = attempt{.id = target.attempt,
                       .agent = target.agent,
                       .backend_incarnation = target.backend_incarnation,
                       .window = target.window,
                       .started_us = step.now_us,
                       .last_message_us = step.now_us};
  step.state.request_of_attempt[target.attempt] = of.number;
  if (agent* at = FindAgent(step.state, target.agent)) {
    ++at->in_flight;
    ++at->sent_since_report;
    of.current->load_report_number = at->load_report_number;
    at->suspects_in_flight += of.suspect ? 1 : 0;
  }
  SetPhase(step, of, request_phase::kRunning);
}

// A plain response that failed midway starts again from the beginning; a
// generation continues after the tokens that were received.
void ResetResponse(request& of) {
  response_state& response = of.response;
  response.buffered_chunks.clear();
  response.buffered_bytes = 0;
  response.end.reset();
  response.head_seen = false;
  if (of.kind == wire::work_kind::kPlain || response.status != 200) {
    response = {};
  }
}

}  // namespace

void Submit(step_context& step,
            request& of,
            agent& to,
            const wire::claim_target& target) {
  ++of.attempts;
  of.held_attempt.reset();
  SetCurrent(step, of, target);
  of.current_outcome = wire::outcome::kUnknown;
  Note(step, of, "submitted", target.agent, base::ToString(target.attempt));
  step.Emit(send_work{to.link, MakeSubmit(step, of, target)});
}

void AttachToAttempt(step_context& step,
                     request& of,
                     const wire::claim_target& target) {
  SetCurrent(step, of, target);
  of.current_outcome = wire::outcome::kUnknown;
  Note(step, of, "attached", target.agent, base::ToString(target.attempt));
  const agent* at = FindAgent(step.state, target.agent);
  if (at != nullptr && at->link != 0) {
    step.Emit(send_work{at->link, wire::attach{target.attempt, 0}});
  }
}

void DropCurrent(step_context& step, request& of) {
  if (!of.current) {
    return;
  }
  step.state.request_of_attempt.erase(of.current->id);
  if (agent* at = FindAgent(step.state, of.current->agent)) {
    at->in_flight -= std::min(at->in_flight, 1U);
    // Agents report their load only when it has changed. An attempt that
    // starts and ends between two reports causes none that resets the count.
    if (of.current->load_report_number == at->load_report_number) {
      at->sent_since_report -= std::min(at->sent_since_report, 1U);
    }
    at->suspects_in_flight -=
        of.suspect ? std::min(at->suspects_in_flight, 1U) : 0;
  }
  of.current.reset();
  of.current_outcome = wire::outcome::kNotRun;
}

void AbandonCurrent(step_context& step, request& of) {
  if (!of.current) {
    return;
  }
  const attempt dropped = *of.current;
  of.earlier_outcome = std::max(of.earlier_outcome, of.current_outcome);
  DropCurrent(step, of);
  agent* at = FindAgent(step.state, dropped.agent);
  if (at == nullptr) {
    return;
  }
  if (at->link != 0) {
    step.Emit(send_work{at->link, wire::cancel{dropped.id}});
  } else {
    at->to_cancel.insert(dropped.id);
  }
}

void RetryOrFail(step_context& step, request& of, error_reply otherwise) {
  const bool in_time = of.deadline_us == 0 || step.now_us < of.deadline_us;
  // A plain body can't be resumed once part of it was sent to the callers.
  const bool resumable =
      of.kind != wire::work_kind::kPlain || !of.stream_started;
  // A crash ends many attempts at once, more than the retry budget allows.
  // Their retries are bounded by kMaxAttempts and kMaxCrashes instead.
  if (!resumable || of.attempts >= kMaxAttempts || !in_time ||
      (!of.ran_at_crash && !of.suspect && !TakeRetry(step))) {
    FailRequest(step, of, std::move(otherwise));
    return;
  }
  ResetResponse(of);
  step.Emit(count_metric{"wisteriaroute_retries_total"});
  Note(step, of, "retry", {}, otherwise.code);
  Enqueue(step, of);
}

void FailRequest(step_context& step, request& of, error_reply error) {
  if (of.held_attempt) {
    Dequeue(step, of);
    ReleaseClaim(step, of, std::move(error));
    return;
  }
  error.ran = Outcome(of);
  RespondError(step, of, error);
  Close(step, of);
}

void HandleNeverRuns(step_context& step,
                     request& of,
                     std::string_view reason,
                     std::int64_t retry_after_ms) {
  const wire::attempt_id id = of.current->id;
  Note(step, of, "not_run", of.current->agent, std::string(reason));
  of.avoided_agents.insert(of.current->agent);
  DropCurrent(step, of);
  if (of.non_repeatable) {
    of.held_attempt = id;
  }
  error_reply error{
      .status = 503,
      .code = "refused_by_backend",
      .message =
          "no backend server accepted the request: " + std::string(reason),
      .retry_after_s = std::max<std::int64_t>(
          (retry_after_ms + 999) / 1'000, RetryAfterSeconds(step, of.pool))};
  if (of.answered) {
    FailRequest(step, of, std::move(error));
    return;
  }
  RetryOrFail(step, of, std::move(error));
}

void HandleLost(step_context& step,
                request& of,
                wire::outcome ran,
                const error_reply& error) {
  // Received bytes prove that the attempt ran, whatever the agent reports.
  of.earlier_outcome = std::max({of.earlier_outcome, ran, of.current_outcome});
  const attempt lost = *of.current;
  Note(step, of, "attempt_lost", lost.agent, error.code);
  of.avoided_agents.insert(lost.agent);
  if (of.non_repeatable) {
    RecordOutcome(step, of, error);
    return;
  }
  DropCurrent(step, of);
  if (of.callers.empty()) {
    Close(step, of);
    return;
  }
  if (of.crashes >= kMaxCrashes) {
    error_reply final_error = QuarantinedError();
    FailRequest(step, of, std::move(final_error));
    return;
  }
  RetryOrFail(step, of, error);
}

void HandleRefused(step_context& step, const wire::refused& message) {
  request* of = FindByAttempt(step.state, message.attempt);
  if (of == nullptr || of->phase != request_phase::kRunning) {
    step.Emit(count_metric{"wisteriaroute_late_messages_total"});
    return;
  }
  step.Emit(count_metric{"wisteriaroute_refusals_total{reason=\"" +
                         std::string(Name(message.reason)) + "\"}"});
  HandleNeverRuns(step, *of, Name(message.reason), message.retry_after_ms);
}

void HandleFailed(step_context& step, const wire::failed& message) {
  request* of = FindByAttempt(step.state, message.attempt);
  if (of == nullptr || of->phase != request_phase::kRunning) {
    step.Emit(count_metric{"wisteriaroute_late_messages_total"});
    return;
  }
  const std::string code(Name(message.reason));
  step.Emit(
      count_metric{"wisteriaroute_failures_total{reason=\"" + code + "\"}"});
  if (agent* at = FindAgent(step.state, of->current->agent)) {
    CountFailure(step, *at);
  }
  // An agent sends an empty list for an attempt that it doesn't know.
  if (message.reason == wire::failure_reason::kBackendLost &&
      !message.ran_beside.empty()) {
    RecordCrash(step, *of, message.ran_beside);
  }
  const bool timed_out = message.reason == wire::failure_reason::kTimeout;
  HandleLost(step, *of, std::max(message.ran, wire::outcome::kUnknown),
             {.status = timed_out ? 504U : 502U,
              .code = code,
              .message = "the backend server sent no complete response",
              .retry_after_s = 1});
}

}  // namespace wisteriaroute::entry
