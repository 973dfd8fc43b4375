#ifndef LIBWISTERIAROUTE_GATEWAY_STEP_CONTEXT_H_
#define LIBWISTERIAROUTE_GATEWAY_STEP_CONTEXT_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libwisteriaroute/gateway/gateway.h"

namespace wisteriaroute::gateway {

/** What the parts of one step share. */
struct step_context {
  gateway_state& state;
  base::time_us now_us = 0;
  gateway_effects& out;

  std::uint64_t Random();
  void Note(std::string event,
            std::vector<std::pair<std::string, std::string>> fields);
  /** Counts under `name{label="value"}`; the value is one of our own words. */
  void Count(std::string_view name,
             std::string_view label,
             std::string_view value);
  void Measure(const char* name, base::time_us latency_us);
};

using note_fields = std::vector<std::pair<std::string, std::string>>;

// Placing (placement.cc).

/** Time of a pass of the engine's group, as it was declared. */
policy::pass_time PassTime(const config::engine_shape& engine);

/** Whether a server that wasn't tried yet may take the request. */
bool HasOtherServer(step_context& step, const request_state& request);

/**
 * Sends the request to a server, or answers it if none can take it. The
 * request may be gone on return.
 */
void Place(step_context& step, request_state& request);

// Ends (answers.cc). Each removes the request.

/** Answers with a status of the gateway's own. */
void Refuse(step_context& step,
            request_state& request,
            unsigned status,
            std::string_view code,
            base::time_ms retry_after_ms = 0);
/** Passes a whole response on. */
void Relay(step_context& step,
           request_state& request,
           const response_head& head,
           std::string body);
void EndStream(step_context& step, request_state& request);
/** Ends a request that can't be served any more, as its state allows. */
void GiveUp(step_context& step, request_state& request, std::string_view code);
/** Forgets a request whose caller has left. */
void Forget(step_context& step, request_state& request);

// Attempts (attempts.cc).

void HandleHead(step_context& step, const attempt_head& event);
void HandleData(step_context& step, const attempt_data& event);
void HandleEnded(step_context& step, const attempt_ended& event);
/** Ends the attempt in progress without waiting for its response. */
void CancelAttempt(step_context& step, request_state& request);
/** The attempt failed; the request may go on at another server. */
void FailAttempt(step_context& step,
                 request_state& request,
                 attempt_verdict verdict,
                 std::string_view cause);

/** Goes on at another server, if the stream may; else waits on. */
void LeaveSilentServer(step_context& step, request_state& request);

/** Logs that a server leaves; `request` told it, or nothing. */
void NoteLeaving(step_context& step,
                 const server& of,
                 std::string_view source,
                 std::string_view request);

/** The request of an attempt in progress, or null. */
request_state* FindByAttempt(step_context& step, attempt_id attempt);

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_STEP_CONTEXT_H_
