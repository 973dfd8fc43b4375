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
  for (const auto& [at_second, counts] : retry_budget_counts) {
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

void CountFailure(step_context& step, agent& peer) {
  ++peer.failures;
  if (peer.failures >= kFailuresToSuspend) {
    const std::uint32_t doublings =
        std::min(peer.failures - kFailuresToSuspend, kMaxSuspendDoublings);
    peer.suspended_until_us = step.now_us + (kSuspendUs << doublings);
  }
}

std::string_view Name(wire::refusal_reason reason) {
  constexpr std::string_view kNames[] = {
      "other_incarnation", "window_over", "queried_before", "leaving",
      "no_lease",          "unhealthy",   "overloaded",     "cancelled",
      "deadline",          "suspect_runs"};
  return kNames[static_cast<std::size_t>(reason)];
}

std::string_view Name(wire::failure_reason reason) {
  constexpr std::string_view kNames[] = {"backend_lost", "backend_error",
                                         "backend_timeout",
                                         "response_too_large", "cancelled"};
  return kNames[static_cast<std::size_t>(reason)];
}

wire::submit MakeSubmit(const step_context& step,
                        const request_state& request,
                        const wire::claim_target& target) {
  wire::submit out;
  out.attempt = target.attempt;
  out.request_id = request.request_id;
  out.kind = request.kind;
  out.backend_incarnation = target.backend_incarnation;
  out.window = target.window;
  out.claimed = request.non_repeatable;
  out.priority = request.priority;
  if (request.deadline_us != 0) {
    out.deadline_ms =
        std::max<std::int64_t>((request.deadline_us - step.now_us) / 1'000, 1);
  }
  out.workspace = request.workspace;
  out.model = request.model;
  out.adapter = request.adapter;
  out.method = request.method;
  out.target = request.target;
  out.headers = request.headers;
  out.headers.emplace_back("x-request-id", request.request_id);
  out.body = request.body;
  out.fingerprint = request.fingerprint;
  out.isolated = request.suspect;
  if (request.kind != wire::work_kind::kPlain) {
    out.resume_offset = request.response.offset;
    out.resume_text = request.response.text;
  }
  return out;
}

void SetCurrent(step_context& step,
                request_state& request,
                const wire::claim_target& target) {
  request.current = attempt{.id = target.attempt,
                            .agent = target.agent,
                            .backend_incarnation = target.backend_incarnation,
                            .window = target.window,
                            .started_us = step.now_us,
                            .last_message_us = step.now_us};
  step.state.request_of_attempt[target.attempt] = request.number;
  if (agent* peer = FindAgent(step.state, target.agent)) {
    ++peer->in_flight;
    ++peer->sent_since_report;
    request.current->load_report_number = peer->load_report_number;
    peer->suspects_in_flight += request.suspect ? 1 : 0;
  }
  SetPhase(step, request, request_phase::kRunning);
}

// A plain response that failed midway starts again from the beginning; a
// generation continues after the tokens that were received.
void ResetResponse(request_state& request) {
  response_state& response = request.response;
  response.buffered_chunks.clear();
  response.buffered_bytes = 0;
  response.end.reset();
  response.head_seen = false;
  if (request.kind == wire::work_kind::kPlain || response.status != 200) {
    response = {};
  }
}

}  // namespace

void Submit(step_context& step,
            request_state& request,
            agent& to,
            const wire::claim_target& target) {
  ++request.attempts;
  request.held_attempt.reset();
  SetCurrent(step, request, target);
  request.current_outcome = wire::outcome::kUnknown;
  Note(step, request, "submitted", target.agent,
       base::ToString(target.attempt));
  step.Emit(send_work{to.link, MakeSubmit(step, request, target)});
}

void AttachToAttempt(step_context& step,
                     request_state& request,
                     const wire::claim_target& target) {
  SetCurrent(step, request, target);
  request.current_outcome = wire::outcome::kUnknown;
  Note(step, request, "attached", target.agent, base::ToString(target.attempt));
  const agent* peer = FindAgent(step.state, target.agent);
  if (peer != nullptr && peer->link != 0) {
    step.Emit(send_work{peer->link, wire::attach{target.attempt, 0}});
  }
}

void DropCurrent(step_context& step, request_state& request) {
  if (!request.current) {
    return;
  }
  step.state.request_of_attempt.erase(request.current->id);
  if (agent* peer = FindAgent(step.state, request.current->agent)) {
    peer->in_flight -= std::min(peer->in_flight, 1U);
    // Agents report their load only when it has changed, so an attempt that
    // starts and ends between two reports may cause none. Without a report,
    // only this lowers the count.
    if (request.current->load_report_number == peer->load_report_number) {
      peer->sent_since_report -= std::min(peer->sent_since_report, 1U);
    }
    peer->suspects_in_flight -=
        request.suspect ? std::min(peer->suspects_in_flight, 1U) : 0;
  }
  request.current.reset();
  request.current_outcome = wire::outcome::kNotRun;
}

void AbandonCurrent(step_context& step, request_state& request) {
  if (!request.current) {
    return;
  }
  const attempt dropped = *request.current;
  request.earlier_outcome =
      std::max(request.earlier_outcome, request.current_outcome);
  DropCurrent(step, request);
  agent* peer = FindAgent(step.state, dropped.agent);
  if (peer == nullptr) {
    return;
  }
  if (peer->link != 0) {
    step.Emit(send_work{peer->link, wire::cancel{dropped.id}});
  } else {
    peer->to_cancel.insert(dropped.id);
  }
}

void RetryOrFail(step_context& step,
                 request_state& request,
                 error_reply otherwise) {
  const bool in_time =
      request.deadline_us == 0 || step.now_us < request.deadline_us;
  // A plain body can't be resumed once part of it was sent to the callers.
  const bool resumable =
      request.kind != wire::work_kind::kPlain || !request.stream_started;
  // A crash ends many attempts at once, and all of their requests must be
  // answered even if the retry budget doesn't allow that many. kMaxAttempts and
  // kMaxCrashes bound their retries instead.
  if (!resumable || request.attempts >= kMaxAttempts || !in_time ||
      (!request.ran_at_crash && !request.suspect && !TakeRetry(step))) {
    FailRequest(step, request, std::move(otherwise));
    return;
  }
  ResetResponse(request);
  step.Emit(count_metric{"wisteriaroute_retries_total"});
  Note(step, request, "retry", {}, otherwise.code);
  Enqueue(step, request);
}

void FailRequest(step_context& step,
                 request_state& request,
                 error_reply error) {
  if (request.held_attempt) {
    Dequeue(step, request);
    ReleaseClaim(step, request, std::move(error));
    return;
  }
  error.ran = Outcome(request);
  RespondError(step, request, error);
  Close(step, request);
}

void HandleNeverRuns(step_context& step,
                     request_state& request,
                     std::string_view reason,
                     std::int64_t retry_after_ms) {
  const wire::attempt_id id = request.current->id;
  Note(step, request, "not_run", request.current->agent, std::string(reason));
  request.avoided_agents.insert(request.current->agent);
  DropCurrent(step, request);
  if (request.non_repeatable) {
    request.held_attempt = id;
  }
  error_reply error{.status = 503,
                    .code = "refused_by_backend",
                    .message = "no backend server accepted the request: " +
                               std::string(reason),
                    .retry_after_s = std::max<std::int64_t>(
                        (retry_after_ms + 999) / 1'000,
                        RetryAfterSeconds(step, request.pool))};
  if (request.answered) {
    FailRequest(step, request, std::move(error));
    return;
  }
  RetryOrFail(step, request, std::move(error));
}

void HandleLost(step_context& step,
                request_state& request,
                wire::outcome ran,
                const error_reply& error) {
  // Received bytes prove that the attempt ran, whatever the agent reports.
  request.earlier_outcome =
      std::max({request.earlier_outcome, ran, request.current_outcome});
  const attempt lost = *request.current;
  Note(step, request, "attempt_lost", lost.agent, error.code);
  request.avoided_agents.insert(lost.agent);
  if (request.non_repeatable) {
    RecordOutcome(step, request, error);
    return;
  }
  DropCurrent(step, request);
  if (request.callers.empty()) {
    Close(step, request);
    return;
  }
  if (request.crashes >= kMaxCrashes) {
    error_reply final_error = QuarantinedError();
    FailRequest(step, request, std::move(final_error));
    return;
  }
  RetryOrFail(step, request, error);
}

void HandleRefused(step_context& step, const wire::refused& message) {
  request_state* request = FindByAttempt(step.state, message.attempt);
  if (request == nullptr || request->phase != request_phase::kRunning) {
    step.Emit(count_metric{"wisteriaroute_late_messages_total"});
    return;
  }
  step.Emit(count_metric{"wisteriaroute_refusals_total{reason=\"" +
                         std::string(Name(message.reason)) + "\"}"});
  // The request waits for another one to end, which may take long, so this
  // doesn't count as an attempt.
  if (message.reason == wire::refusal_reason::kSuspectRuns) {
    --request->attempts;
  }
  HandleNeverRuns(step, *request, Name(message.reason), message.retry_after_ms);
}

void HandleFailed(step_context& step, const wire::failed& message) {
  request_state* request = FindByAttempt(step.state, message.attempt);
  if (request == nullptr || request->phase != request_phase::kRunning) {
    step.Emit(count_metric{"wisteriaroute_late_messages_total"});
    return;
  }
  const std::string code(Name(message.reason));
  step.Emit(
      count_metric{"wisteriaroute_failures_total{reason=\"" + code + "\"}"});
  if (agent* peer = FindAgent(step.state, request->current->agent)) {
    CountFailure(step, *peer);
  }
  // An agent sends an empty list for an attempt that it doesn't know.
  if (message.reason == wire::failure_reason::kBackendLost &&
      !message.ran_beside.empty()) {
    RecordCrash(step, *request, message.ran_beside);
  }
  const bool timed_out = message.reason == wire::failure_reason::kTimeout;
  HandleLost(step, *request, std::max(message.ran, wire::outcome::kUnknown),
             {.status = timed_out ? 504U : 502U,
              .code = code,
              .message = "the backend server sent no complete response",
              .retry_after_s = 1});
}

}  // namespace wisteriaroute::entry
