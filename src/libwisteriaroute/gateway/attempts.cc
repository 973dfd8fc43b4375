#include <utility>

#include "libwisteriaroute/gateway/step_context.h"
#include "libwisteriaroute/policy/pause_ramp.h"

namespace wisteriaroute::gateway {

namespace {

constexpr unsigned kOkFirst = 200;
constexpr unsigned kOkLast = 299;
constexpr unsigned kServerError = 500;

bool IsSuccess(unsigned status) {
  return status >= kOkFirst && status <= kOkLast;
}

/** Whether a server may have run the request; an attempt in progress counts. */
bool MayHaveRun(const request_state& request) {
  const bool runs_now =
      request.attempt != 0 && !(request.head && request.head->not_run);
  return request.may_have_run || runs_now;
}

/** Whether the request may be sent to one more server, as far as its route and
 * the runs that may have begun allow it. */
bool MayRetry(const request_state& request) {
  // The events of two runs can be joined only by their ids.
  const bool may_run_again =
      request.route->repeats == config::repetition::kRepeatable &&
      !request.has_unnumbered_events;
  return request.attempts < request.route->max_attempts &&
         (may_run_again || !MayHaveRun(request));
}

/** Removes the current attempt from the state. Returns its server, or null if
 * it is gone. */
server* RemoveAttempt(step_context& step, request_state& request) {
  step.state.attempts.erase(std::exchange(request.attempt, 0));
  server* target = step.state.servers.Find(request.server);
  if (target != nullptr && target->in_flight > 0) {
    --target->in_flight;
  }
  return target;
}

void RecordVerdict(step_context& step,
                   server* target,
                   attempt_verdict verdict,
                   const request_state& request,
                   std::string_view cause) {
  if (target == nullptr) {
    return;
  }
  NoteVerdictForLimit(step, *target, verdict, request);
  const bool was_usable = target->suspended_until_us <= step.now_us;
  step.state.servers.NoteVerdict(*target, verdict, step.now_us);
  if (was_usable && target->suspended_until_us > step.now_us &&
      verdict != attempt_verdict::kBusy) {
    step.Note(
        "server_suspended",
        {{"server", target->info.name},
         {"request", request.request.id},
         {"cause", std::string(cause)},
         {"failures", std::to_string(target->failures)},
         {"for_ms",
          std::to_string((target->suspended_until_us - step.now_us) / 1'000)}});
  }
}

/** Whether the request may be sent to one more server. If so, takes a retry
 * from the budget of its service. */
bool TakeRetry(step_context& step, const request_state& request) {
  return MayRetry(request) && step.state.budgets[request.service].Take(
                                  step.now_us, step.state.options.retries);
}

void RecordEventGap(step_context& step, const request_state& request) {
  const config::traffic_service* service =
      request.traffic->FindService(request.service);
  if (request.route->gap_objective_ms <= 0 || service == nullptr ||
      !service->engine) {
    return;
  }
  const double gap_ms =
      static_cast<double>(step.now_us - request.last_event_us) / 1'000;
  const server* from = step.state.servers.Find(request.server);
  if (from == nullptr) {
    return;
  }
  const std::string& pool = PoolOf(from->info);
  NoteGap(step.state.stream_limits[pool], gap_ms,
          static_cast<double>(request.route->gap_objective_ms),
          static_cast<double>(service->engine->slots), step.now_us);
  const auto load = step.state.servers.TotalLoad(pool, step.now_us);
  if (load.servers > 0) {
    NoteSlowdown(step.state.slowdown_reserves[pool], gap_ms,
                 load.requests / static_cast<double>(load.servers),
                 PassTime(*service->engine), step.now_us);
  }
}

/** Takes the complete events of the current attempt that the caller lacks.
 * Returns why the attempt can't go on after them; null if it can. */
const char* TakeEvents(request_state& request,
                       std::size_t max_event_bytes,
                       std::string_view data,
                       std::string& forwarded) {
  for (stream_event& event : request.framer.Feed(data)) {
    // A run that doesn't go on after the last event isn't the same answer.
    const bool must_continue =
        request.events > 0 && request.attempt_events == 0;
    if (must_continue && !event.id && !event.is_comment) {
      return "event without an id in a continued stream";
    }
    if (event.id && request.last_event_id) {
      if (*event.id <= *request.last_event_id && must_continue) {
        return "stream not continued after its last event";
      }
      if (*event.id <= *request.last_event_id) {
        continue;
      }
      if (*event.id != *request.last_event_id + 1) {
        return "event missing from stream";
      }
    }
    if (event.id) {
      request.last_event_id = event.id;
    } else if (!event.is_comment) {
      request.has_unnumbered_events = true;
    }
    forwarded += event.text;
    ++request.events;
    ++request.attempt_events;
  }
  return request.framer.partial_event_bytes() > max_event_bytes
             ? "event exceeds size limit"
             : nullptr;
}

void WriteEvents(step_context& step,
                 request_state& request,
                 std::string forwarded) {
  if (request.phase == request_phase::kStreaming) {
    step.Measure("wisteriaroute_event_gap_seconds",
                 step.now_us - request.last_event_us);
  }
  request.last_event_us = step.now_us;
  if (request.phase != request_phase::kStreaming) {
    request.phase = request_phase::kStreaming;
    request.first_event_us = step.now_us;
    NoteAnswerBegun(step, request);
    step.Measure("wisteriaroute_first_event_seconds",
                 step.now_us - request.arrived_us);
    step.out.push_back(start_stream{request.exchange, request.head->status,
                                    request.head->headers});
  }
  step.out.push_back(write_stream{request.exchange, std::move(forwarded)});
}

void ForwardEvents(step_context& step,
                   request_state& request,
                   std::string_view data) {
  // The wait for a server's first event says nothing about its pace.
  const bool follows_event = request.attempt_events > 0;
  std::string forwarded;
  const char* broken =
      TakeEvents(request, step.state.options.max_event_bytes, data, forwarded);
  if (!forwarded.empty()) {
    if (follows_event && !std::exchange(request.gap_is_callers, false)) {
      RecordEventGap(step, request);
    }
    WriteEvents(step, request, std::move(forwarded));
  }
  if (broken != nullptr) {
    CancelAttempt(step, request);
    FailAttempt(step, request, attempt_verdict::kFailed, broken);
  }
}

/** Handles a complete response with a status outside 2xx. */
void HandleFailureResponse(step_context& step, request_state& request) {
  server* target = RemoveAttempt(step, request);
  request.may_have_run = true;
  const bool server_error = request.head->status >= kServerError;
  RecordVerdict(
      step, target,
      server_error ? attempt_verdict::kFailed : attempt_verdict::kGood, request,
      "status " + std::to_string(request.head->status));
  if (server_error && TakeRetry(step, request)) {
    request.failure_head = std::move(request.head);
    request.failure_body = std::move(request.body);
    Dispatch(step, request);
    return;
  }
  if (request.phase == request_phase::kStreaming) {
    GiveUp(step, request, "server_failed");
    return;
  }
  const response_head head = *request.head;
  Relay(step, request, head, std::move(request.body));
}

/** Why a stream that has ended isn't complete; null if it is. */
const char* WhyBroken(const request_state& request) {
  if (request.framer.has_partial_event()) {
    return "stream ended within an event";
  }
  // The end of the connection may as well be that of the server.
  if (request.head->ends_with_connection && request.attempt_events == 0) {
    return "stream ended with its connection before an event";
  }
  // Whether the first server had sent all events isn't known.
  if (request.events > request.attempt_events && request.attempt_events == 0) {
    return "continued stream ended before an event";
  }
  return nullptr;
}

void HandleComplete(step_context& step, request_state& request) {
  if (!IsSuccess(request.head->status)) {
    HandleFailureResponse(step, request);
    return;
  }
  if (request.route->streams && request.head->event_stream) {
    server* target = RemoveAttempt(step, request);
    if (const char* cause = WhyBroken(request)) {
      request.may_have_run = true;
      MarkLost(step, request.server);
      if (request.events == 0) {
        NoteBrokenAttempt(step, request);
      }
      FailAttempt(step, request, attempt_verdict::kFailed, cause);
      return;
    }
    RecordVerdict(step, target, attempt_verdict::kGood, request, "");
    EndStream(step, request);
    return;
  }
  NoteResponseTime(step, request);
  RecordVerdict(step, RemoveAttempt(step, request), attempt_verdict::kGood,
                request, "");
  NoteAnswerBegun(step, request);
  const response_head head = *request.head;
  Relay(step, request, head, std::move(request.body));
}

/** Handles a response in which the server declares that it didn't run the
 * request. */
void HandleNotRun(step_context& step, request_state& request) {
  const bool wrong_server = request.head->wrong_server;
  CancelAttempt(step, request);
  RecordVerdict(
      step, step.state.servers.Find(request.server),
      wrong_server ? attempt_verdict::kReplaced : attempt_verdict::kBusy,
      request, "not run");
  step.Count("wisteriaroute_attempt_ends_total", "end", "not_run");
  step.Note(
      "attempt_not_run",
      {{"request", request.request.id},
       {"server", request.server},
       {"status", std::to_string(request.head->status)},
       {"at_fault", request.head->server_at_fault},
       {"after_ms",
        std::to_string((step.now_us - request.attempt_started_us) / 1'000)}});
  if (TakeRetry(step, request)) {
    Dispatch(step, request);
    return;
  }
  GiveUp(step, request, "server_refused");
}

std::string JoinPartIds(const caller_request& request) {
  std::string joined;
  for (const prompt_part& part : request.shared_parts) {
    joined += joined.empty() ? "" : ",";
    joined += part.id;
  }
  return joined;
}

/** Records a failed attempt in the server table, the metrics and the log. */
void NoteFailure(step_context& step,
                 const request_state& request,
                 attempt_verdict verdict,
                 std::string_view cause) {
  RecordVerdict(step, step.state.servers.Find(request.server), verdict, request,
                cause);
  step.Count(
      "wisteriaroute_attempt_ends_total", "end",
      verdict == attempt_verdict::kUnreachable ? "unreachable" : "failed");
  step.Note(
      "attempt_failed",
      {{"request", request.request.id},
       {"server", request.server},
       {"cause", std::string(cause)},
       {"after_ms",
        std::to_string((step.now_us - request.attempt_started_us) / 1'000)},
       {"events", std::to_string(request.events)},
       {"digest", base::ToString(request.request.digest)},
       {"parts", JoinPartIds(request.request)}});
}

/** Applies what the head says about the server itself, whatever the outcome of
 * the request: that the server is leaving or asks for a pause. A response that
 * asks for no pause counts towards the ramp after the last one, unless the
 * server didn't run the request. */
void ApplyLeavingAndPause(step_context& step,
                          const request_state& request,
                          server& target,
                          const response_head& head) {
  // The response is from another server or from an earlier incarnation.
  if (head.wrong_server ||
      target.info.incarnation != request.server_incarnation) {
    return;
  }
  if (head.leaving && !target.info.leaving) {
    step.state.servers.NoteLeaving(target);
    NoteLeaving(step, target, "header", request.request.id);
  }
  if (head.pause_unreadable) {
    step.Note("server_pause_unreadable",
              {{"server", target.info.name}, {"request", request.request.id}});
  }
  if (head.pause_ms.value_or(0) == 0) {
    target.responses_after_pause += head.not_run ? 0 : 1;
    return;
  }
  const base::time_us until_us =
      policy::RampStartUs(step.now_us + *head.pause_ms * 1'000, step.Random());
  step.state.servers.NotePause(target, until_us);
  step.Count("wisteriaroute_server_wishes_total", "wish", "pause");
  step.Note("server_paused",
            {{"server", target.info.name},
             {"incarnation", std::to_string(target.info.incarnation)},
             {"source", "header"},
             {"request", request.request.id},
             {"asked_ms", std::to_string(*head.pause_ms)},
             {"for_ms",
              std::to_string((target.paused_until_us - step.now_us) / 1'000)}});
}

}  // namespace

void NoteLeaving(step_context& step,
                 const server& target,
                 std::string_view source,
                 std::string_view request) {
  step.Count("wisteriaroute_server_wishes_total", "wish", "leaving");
  step.Note("server_leaving",
            {{"server", target.info.name},
             {"incarnation", std::to_string(target.info.incarnation)},
             {"source", std::string(source)},
             {"request", std::string(request)},
             {"in_flight", std::to_string(target.in_flight)}});
}

request_state* FindByAttempt(step_context& step, attempt_id attempt) {
  const auto exchange = step.state.attempts.find(attempt);
  return exchange == step.state.attempts.end()
             ? nullptr
             : &step.state.requests.find(exchange->second)->second;
}

void HandleHead(step_context& step, const attempt_head& event) {
  request_state* request = FindByAttempt(step, event.attempt);
  if (request == nullptr) {
    return;
  }
  server* target = step.state.servers.Find(request->server);
  if (target != nullptr) {
    ApplyLeavingAndPause(step, *request, *target, event.head);
    ApplyColdAnswer(step, *request, *target, event.head);
    if (event.head.load) {
      step.state.servers.NoteLoad(*target, *event.head.load, step.now_us);
    }
  }
  request->head = event.head;
  const response_head& head = *request->head;
  if (head.not_run) {
    HandleNotRun(step, *request);
    return;
  }
  if (!IsSuccess(head.status)) {
    return;
  }
  const char* unusable = nullptr;
  if (!head.sealed || head.encoded) {
    unusable = "response without server seal or encoded";
  } else if (request->phase == request_phase::kStreaming &&
             !head.event_stream) {
    unusable = "continued stream answered without events";
  }
  if (unusable != nullptr) {
    CancelAttempt(step, *request);
    FailAttempt(step, *request, attempt_verdict::kFailed, unusable);
  } else if (request->route->streams && head.event_stream) {
    NoteResponseTime(step, *request);
  }
}

void HandleData(step_context& step, const attempt_data& event) {
  request_state* request = FindByAttempt(step, event.attempt);
  if (request == nullptr || !request->head) {
    return;
  }
  if (request->route->streams && request->head->event_stream &&
      IsSuccess(request->head->status)) {
    ForwardEvents(step, *request, event.data);
  } else {
    request->body += event.data;
    if (request->body.size() > step.state.options.max_response_bytes) {
      CancelAttempt(step, *request);
      FailAttempt(step, *request, attempt_verdict::kFailed,
                  "response exceeds size limit");
    }
  }
}

void HandleEnded(step_context& step, const attempt_ended& event) {
  request_state* request = FindByAttempt(step, event.attempt);
  if (request == nullptr) {
    return;
  }
  if (event.ok) {
    HandleComplete(step, *request);
    return;
  }
  RemoveAttempt(step, *request);
  // It may have crashed and started again.
  MarkLost(step, request->server);
  if (event.never_sent) {
    --request->attempts;
    FailAttempt(step, *request, attempt_verdict::kUnreachable, event.error);
    return;
  }
  request->may_have_run = true;
  if (request->events == 0 && request->body.empty()) {
    NoteBrokenAttempt(step, *request);
  }
  FailAttempt(step, *request, attempt_verdict::kFailed, event.error);
}

void CancelAttempt(step_context& step, request_state& request) {
  if (request.attempt == 0) {
    return;
  }
  // The server may have started the request unless it has declared otherwise.
  if (!request.head || !request.head->not_run) {
    request.may_have_run = true;
  }
  step.out.push_back(cancel_attempt{request.attempt});
  RemoveAttempt(step, request);
}

void LeaveSilentServer(step_context& step, request_state& request) {
  // If no other attempt is possible or allowed, the silent server may still
  // continue the stream.
  if (!HasOtherServer(step, request) || !TakeRetry(step, request)) {
    return;
  }
  CancelAttempt(step, request);
  NoteFailure(step, request, attempt_verdict::kFailed,
              "no event within the silence limit");
  Dispatch(step, request);
}

void FailAttempt(step_context& step,
                 request_state& request,
                 attempt_verdict verdict,
                 std::string_view cause) {
  NoteFailure(step, request, verdict, cause);
  // Nothing reached the server, so this doesn't count against the retry budget.
  const bool no_retry_needed =
      verdict == attempt_verdict::kUnreachable && MayRetry(request);
  if (no_retry_needed || TakeRetry(step, request)) {
    Dispatch(step, request);
    return;
  }
  GiveUp(step, request, "attempts_exhausted");
}

}  // namespace wisteriaroute::gateway
