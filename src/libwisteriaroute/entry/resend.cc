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

wire::query QueryOf(const attempt& current) {
  return {current.id, current.backend_incarnation, current.window};
}

void QueryHolder(step_context& step,
                 request_state& request,
                 const agent& peer) {
  request.query_sent = true;
  step.Emit(send_work{peer.link, wire::query{request.holder.attempt,
                                             request.holder.backend_incarnation,
                                             request.holder.window}});
}

// For a holder whose state can't be learned: the agent is gone, or has lost or
// failed the attempt.
void RecordUnknown(step_context& step, request_state& request) {
  request.earlier_outcome = wire::outcome::kUnknown;
  step.state.request_of_attempt.erase(request.holder.attempt);
  RecordOutcome(step, request, UnknownOutcome());
}

void HandleLocated(step_context& step,
                   request_state& request,
                   wire::attempt_phase phase) {
  step.state.request_of_attempt.erase(request.holder.attempt);
  switch (phase) {
    case wire::attempt_phase::kNeverRuns:
      request.held_attempt = request.holder.attempt;
      request.earlier_outcome = wire::outcome::kNotRun;
      Enqueue(step, request);
      return;
    case wire::attempt_phase::kRunning:
    case wire::attempt_phase::kFinished:
      AttachToAttempt(step, request, request.holder);
      request.earlier_outcome = wire::outcome::kNotRun;
      return;
    case wire::attempt_phase::kFailed:
    case wire::attempt_phase::kForgotten:
      RecordUnknown(step, request);
      return;
  }
}

void HandleRunningStatus(step_context& step,
                         request_state& request,
                         wire::attempt_phase phase) {
  const agent* peer = FindAgent(step.state, request.current->agent);
  switch (phase) {
    case wire::attempt_phase::kNeverRuns:
      HandleNeverRuns(step, request, "cancelled", 0);
      return;
    case wire::attempt_phase::kRunning:
    case wire::attempt_phase::kFinished:
      // An attempt that the agent reports as running may still be queued there.
      request.current_outcome = std::max(request.current_outcome,
                                         phase == wire::attempt_phase::kFinished
                                             ? wire::outcome::kRan
                                             : wire::outcome::kUnknown);
      request.current->detached_us = 0;
      if (peer != nullptr && peer->link != 0) {
        step.Emit(send_work{peer->link, wire::attach{request.current->id,
                                                     request.response.offset}});
      }
      return;
    case wire::attempt_phase::kFailed:
    case wire::attempt_phase::kForgotten:
      HandleLost(step, request, wire::outcome::kUnknown,
                 {.status = 502,
                  .code = "attempt_lost",
                  .message = "the backend server sent no complete response",
                  .retry_after_s = 1});
      return;
  }
}

}  // namespace

void Locate(step_context& step,
            request_state& request,
            const wire::claim_target& holder) {
  request.holder = holder;
  request.held_attempt.reset();
  request.earlier_outcome = wire::outcome::kUnknown;
  request.query_sent = false;
  SetPhase(step, request, request_phase::kLocating);
  step.state.request_of_attempt[holder.attempt] = request.number;
  Note(step, request, "locating", holder.agent, base::ToString(holder.attempt));
  const agent* peer = FindAgent(step.state, holder.agent);
  if (peer != nullptr && peer->link != 0) {
    QueryHolder(step, request, *peer);
    return;
  }
  // This entry may have no link to the agent yet.
  UpdateDials(step);
}

void QueryAttemptsAt(step_context& step, const agent& peer) {
  for (auto& [number, request] : step.state.requests) {
    if (request.phase == request_phase::kLocating &&
        request.holder.agent == peer.member.name) {
      QueryHolder(step, request, peer);
    } else if (request.phase == request_phase::kRunning && request.current &&
               request.current->agent == peer.member.name) {
      step.Emit(send_work{
          peer.link,
          wire::query{request.current->id, request.current->backend_incarnation,
                      request.current->window}});
    }
  }
}

void HandleStatus(step_context& step, const wire::attempt_status& status) {
  request_state* request = FindByAttempt(step.state, status.attempt);
  if (request == nullptr) {
    return;
  }
  if (request->phase == request_phase::kLocating) {
    HandleLocated(step, *request, status.phase);
  } else if (request->phase == request_phase::kRunning && request->current) {
    HandleRunningStatus(step, *request, status.phase);
  }
}

void QueryIfSilent(step_context& step, request_state& request) {
  const agent* peer = FindAgent(step.state, request.current->agent);
  if (peer != nullptr && peer->link != 0 && request.current->detached_us == 0 &&
      step.now_us - request.current->last_message_us >= kSilentAttemptUs) {
    request.current->last_message_us = step.now_us;
    step.Emit(send_work{peer->link, QueryOf(*request.current)});
  }
}

void CheckLocating(step_context& step, request_state& request) {
  if (request.phase != request_phase::kLocating ||
      step.now_us - request.phase_since_us <
          step.state.settings.reattach_ms * 1'000) {
    return;
  }
  const agent* peer = FindAgent(step.state, request.holder.agent);
  if (step.state.members_known && (peer == nullptr || !peer->is_member)) {
    RecordUnknown(step, request);
    return;
  }
  // The agent may still exist, but this entry can't reach it. The outcome is
  // not recorded, so a resend may still find it.
  step.state.request_of_attempt.erase(request.holder.attempt);
  error_reply error = UnknownOutcome();
  error.ran = wire::outcome::kUnknown;
  error.retry_after_s = 1;
  RespondError(step, request, error);
  Close(step, request);
}

}  // namespace wisteriaroute::entry
