#include "libwisteriaroute/entry/resend.h"

#include <algorithm>

#include "libwisteriaroute/entry/agents.h"
#include "libwisteriaroute/entry/attempts.h"
#include "libwisteriaroute/entry/claims.h"
#include "libwisteriaroute/entry/queue.h"
#include "libwisteriaroute/entry/respond.h"
#include "libwisteriaroute/entry/streaming.h"

namespace wisteriaroute::entry {

namespace {

error_reply UnknownOutcome() {
  return {.status = 502,
          .code = "outcome_unknown",
          .message = "the call was dispatched and its outcome isn't known"};
}

// If an attempt gets no messages for this long on a link that is up, the agent
// may never have received it. Prefill takes less time.
constexpr base::time_us kSilentAttemptUs = 10'000'000;

wire::query QueryOf(const attempt& of) {
  return {of.id, of.backend_incarnation, of.window};
}

void QueryHolder(step_context& step, request& of, const agent& at) {
  of.query_sent = true;
  step.Emit(send_work{
      at.link, wire::query{of.holder.attempt, of.holder.backend_incarnation,
                           of.holder.window}});
}

// For a holder whose state can't be learned: the agent is gone, or has lost or
// failed the attempt.
void RecordUnknown(step_context& step, request& of) {
  of.earlier_outcome = wire::outcome::kUnknown;
  step.state.request_of_attempt.erase(of.holder.attempt);
  RecordOutcome(step, of, UnknownOutcome());
}

void HandleLocated(step_context& step, request& of, wire::attempt_phase phase) {
  step.state.request_of_attempt.erase(of.holder.attempt);
  switch (phase) {
    case wire::attempt_phase::kNeverRuns:
      of.held_attempt = of.holder.attempt;
      of.earlier_outcome = wire::outcome::kNotRun;
      Enqueue(step, of);
      return;
    case wire::attempt_phase::kRunning:
    case wire::attempt_phase::kFinished:
      AttachToAttempt(step, of, of.holder);
      of.earlier_outcome = wire::outcome::kNotRun;
      return;
    case wire::attempt_phase::kFailed:
    case wire::attempt_phase::kForgotten:
      RecordUnknown(step, of);
      return;
  }
}

void HandleRunningStatus(step_context& step,
                         request& of,
                         wire::attempt_phase phase) {
  const agent* at = FindAgent(step.state, of.current->agent);
  switch (phase) {
    case wire::attempt_phase::kNeverRuns:
      HandleNeverRuns(step, of, "cancelled", 0);
      return;
    case wire::attempt_phase::kRunning:
    case wire::attempt_phase::kFinished:
      // An attempt that the agent reports as running may still be queued there.
      of.current_outcome =
          std::max(of.current_outcome, phase == wire::attempt_phase::kFinished
                                           ? wire::outcome::kRan
                                           : wire::outcome::kUnknown);
      of.current->detached_us = 0;
      if (at != nullptr && at->link != 0) {
        step.Emit(send_work{at->link,
                            wire::attach{of.current->id, of.response.offset}});
      }
      return;
    case wire::attempt_phase::kFailed:
    case wire::attempt_phase::kForgotten:
      HandleLost(step, of, wire::outcome::kUnknown,
                 {.status = 502,
                  .code = "attempt_lost",
                  .message = "the backend server sent no complete response",
                  .retry_after_s = 1});
      return;
  }
}

}  // namespace

void Locate(step_context& step, request& of, const wire::claim_target& holder) {
  of.holder = holder;
  of.held_attempt.reset();
  of.earlier_outcome = wire::outcome::kUnknown;
  of.query_sent = false;
  SetPhase(step, of, request_phase::kLocating);
  step.state.request_of_attempt[holder.attempt] = of.number;
  Note(step, of, "locating", holder.agent, base::ToString(holder.attempt));
  const agent* at = FindAgent(step.state, holder.agent);
  if (at != nullptr && at->link != 0) {
    QueryHolder(step, of, *at);
    return;
  }
  // This entry may have no link to the agent yet.
  UpdateDials(step);
}

void QueryAttemptsAt(step_context& step, const agent& at) {
  for (auto& [number, of] : step.state.requests) {
    if (of.phase == request_phase::kLocating &&
        of.holder.agent == at.member.name) {
      QueryHolder(step, of, at);
    } else if (of.phase == request_phase::kRunning && of.current &&
               of.current->agent == at.member.name) {
      step.Emit(send_work{
          at.link, wire::query{of.current->id, of.current->backend_incarnation,
                               of.current->window}});
    }
  }
}

void HandleStatus(step_context& step, const wire::attempt_status& status) {
  request* of = FindByAttempt(step.state, status.attempt);
  if (of == nullptr) {
    return;
  }
  if (of->phase == request_phase::kLocating) {
    HandleLocated(step, *of, status.phase);
  } else if (of->phase == request_phase::kRunning && of->current) {
    HandleRunningStatus(step, *of, status.phase);
  }
}

void QueryIfSilent(step_context& step, request& of) {
  const agent* at = FindAgent(step.state, of.current->agent);
  if (at != nullptr && at->link != 0 && of.current->detached_us == 0 &&
      step.now_us - of.current->last_message_us >= kSilentAttemptUs) {
    of.current->last_message_us = step.now_us;
    step.Emit(send_work{at->link, QueryOf(*of.current)});
  }
}

void CheckLocating(step_context& step, request& of) {
  if (of.phase != request_phase::kLocating ||
      step.now_us - of.phase_since_us <
          step.state.settings.reattach_ms * 1'000) {
    return;
  }
  const agent* at = FindAgent(step.state, of.holder.agent);
  if (step.state.members_known && (at == nullptr || !at->is_member)) {
    RecordUnknown(step, of);
    return;
  }
  // The agent may still exist, but this entry can't reach it. The outcome is
  // not recorded, so a resend may still find it.
  step.state.request_of_attempt.erase(of.holder.attempt);
  error_reply error = UnknownOutcome();
  error.ran = wire::outcome::kUnknown;
  error.retry_after_s = 1;
  RespondError(step, of, error);
  Close(step, of);
}

}  // namespace wisteriaroute::entry
