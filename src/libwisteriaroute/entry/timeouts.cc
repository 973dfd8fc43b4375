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

void HandleDeadline(step_context& step, request& of) {
  error_reply error{.status = 504,
                    .code = "deadline_exceeded",
                    .message =
                        "the deadline passed before the response was "
                        "complete",
                    .retry_after_s = RetryAfterSeconds(step, of.pool)};
  switch (of.phase) {
    case request_phase::kQueued:
      FailRequest(step, of, std::move(error));
      return;
    case request_phase::kRunning:
      error.ran = Outcome(of);
      RespondError(step, of, error);
      if (!of.non_repeatable) {
        AbandonCurrent(step, of);
        Close(step, of);
      }
      return;
    case request_phase::kRecording:
      // CheckClaimTimeout answers with the response or error in hand.
      return;
    default:
      // Another entry may hold the key and run the call.
      error.ran = wire::outcome::kUnknown;
      RespondError(step, of, error);
      Close(step, of);
  }
}

void CheckRunning(step_context& step, request& of) {
  const base::time_us since = step.now_us - of.phase_since_us;
  if (of.answered && since >= kUnattendedUs) {
    Close(step, of);
    return;
  }
  KeepAlive(step, of);
  RequestMissingPart(step, of);
  QueryIfSilent(step, of);
  CheckDetached(step, of);
}

void CheckRequest(step_context& step, request& of) {
  if (!of.answered && of.deadline_us != 0 && step.now_us >= of.deadline_us &&
      of.phase != request_phase::kRecording &&
      of.phase != request_phase::kReleasing) {
    HandleDeadline(step, of);
    return;
  }
  switch (of.phase) {
    case request_phase::kQueued:
      if (step.now_us - of.phase_since_us >= kNoServerWaitUs &&
          !HasCandidate(step, of)) {
        FailRequest(step, of,
                    {.status = 503,
                     .code = "no_backend",
                     .message = "no backend server accepts requests",
                     .retry_after_s = RetryAfterSeconds(step, of.pool)});
      }
      return;
    case request_phase::kRunning:
      CheckRunning(step, of);
      return;
    case request_phase::kLocating:
      CheckLocating(step, of);
      return;
    default:
      CheckClaimTimeout(step, of);
  }
}

std::vector<std::uint64_t> OpenRequests(const entry_state& state) {
  std::vector<std::uint64_t> numbers;
  numbers.reserve(state.requests.size());
  for (const auto& [number, of] : state.requests) {
    numbers.push_back(number);
  }
  // Arrival order makes runs reproducible.
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

void AbortAll(step_context& step) {
  for (const std::uint64_t number : OpenRequests(step.state)) {
    request* of = FindRequest(step.state, number);
    if (of == nullptr) {
      continue;
    }
    error_reply error{.status = 503,
                      .code = "stopping",
                      .message = "the entry is shutting down",
                      .ran = Outcome(*of),
                      .retry_after_s = 1};
    if (of->phase == request_phase::kClaiming ||
        of->phase == request_phase::kReleasing) {
      error.ran = wire::outcome::kUnknown;
    }
    RespondError(step, *of, error);
    if (!of->non_repeatable) {
      AbandonCurrent(step, *of);
    }
    Close(step, *of);
  }
}

}  // namespace

void CheckTimeouts(step_context& step) {
  UpdateRates(step);
  ResendClaims(step, false);
  for (const std::uint64_t number : OpenRequests(step.state)) {
    if (request* of = FindRequest(step.state, number)) {
      CheckRequest(step, *of);
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
