#include "libwisteriaroute/entry/timeouts.h"

#include <algorithm>

#include "libwisteriaroute/entry/admission.h"
#include "libwisteriaroute/entry/agents.h"
#include "libwisteriaroute/entry/attempts.h"
#include "libwisteriaroute/entry/claims.h"
#include "libwisteriaroute/entry/queue.h"
#include "libwisteriaroute/entry/resend.h"
#include "libwisteriaroute/entry/respond.h"
#include "libwisteriaroute/entry/streaming.h"

namespace wisteriaroute::entry {

namespace {

// A backend server restarts within this time; waiting longer would only delay
// the error.
constexpr base::time_us kNoServerWaitUs = 3'000'000;
// A running call without callers is kept until this long after its dispatch,
// so that its outcome can be recorded.
constexpr base::time_us kUnattendedUs = 120'000'000;

void HandleDeadline(step_context& step, request_state& request) {
  error_reply error{.status = 504,
                    .code = "deadline_exceeded",
                    .message =
                        "the deadline passed before the response was "
                        "complete",
                    .retry_after_s = RetryAfterSeconds(step, request.pool)};
  switch (request.phase) {
    case request_phase::kQueued:
      FailRequest(step, request, std::move(error));
      return;
    case request_phase::kRunning:
      error.ran = Outcome(request);
      RespondError(step, request, error);
      if (!request.non_repeatable) {
        AbandonCurrent(step, request);
        Close(step, request);
      }
      return;
    case request_phase::kRecording:
      // CheckClaimTimeout answers with the response or error in hand.
      return;
    default:
      // Another entry may hold the key and run the call.
      error.ran = wire::outcome::kUnknown;
      RespondError(step, request, error);
      Close(step, request);
  }
}

void CheckRunning(step_context& step, request_state& request) {
  const base::time_us since = step.now_us - request.phase_since_us;
  if (request.answered && since >= kUnattendedUs) {
    Close(step, request);
    return;
  }
  KeepAlive(step, request);
  RequestMissingPart(step, request);
  QueryIfSilent(step, request);
  CheckDetached(step, request);
}

void CheckRequest(step_context& step, request_state& request) {
  if (!request.answered && request.deadline_us != 0 &&
      step.now_us >= request.deadline_us &&
      request.phase != request_phase::kRecording &&
      request.phase != request_phase::kReleasing) {
    HandleDeadline(step, request);
    return;
  }
  switch (request.phase) {
    case request_phase::kQueued:
      if (step.now_us - request.phase_since_us >= kNoServerWaitUs &&
          !HasCandidate(step, request)) {
        FailRequest(step, request,
                    {.status = 503,
                     .code = "no_backend",
                     .message = "no backend server accepts requests",
                     .retry_after_s = RetryAfterSeconds(step, request.pool)});
      }
      return;
    case request_phase::kRunning:
      CheckRunning(step, request);
      return;
    case request_phase::kLocating:
      CheckLocating(step, request);
      return;
    default:
      CheckClaimTimeout(step, request);
  }
}

std::vector<std::uint64_t> OpenRequests(const entry_state& state) {
  std::vector<std::uint64_t> numbers;
  numbers.reserve(state.requests.size());
  for (const auto& [number, request] : state.requests) {
    numbers.push_back(number);
  }
  // Arrival order makes runs reproducible.
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

void AbortAll(step_context& step) {
  for (const std::uint64_t number : OpenRequests(step.state)) {
    request_state* request = FindRequest(step.state, number);
    if (request == nullptr) {
      continue;
    }
    error_reply error{.status = 503,
                      .code = "stopping",
                      .message = "the entry is shutting down",
                      .ran = Outcome(*request),
                      .retry_after_s = 1};
    if (request->phase == request_phase::kClaiming ||
        request->phase == request_phase::kReleasing) {
      error.ran = wire::outcome::kUnknown;
    }
    RespondError(step, *request, error);
    if (!request->non_repeatable) {
      AbandonCurrent(step, *request);
    }
    Close(step, *request);
  }
}

}  // namespace

void CheckTimeouts(step_context& step) {
  UpdateRates(step);
  ResendClaims(step, false);
  for (const std::uint64_t number : OpenRequests(step.state)) {
    if (request_state* request = FindRequest(step.state, number)) {
      CheckRequest(step, *request);
    }
  }
}

void CheckShutdown(step_context& step) {
  entry_state& state = step.state;
  if (!state.stopping || state.stop_reported) {
    return;
  }
  const base::time_us since = step.now_us - state.stopping_since_us;
  if (since < state.settings.settle_ms * 1'000) {
    return;
  }
  if (!state.listening_stopped) {
    state.listening_stopped = true;
    step.Emit(stop_listening{});
  }
  if (since >= state.settings.drain_limit_ms * 1'000) {
    AbortAll(step);
  }
  if (state.requests.empty()) {
    state.stop_reported = true;
    step.Emit(stopped{});
  }
}

}  // namespace wisteriaroute::entry
