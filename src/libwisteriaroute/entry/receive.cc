#include "libwisteriaroute/entry/receive.h"

#include <utility>

#include "libwisteriaroute/entry/admission.h"
#include "libwisteriaroute/entry/api.h"
#include "libwisteriaroute/entry/attempts.h"
#include "libwisteriaroute/entry/claims.h"
#include "libwisteriaroute/entry/quarantine.h"
#include "libwisteriaroute/entry/queue.h"
#include "libwisteriaroute/entry/respond.h"
#include "libwisteriaroute/entry/streaming.h"
#include "libwisteriaroute/entry/validation.h"

namespace wisteriaroute::entry {

namespace {

bool AcceptsWork(const step_context& step) {
  const entry_state& state = step.state;
  const bool settled =
      state.stopping &&
      step.now_us - state.stopping_since_us >= state.settings.settle_ms * 1'000;
  return state.configuration != nullptr && step.now_us < state.lease_until_us &&
         !settled;
}

error_reply NotReady(const step_context& step, const http_received& event) {
  // A service call with a key may be the resend of a call that ran.
  const bool keyed = !event.request.Header("idempotency-key").empty() &&
                     !event.request.path.starts_with("/v1/");
  return {.status = 503,
          .code = step.state.stopping ? "stopping" : "not_ready",
          .message = step.state.stopping
                         ? "the entry is shutting down"
                         : "the entry has no valid lease or configuration",
          .ran = keyed ? wire::outcome::kUnknown : wire::outcome::kNotRun,
          .retry_after_s =
              1 + static_cast<std::int64_t>(NextRandom(step.state) % 3)};
}

void Answer(step_context& step,
            net::exchange_id exchange,
            unsigned status,
            std::string body,
            const char* type) {
  step.Emit(http_respond{
      exchange, status, {{"Content-Type", type}}, std::move(body)});
}

// Handles requests for the entry's own endpoints; returns false for others.
bool HandleOwnEndpoint(step_context& step, const http_received& event) {
  const std::string& path = event.request.path;
  if (path == "/healthz") {
    Answer(step, event.exchange, 200, "ok\n", "text/plain");
  } else if (path == "/readyz") {
    const bool ready = IsReady(step.state, step.now_us);
    Answer(step, event.exchange, ready ? 200 : 503,
           ready ? "ready\n" : "not ready\n", "text/plain");
  } else if (path == "/metrics") {
    step.Emit(respond_metrics{event.exchange});
  } else {
    return false;
  }
  return true;
}

void HandleModels(step_context& step,
                  const http_received& event,
                  const std::string& request_id) {
  const config::workspace* owner = Authenticate(step.state, event.request);
  if (owner == nullptr) {
    Refuse(step, event.exchange,
           {.status = 401,
            .code = "unauthenticated",
            .message = "the bearer key isn't known",
            .ran = wire::outcome::kNotRun},
           request_id);
    return;
  }
  Answer(step, event.exchange, 200, ModelList(owner->models),
         "application/json");
}

void JoinRequest(step_context& step,
                 request_state& open,
                 const request_state& joining) {
  const net::exchange_id caller = joining.callers.front();
  Note(step, open, "joined");
  if (open.phase == request_phase::kRecording && open.answered &&
      !open.pending_error) {
    wire::header_list headers = open.response.headers;
    headers.emplace_back("Idempotent-Replayed", "true");
    step.Emit(http_respond{caller, open.response.status, std::move(headers),
                           open.response.text});
    return;
  }
  open.answered = false;
  open.deadline_us = std::max(open.deadline_us, joining.deadline_us);
  open.callers.push_back(caller);
  step.state.request_of_exchange[caller] = open.number;
  SendStreamSoFar(step, open, caller);
}

// Joins a request to an open one with the same key, or refuses it if their
// bodies differ. Returns false if the request must be handled on its own.
bool HandleDuplicate(step_context& step, const request_state& received) {
  if (received.key.empty()) {
    return false;
  }
  const auto found =
      step.state.request_of_key.find({received.workspace, received.key_digest});
  request_state* open = found == step.state.request_of_key.end()
                            ? nullptr
                            : FindRequest(step.state, found->second);
  if (open == nullptr) {
    return false;
  }
  if (open->body_digest != received.body_digest) {
    Refuse(step, received.callers.front(),
           {.status = 422,
            .code = "key_reused",
            .message = "the Idempotency-Key was used for another call",
            .ran = wire::outcome::kNotRun},
           received.request_id);
    return true;
  }
  if (open->response.forwarded) {
    return false;
  }
  JoinRequest(step, *open, received);
  return true;
}

void Accept(step_context& step, request_state received) {
  const std::uint64_t number = step.state.next_request++;
  received.number = number;
  for (const net::exchange_id caller : received.callers) {
    step.state.request_of_exchange[caller] = number;
  }
  if (!received.key.empty()) {
    step.state.request_of_key[{received.workspace, received.key_digest}] =
        number;
  }
  ++step.state.retry_budget_counts[step.now_us / 1'000'000].first;
  request_state& open =
      step.state.requests.emplace(number, std::move(received)).first->second;
  Note(step, open, "received", {}, open.workspace);
  Enqueue(step, open);
}

}  // namespace

void HandleHttp(step_context& step, const http_received& event) {
  step.state.random ^= event.seed;
  if (HandleOwnEndpoint(step, event)) {
    return;
  }
  const std::string request_id = RequestId(step.state, event.request);
  step.Emit(count_metric{"wisteriaroute_requests_total"});
  if (!AcceptsWork(step)) {
    Refuse(step, event.exchange, NotReady(step, event), request_id);
    return;
  }
  if (event.request.path == "/v1/models" && event.request.method == "GET") {
    HandleModels(step, event, request_id);
    return;
  }
  auto validated = Validate(step.state, event, step.now_us);
  if (const auto* error = std::get_if<error_reply>(&validated)) {
    Refuse(step, event.exchange, *error, request_id);
    return;
  }
  auto& received = std::get<request_state>(validated);
  received.request_id = request_id;
  if (HandleDuplicate(step, received)) {
    return;
  }
  MarkSuspect(step.state, received);
  std::optional<error_reply> error;
  if (IsQuarantined(step.state, received)) {
    error = QuarantinedError();
    error->ran = received.earlier_outcome;
  } else {
    error = Admit(step, received);
  }
  if (error) {
    Refuse(step, event.exchange, *error, request_id);
    return;
  }
  Accept(step, std::move(received));
}

void HandleCallerLeft(step_context& step, const caller_left& event) {
  const auto found = step.state.request_of_exchange.find(event.exchange);
  if (found == step.state.request_of_exchange.end()) {
    return;
  }
  request_state* request = FindRequest(step.state, found->second);
  step.state.request_of_exchange.erase(found);
  if (request == nullptr) {
    return;
  }
  std::erase(request->callers, event.exchange);
  if (!request->callers.empty()) {
    return;
  }
  step.Emit(count_metric{"wisteriaroute_abandoned_total"});
  Note(step, *request, "caller_left");
  request->answered = true;
  ReleaseUsage(step, *request);
  if (!request->non_repeatable) {
    AbandonCurrent(step, *request);
    Close(step, *request);
  } else if (request->phase == request_phase::kQueued) {
    FailRequest(step, *request, {.status = 499, .code = "caller_left"});
  } else if (request->phase == request_phase::kClaiming ||
             request->phase == request_phase::kLocating) {
    Close(step, *request);
  }
  // A non-repeatable call that may run continues without callers, so that its
  // outcome is recorded for a resend.
}

}  // namespace wisteriaroute::entry
