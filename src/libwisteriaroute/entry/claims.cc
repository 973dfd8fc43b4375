#include "libwisteriaroute/entry/claims.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/entry/attempts.h"
#include "libwisteriaroute/entry/queue.h"
#include "libwisteriaroute/entry/resend.h"
#include "libwisteriaroute/entry/respond.h"
#include "libwisteriaroute/entry/streaming.h"

namespace wisteriaroute::entry {

namespace {

constexpr base::time_us kResendUs = 500'000;
constexpr base::time_us kUnavailableRetryUs = 100'000;
// A leader change takes 0.6 to 1.0 s and the session follows it; this allows
// for several leader changes.
constexpr base::time_us kClaimWaitUs = 5'000'000;
// The caller is answered after this time even if the outcome isn't recorded.
constexpr base::time_us kRecordWaitUs = 1'000'000;
// Recording is given up this long after the first try.
constexpr base::time_us kRecordLimitUs = 60'000'000;
constexpr std::size_t kMaxRecordedBytes = 64 * 1024;

void SendClaim(step_context& step,
               request_state& request,
               request_phase phase,
               wire::control_message message) {
  EndClaim(step, request);
  const std::uint64_t correlation = step.state.next_correlation++;
  std::visit(
      [&](auto& body) {
        if constexpr (requires { body.correlation; }) {
          body.correlation = correlation;
        }
      },
      message);
  step.state.request_of_correlation[correlation] = request.number;
  SetPhase(step, request, phase);
  step.Emit(send_control{message});
  request.claim = claim_exchange{.correlation = correlation,
                                 .message = std::move(message),
                                 .first_sent_us = step.now_us,
                                 .resend_us = step.now_us + kResendUs};
}

error_reply ClaimUnavailable(const request_state& request) {
  return {.status = 503,
          .code = "claim_unavailable",
          .message = "control didn't confirm the idempotency key in time",
          .ran = Outcome(request),
          .retry_after_s = 1};
}

void FinishWith(step_context& step,
                request_state& request,
                const error_reply& error) {
  RespondError(step, request, error);
  Close(step, request);
}

error_reply WithoutResponse(const wire::recorded_response& recorded) {
  error_reply error{.status = 409, .ran = recorded.ran};
  if (recorded.body_dropped) {
    error.code = "response_not_kept";
    error.message = "the call has ended, but its response is not stored";
  } else if (recorded.ran == wire::outcome::kRan) {
    error.code = "response_lost";
    error.message = "the call ran, but its response was lost";
  } else {
    error.code = "outcome_unknown";
    error.message = "the call was dispatched and its outcome isn't known";
  }
  return error;
}

void Replay(step_context& step,
            request_state& request,
            const wire::recorded_response& recorded) {
  Note(step, request, "replayed", {}, std::to_string(recorded.status));
  if (recorded.status == 0 || recorded.body_dropped) {
    FinishWith(step, request, WithoutResponse(recorded));
    return;
  }
  wire::header_list headers = recorded.headers;
  headers.emplace_back("Idempotent-Replayed", "true");
  Respond(step, request, recorded.status, std::move(headers), recorded.body);
  Close(step, request);
}

void DispatchClaimed(step_context& step, request_state& request) {
  const wire::claim_target target = request.claim_target;
  request.held_attempt = target.attempt;
  request.earlier_outcome = wire::outcome::kNotRun;
  agent* to = FindAgent(step.state, target.agent);
  const bool usable =
      to != nullptr && IsEligible(*to, step.now_us) &&
      to->state->backend_incarnation == target.backend_incarnation &&
      step.now_us < step.state.lease_until_us;
  if (usable) {
    Submit(step, request, *to, target);
    return;
  }
  // The attempt was not dispatched, so the claim can move to another one.
  Enqueue(step, request);
}

void RefuseKey(step_context& step,
               request_state& request,
               wire::claim_result result) {
  switch (result) {
    case wire::claim_result::kBodyMismatch:
      FinishWith(step, request,
                 {.status = 422,
                  .code = "key_reused",
                  .message = "the Idempotency-Key was used for another call",
                  .ran = wire::outcome::kNotRun});
      return;
    case wire::claim_result::kKeyExpired:
      FinishWith(step, request,
                 {.status = 409,
                  .code = "key_expired",
                  .message = "the Idempotency-Key is too old, or not yet valid",
                  .ran = wire::outcome::kNotRun});
      return;
    default:
      FinishWith(step, request,
                 {.status = 429,
                  .code = "key_limit",
                  .message = "the workspace has too many idempotency keys "
                             "without a timestamp; use UUIDs of version 7",
                  .ran = wire::outcome::kNotRun});
  }
}

void HandleClaimingReply(step_context& step,
                         request_state& request,
                         const wire::claim_reply& reply) {
  const bool ours = reply.result == wire::claim_result::kGranted ||
                    (reply.result == wire::claim_result::kHeld &&
                     reply.holder.attempt == request.claim_target.attempt);
  if (ours) {
    DispatchClaimed(step, request);
    return;
  }
  request.held_attempt.reset();
  if (reply.result == wire::claim_result::kHeld) {
    Locate(step, request, reply.holder);
  } else if (reply.result == wire::claim_result::kRecorded) {
    Replay(step, request, reply.response);
  } else {
    RefuseKey(step, request, reply.result);
  }
}

void HandleReleaseReply(step_context& step,
                        request_state& request,
                        const wire::claim_reply& reply) {
  request.held_attempt.reset();
  if (reply.result == wire::claim_result::kHeld) {
    Locate(step, request, reply.holder);
  } else if (reply.result == wire::claim_result::kRecorded) {
    Replay(step, request, reply.response);
  } else {
    error_reply error = *request.pending_error;
    error.ran = reply.result == wire::claim_result::kGranted
                    ? request.earlier_outcome
                    : wire::outcome::kUnknown;
    FinishWith(step, request, error);
  }
}

/** Answers the callers with the outcome, whether or not it was recorded. */
void AnswerRecorded(step_context& step, request_state& request) {
  if (request.pending_error) {
    RespondError(step, request, *request.pending_error);
  } else {
    FinishResponse(step, request);
  }
}

}  // namespace

void RequestClaim(step_context& step, request_state& request, const agent& to) {
  request.claim_target = {
      .attempt = {step.state.incarnation, step.state.next_attempt++},
      .agent = to.member.name,
      .backend_incarnation = to.state->backend_incarnation,
      .window = to.state->window};
  if (request.held_attempt) {
    Note(step, request, "claim_move", to.member.name);
    SendClaim(step, request, request_phase::kClaiming,
              wire::claim_move{.workspace = request.workspace,
                               .key_digest = request.key_digest,
                               .from_attempt = *request.held_attempt,
                               .to = request.claim_target});
    return;
  }
  Note(step, request, "claim", to.member.name);
  SendClaim(step, request, request_phase::kClaiming,
            wire::claim_request{.workspace = request.workspace,
                                .key_digest = request.key_digest,
                                .body_digest = request.body_digest,
                                .key_created_ms = request.key_created_ms,
                                .target = request.claim_target});
}

void RecordOutcome(step_context& step,
                   request_state& request,
                   std::optional<error_reply> error) {
  wire::claim_outcome message{.workspace = request.workspace,
                              .key_digest = request.key_digest,
                              .attempt = request.current
                                             ? request.current->id
                                             : request.holder.attempt};
  wire::recorded_response& recorded = message.response;
  if (error) {
    error->ran = Outcome(request);
    recorded.ran = error->ran;
  } else {
    recorded.ran = wire::outcome::kRan;
    recorded.status = static_cast<std::uint16_t>(request.response.status);
    recorded.headers = request.response.headers;
    recorded.body_dropped = request.response.text.size() > kMaxRecordedBytes;
    if (!recorded.body_dropped) {
      recorded.body = request.response.text;
    }
  }
  request.earlier_outcome =
      std::max(request.earlier_outcome, request.current_outcome);
  DropCurrent(step, request);
  request.pending_error = std::move(error);
  SendClaim(step, request, request_phase::kRecording, std::move(message));
}

void ReleaseClaim(step_context& step,
                  request_state& request,
                  error_reply error) {
  request.pending_error = std::move(error);
  SendClaim(step, request, request_phase::kReleasing,
            wire::claim_outcome{.workspace = request.workspace,
                                .key_digest = request.key_digest,
                                .attempt = *request.held_attempt,
                                .response = {.ran = wire::outcome::kNotRun}});
}

void EndClaim(step_context& step, request_state& request) {
  if (request.claim) {
    step.state.request_of_correlation.erase(request.claim->correlation);
    request.claim.reset();
  }
}

void HandleClaimReply(step_context& step, const wire::claim_reply& reply) {
  const auto found = step.state.request_of_correlation.find(reply.correlation);
  request_state* request = found == step.state.request_of_correlation.end()
                               ? nullptr
                               : FindRequest(step.state, found->second);
  if (request == nullptr || !request->claim) {
    step.Emit(count_metric{"wisteriaroute_late_messages_total"});
    return;
  }
  if (reply.result == wire::claim_result::kUnavailable) {
    request->claim->resend_us = step.now_us + kUnavailableRetryUs;
    return;
  }
  EndClaim(step, *request);
  switch (request->phase) {
    case request_phase::kClaiming:
      HandleClaimingReply(step, *request, reply);
      return;
    case request_phase::kRecording:
      Note(step, *request, "recorded");
      AnswerRecorded(step, *request);
      Close(step, *request);
      return;
    case request_phase::kReleasing:
      HandleReleaseReply(step, *request, reply);
      return;
    default:
      return;
  }
}

void ResendClaims(step_context& step, bool all) {
  for (auto& [number, request] : step.state.requests) {
    if (request.claim && (all || step.now_us >= request.claim->resend_us)) {
      request.claim->resend_us = step.now_us + kResendUs;
      step.Emit(send_control{request.claim->message});
    }
  }
}

void HandleClaimDropped(step_context& step,
                        const wire::control_message& message) {
  const std::uint64_t correlation = std::visit(
      [](const auto& body) -> std::uint64_t {
        if constexpr (requires { body.correlation; }) {
          return body.correlation;
        } else {
          return 0;
        }
      },
      message);
  const auto found = step.state.request_of_correlation.find(correlation);
  if (found == step.state.request_of_correlation.end()) {
    return;
  }
  request_state* request = FindRequest(step.state, found->second);
  if (request != nullptr && request->claim) {
    request->claim->resend_us = step.now_us + kUnavailableRetryUs;
  }
}

void CheckClaimTimeout(step_context& step, request_state& request) {
  if (!request.claim) {
    return;
  }
  const base::time_us waited = step.now_us - request.claim->first_sent_us;
  if (request.phase == request_phase::kRecording) {
    if (waited >= kRecordWaitUs) {
      AnswerRecorded(step, request);
    }
    if (waited >= kRecordLimitUs) {
      Close(step, request);
    }
    return;
  }
  if (request.phase == request_phase::kReleasing && waited >= kRecordWaitUs) {
    // Another entry may have moved the claim and run the call in the meantime.
    error_reply error = *request.pending_error;
    error.ran = wire::outcome::kUnknown;
    FinishWith(step, request, error);
    return;
  }
  if (request.phase == request_phase::kClaiming && waited >= kClaimWaitUs) {
    request.earlier_outcome = wire::outcome::kUnknown;
    FinishWith(step, request, ClaimUnavailable(request));
  }
}

}  // namespace wisteriaroute::entry
