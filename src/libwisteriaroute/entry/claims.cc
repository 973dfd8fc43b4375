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
               request& of,
               request_phase phase,
               wire::control_message message) {
  EndClaim(step, of);
  const std::uint64_t correlation = step.state.next_correlation++;
  std::visit(
      [&](auto& body) {
        if constexpr (requires { body.correlation; }) {
          body.correlation = correlation;
        }
      },
      message);
  step.state.request_of_correlation[correlation] = of.number;
  SetPhase(step, of, phase);
  step.Emit(send_control{message});
  of.claim = claim_exchange{.correlation = correlation,
                            .message = std::move(message),
                            .first_sent_us = step.now_us,
                            .resend_us = step.now_us + kResendUs};
}

error_reply ClaimUnavailable(const request& of) {
  return {.status = 503,
          .code = "claim_unavailable",
          .message = "control didn't confirm the idempotency key in time",
          .ran = Outcome(of),
          .retry_after_s = 1};
}

void FinishWith(step_context& step, request& of, const error_reply& error) {
  RespondError(step, of, error);
  Close(step, of);
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
            request& of,
            const wire::recorded_response& recorded) {
  Note(step, of, "replayed", {}, std::to_string(recorded.status));
  if (recorded.status == 0 || recorded.body_dropped) {
    FinishWith(step, of, WithoutResponse(recorded));
    return;
  }
  wire::header_list headers = recorded.headers;
  headers.emplace_back("Idempotent-Replayed", "true");
  Respond(step, of, recorded.status, std::move(headers), recorded.body);
  Close(step, of);
}

void DispatchClaimed(step_context& step, request& of) {
  const wire::claim_target target = of.claim_target;
  of.held_attempt = target.attempt;
  of.earlier_outcome = wire::outcome::kNotRun;
  agent* to = FindAgent(step.state, target.agent);
  const bool usable =
      to != nullptr && IsEligible(*to, step.now_us) &&
      to->state->backend_incarnation == target.backend_incarnation &&
      step.now_us < step.state.lease_until_us;
  if (usable) {
    Submit(step, of, *to, target);
    return;
  }
  // The attempt was not dispatched, so the claim can move to another one.
  Enqueue(step, of);
}

void RefuseKey(step_context& step, request& of, wire::claim_result result) {
  switch (result) {
    case wire::claim_result::kBodyMismatch:
      FinishWith(step, of,
                 {.status = 422,
                  .code = "key_reused",
                  .message = "the Idempotency-Key was used for another call",
                  .ran = wire::outcome::kNotRun});
      return;
    case wire::claim_result::kKeyExpired:
      FinishWith(step, of,
                 {.status = 409,
                  .code = "key_expired",
                  .message = "the Idempotency-Key is too old, or not yet valid",
                  .ran = wire::outcome::kNotRun});
      return;
    default:
      FinishWith(step, of,
                 {.status = 429,
                  .code = "key_limit",
                  .message = "the workspace has too many idempotency keys "
                             "without a timestamp; use UUIDs of version 7",
                  .ran = wire::outcome::kNotRun});
  }
}

void HandleClaimingReply(step_context& step,
                         request& of,
                         const wire::claim_reply& reply) {
  const bool ours = reply.result == wire::claim_result::kGranted ||
                    (reply.result == wire::claim_result::kHeld &&
                     reply.holder.attempt == of.claim_target.attempt);
  if (ours) {
    DispatchClaimed(step, of);
    return;
  }
  of.held_attempt.reset();
  if (reply.result == wire::claim_result::kHeld) {
    Locate(step, of, reply.holder);
  } else if (reply.result == wire::claim_result::kRecorded) {
    Replay(step, of, reply.response);
  } else {
    RefuseKey(step, of, reply.result);
  }
}

void HandleReleaseReply(step_context& step,
                        request& of,
                        const wire::claim_reply& reply) {
  of.held_attempt.reset();
  if (reply.result == wire::claim_result::kHeld) {
    Locate(step, of, reply.holder);
  } else if (reply.result == wire::claim_result::kRecorded) {
    Replay(step, of, reply.response);
  } else {
    error_reply error = *of.pending_error;
    error.ran = reply.result == wire::claim_result::kGranted
                    ? of.earlier_outcome
                    : wire::outcome::kUnknown;
    FinishWith(step, of, error);
  }
}

/** Answers the callers with the outcome, whether or not it was recorded. */
void AnswerRecorded(step_context& step, request& of) {
  if (of.pending_error) {
    RespondError(step, of, *of.pending_error);
  } else {
    FinishResponse(step, of);
  }
}

}  // namespace

void RequestClaim(step_context& step, request& of, const agent& to) {
  of.claim_target = {
      .attempt = {step.state.incarnation, step.state.next_attempt++},
      .agent = to.member.name,
      .backend_incarnation = to.state->backend_incarnation,
      .window = to.state->window};
  if (of.held_attempt) {
    Note(step, of, "claim_move", to.member.name);
    SendClaim(step, of, request_phase::kClaiming,
              wire::claim_move{.workspace = of.workspace,
                               .key_digest = of.key_digest,
                               .from_attempt = *of.held_attempt,
                               .to = of.claim_target});
    return;
  }
  Note(step, of, "claim", to.member.name);
  SendClaim(step, of, request_phase::kClaiming,
            wire::claim_request{.workspace = of.workspace,
                                .key_digest = of.key_digest,
                                .body_digest = of.body_digest,
                                .key_created_ms = of.key_created_ms,
                                .target = of.claim_target});
}

void RecordOutcome(step_context& step,
                   request& of,
                   std::optional<error_reply> error) {
  wire::claim_outcome message{
      .workspace = of.workspace,
      .key_digest = of.key_digest,
      .attempt = of.current ? of.current->id : of.holder.attempt};
  wire::recorded_response& recorded = message.response;
  if (error) {
    error->ran = Outcome(of);
    recorded.ran = error->ran;
  } else {
    recorded.ran = wire::outcome::kRan;
    recorded.status = static_cast<std::uint16_t>(of.response.status);
    recorded.headers = of.response.headers;
    recorded.body_dropped = of.response.text.size() > kMaxRecordedBytes;
    if (!recorded.body_dropped) {
      recorded.body = of.response.text;
    }
  }
  of.earlier_outcome = std::max(of.earlier_outcome, of.current_outcome);
  DropCurrent(step, of);
  of.pending_error = std::move(error);
  SendClaim(step, of, request_phase::kRecording, std::move(message));
}

void ReleaseClaim(step_context& step, request& of, error_reply error) {
  of.pending_error = std::move(error);
  SendClaim(step, of, request_phase::kReleasing,
            wire::claim_outcome{.workspace = of.workspace,
                                .key_digest = of.key_digest,
                                .attempt = *of.held_attempt,
                                .response = {.ran = wire::outcome::kNotRun}});
}

void EndClaim(step_context& step, request& of) {
  if (of.claim) {
    step.state.request_of_correlation.erase(of.claim->correlation);
    of.claim.reset();
  }
}

void HandleClaimReply(step_context& step, const wire::claim_reply& reply) {
  const auto found = step.state.request_of_correlation.find(reply.correlation);
  request* of = found == step.state.request_of_correlation.end()
                    ? nullptr
                    : FindRequest(step.state, found->second);
  if (of == nullptr || !of->claim) {
    step.Emit(count_metric{"wisteriaroute_late_messages_total"});
    return;
  }
  if (reply.result == wire::claim_result::kUnavailable) {
    of->claim->resend_us = step.now_us + kUnavailableRetryUs;
    return;
  }
  EndClaim(step, *of);
  switch (of->phase) {
    case request_phase::kClaiming:
      HandleClaimingReply(step, *of, reply);
      return;
    case request_phase::kRecording:
      Note(step, *of, "recorded");
      AnswerRecorded(step, *of);
      Close(step, *of);
      return;
    case request_phase::kReleasing:
      HandleReleaseReply(step, *of, reply);
      return;
    default:
      return;
  }
}

void ResendClaims(step_context& step, bool all) {
  for (auto& [number, of] : step.state.requests) {
    if (of.claim && (all || step.now_us >= of.claim->resend_us)) {
      of.claim->resend_us = step.now_us + kResendUs;
      step.Emit(send_control{of.claim->message});
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
  request* of = FindRequest(step.state, found->second);
  if (of != nullptr && of->claim) {
    of->claim->resend_us = step.now_us + kUnavailableRetryUs;
  }
}

void CheckClaimTimeout(step_context& step, request& of) {
  if (!of.claim) {
    return;
  }
  const base::time_us waited = step.now_us - of.claim->first_sent_us;
  if (of.phase == request_phase::kRecording) {
    if (waited >= kRecordWaitUs) {
      AnswerRecorded(step, of);
    }
    if (waited >= kRecordLimitUs) {
      Close(step, of);
    }
    return;
  }
  if (of.phase == request_phase::kReleasing && waited >= kRecordWaitUs) {
    // Another entry may have moved the claim and run the call in the meantime.
    error_reply error = *of.pending_error;
    error.ran = wire::outcome::kUnknown;
    FinishWith(step, of, error);
    return;
  }
  if (of.phase == request_phase::kClaiming && waited >= kClaimWaitUs) {
    of.earlier_outcome = wire::outcome::kUnknown;
    FinishWith(step, of, ClaimUnavailable(of));
  }
}

}  // namespace wisteriaroute::entry
