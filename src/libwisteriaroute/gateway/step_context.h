#ifndef LIBWISTERIAROUTE_GATEWAY_STEP_CONTEXT_H_
#define LIBWISTERIAROUTE_GATEWAY_STEP_CONTEXT_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libwisteriaroute/gateway/gateway.h"
#include "libwisteriaroute/policy/server_choice.h"

namespace wisteriaroute::gateway {

/** State and outputs of one step of the reducer, shared by its parts. */
struct step_context {
  gateway_state& state;
  base::time_us now_us = 0;
  gateway_effects& out;

  std::uint64_t Random();
  void Note(std::string event,
            std::vector<std::pair<std::string, std::string>> fields);
  /** Increments the counter `name{label="value"}`. The value is not escaped and
   * must not come from outside. */
  void Count(std::string_view name,
             std::string_view label,
             std::string_view value);
  void Measure(const char* name, base::time_us latency_us);
};

using note_fields = std::vector<std::pair<std::string, std::string>>;

// Server selection (placement.cc).

/** Duration of a pass of the engine's group, from its configuration. */
policy::pass_time PassTime(const config::engine_shape& engine);

/** Whether a server to which the request hasn't been sent can take it. */
bool HasOtherServer(step_context& step, const request_state& request);

/**
 * Sends the request to a server that it hasn't been sent to. If none can take
 * it, or too little time is left, ends the request: refuses it or calls
 * GiveUp(). In that case `request` is invalid on return.
 */
void Dispatch(step_context& step, request_state& request);

// Limits of concurrent requests per server (server_limits.cc).

/**
 * Chooses a server within the limits that were observed, a server that is due
 * for a probe, or, if all have reached their limits, one within its declared
 * slots. `indexes` are those of the candidates in `servers`. Returns an index
 * of a candidate.
 */
std::optional<std::size_t> ChooseWithinLimits(
    step_context& step,
    const request_state& request,
    std::span<server* const> servers,
    std::span<const std::size_t> indexes,
    std::span<policy::server_candidate> candidates);
/** Records that an attempt is sent to the server. */
void BeginMeasurement(step_context& step, request_state& request, server& to);
/** Records the response time of the attempt in progress. */
void NoteResponseTime(step_context& step, request_state& request);
/** Records the time that the attempt has taken until now, if it is overdue. */
void NoteOverdue(step_context& step, request_state& request);
/** Records refusals and failures. */
void NoteVerdictForLimit(step_context& step,
                         server& target,
                         attempt_verdict verdict,
                         const request_state& request);

// Ends of requests (answers.cc). Each function removes the request.

/** Responds with an error of the gateway itself. */
void Refuse(step_context& step,
            request_state& request,
            unsigned status,
            std::string_view code,
            base::time_ms retry_after_ms = 0);
/** Forwards a complete response of a server to the caller. */
void Relay(step_context& step,
           request_state& request,
           const response_head& head,
           std::string body);
void EndStream(step_context& step, request_state& request);
/** Ends a request that can't be served any more: aborts a stream in progress,
 * forwards the last failure response of a server if there is one, or else
 * responds with the error `code`. */
void GiveUp(step_context& step, request_state& request, std::string_view code);
/** Removes a request whose caller has disconnected. */
void Forget(step_context& step, request_state& request);

// Attempts (attempts.cc).

void HandleHead(step_context& step, const attempt_head& event);
void HandleData(step_context& step, const attempt_data& event);
void HandleEnded(step_context& step, const attempt_ended& event);
/** Ends the attempt in progress without waiting for its response. */
void CancelAttempt(step_context& step, request_state& request);
/** Records that the attempt failed. Sends the request to another server if its
 * retries allow it, or else ends it. */
void FailAttempt(step_context& step,
                 request_state& request,
                 attempt_verdict verdict,
                 std::string_view cause);

// Crashes of servers and their causes (crash_watch.cc).

/** Handles the loss of the connection of an attempt that had no answer yet. */
void NoteBrokenAttempt(step_context& step, const request_state& request);
/** Records that a server has begun to answer the request. */
void NoteAnswerBegun(step_context& step, const request_state& request);
/** The last part of the prompt that no server is known to have answered; null
 * if there is none. */
const prompt_part* FindUnansweredPart(const crash_watch& watch,
                                      const caller_request& request);
/** Whether the part may have caused a crash. */
bool IsSuspect(const crash_watch& watch, const prompt_part& part);
/** Whether the request or a part of its prompt may not run; logs the cause. */
bool IsQuarantined(step_context& step, const request_state& request);
/** Keeps new work from the group of a server that has crashed. `source` tells
 * how that is known. */
void NoteServerCrash(step_context& step,
                     std::string_view server,
                     std::uint64_t incarnation,
                     std::string_view source);

// Cold servers (cold_servers.cc).

/** Marks the server as cold for its service's period from `since_us` on. Does
 * nothing if control hasn't announced it. */
void MarkCold(step_context& step,
              std::string_view server_id,
              base::time_us since_us,
              std::string_view cause);
/** Marks the server as cold because a connection to it was lost or couldn't be
 * made: it may have started again or be about to. */
void MarkLost(step_context& step, std::string_view server_id);
/** Marks all servers of the data centre, after its evacuation has ended. */
void MarkDataCenterCold(step_context& step,
                        std::string_view data_center,
                        base::time_us since_us);
/** Applies what an update says of entries and of cold servers. The server table
 * must have been updated. */
void ApplyColdReports(step_context& step, const wire::member_update& update);
/** Applies what a server's answer says of itself. */
void ApplyColdAnswer(step_context& step,
                     const request_state& request,
                     const server& target,
                     const response_head& head);
/** Records that a request is sent to the server. */
void NoteColdSend(step_context& step, const server& to);
/** Whether the server is warm or this entry has a share of its rate left. */
bool MaySendNow(step_context& step, const server& to);
/** Time until one of these servers may take a request if cold ones are among
 * them; nothing if none is held back as cold. */
std::optional<base::time_us> ColdWaitUs(step_context& step,
                                        const std::vector<server*>& servers);
/** Whether the server is cold and its service limits cold servers. */
bool IsCold(const step_context& step, const server& one);
/** The part of TotalLoad() that is at cold servers. */
server_table::total_load ColdLoad(const step_context& step,
                                  std::string_view pool);
/** Detects that the process was frozen. Requests that were being sent then
 * count as sent now, and all servers count as cold until EndUnsure(). */
void NoteElapsedTime(step_context& step);
/** What control sent during a freeze is known. */
void EndUnsure(step_context& step);

void HandleProbe(step_context& step, const probe_ended& event);
void HandleQuarantine(step_context& step,
                      const wire::quarantine_update& update);
void HandleControlOpened(step_context& step);
/** Sends what waits to be reported to control. */
void SendReports(step_context& step);

/** Moves a stream from a server that has stopped sending events to another
 * server. Keeps waiting if no other server can take it or no retry is left. */
void LeaveSilentServer(step_context& step, request_state& request);

/** Logs and counts that a server leaves. `request` is the id of the request
 * whose response announced it; empty if it was announced otherwise. */
void NoteLeaving(step_context& step,
                 const server& target,
                 std::string_view source,
                 std::string_view request);

/** Applies the list of evacuated data centres and logs its changes. */
void NoteEvacuations(step_context& step, const wire::evacuation_list& list);

/** The request of an attempt in progress, or null. */
request_state* FindByAttempt(step_context& step, attempt_id attempt);

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_STEP_CONTEXT_H_
