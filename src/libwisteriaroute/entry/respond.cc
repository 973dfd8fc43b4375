#include "libwisteriaroute/entry/respond.h"

#include <utility>

#include "libwisteriaroute/entry/admission.h"
#include "libwisteriaroute/entry/api.h"
#include "libwisteriaroute/entry/attempts.h"
#include "libwisteriaroute/entry/claims.h"
#include "libwisteriaroute/entry/queue.h"

namespace wisteriaroute::entry {

namespace {

constexpr unsigned kFirstErrorStatus = 400;

net::http_headers ErrorHeaders(const error_reply& error,
                               std::string_view request_id,
                               bool closing) {
  net::http_headers headers = {{"Content-Type", "application/json"},
                               {"X-Request-Id", std::string(request_id)}};
  if (error.retry_after_s > 0) {
    headers.emplace_back("Retry-After", std::to_string(error.retry_after_s));
  }
  if (error.status == 401) {
    headers.emplace_back("WWW-Authenticate", "Bearer");
  }
  if (closing) {
    headers.emplace_back("Connection", "close");
  }
  return headers;
}

void CountError(step_context& step, const error_reply& error) {
  step.Emit(count_metric{"wisteriaroute_errors_total{code=\"" + error.code +
                         "\",outcome=\"" +
                         std::string(wire::ToString(error.ran)) + "\"}"});
}

// Detaches the callers, who have their response. The request may continue
// without them, for instance to record its outcome.
void MarkAnswered(step_context& step, request_state& request, unsigned status) {
  request.answered = true;
  for (const net::exchange_id caller : request.callers) {
    step.state.request_of_exchange.erase(caller);
  }
  request.callers.clear();
  step.Emit(count_metric{"wisteriaroute_responses_total{status=\"" +
                         std::to_string(status / 100) + "xx\"}"});
  step.Emit(latency_metric{"wisteriaroute_request_seconds",
                           step.now_us - request.arrived_us});
  Note(step, request, "answered", {}, std::to_string(status));
  ReleaseUsage(step, request);
}

}  // namespace

void Refuse(step_context& step,
            net::exchange_id exchange,
            const error_reply& error,
            std::string_view request_id) {
  CountError(step, error);
  step.Emit(add_timeline{.kind = "refused",
                         .request_id = std::string(request_id),
                         .detail = error.code});
  step.Emit(http_respond{exchange, error.status,
                         ErrorHeaders(error, request_id, step.state.stopping),
                         ErrorBody(error, request_id)});
}

void Respond(step_context& step,
             request_state& request,
             unsigned status,
             wire::header_list headers,
             const std::string& body) {
  if (request.answered) {
    return;
  }
  headers.emplace_back("X-Request-Id", request.request_id);
  for (const net::exchange_id caller : request.callers) {
    step.Emit(http_respond{caller, status, headers, body});
  }
  MarkAnswered(step, request, status);
}

void RespondError(step_context& step,
                  request_state& request,
                  const error_reply& error) {
  if (request.answered) {
    return;
  }
  CountError(step, error);
  if (!request.stream_started) {
    const auto headers =
        ErrorHeaders(error, request.request_id, step.state.stopping);
    for (const net::exchange_id caller : request.callers) {
      step.Emit(http_respond{caller, error.status, headers,
                             ErrorBody(error, request.request_id)});
    }
    MarkAnswered(step, request, error.status);
    return;
  }
  const bool events = request.kind != wire::work_kind::kPlain;
  for (const net::exchange_id caller : request.callers) {
    if (events) {
      step.Emit(stream_write{caller, ErrorEvent(error, request.request_id)});
      step.Emit(stream_end{caller});
    } else {
      // If the body ended regularly, callers would take it for complete.
      step.Emit(stream_abort{caller});
    }
  }
  MarkAnswered(step, request, kFirstErrorStatus + 100);
}

void StartStream(step_context& step,
                 request_state& request,
                 unsigned status,
                 wire::header_list headers) {
  if (request.stream_started || request.answered) {
    return;
  }
  request.stream_started = true;
  request.last_write_us = step.now_us;
  headers.emplace_back("X-Request-Id", request.request_id);
  for (const net::exchange_id caller : request.callers) {
    step.Emit(stream_start{caller, status, headers});
  }
}

void WriteStream(step_context& step, request_state& request, std::string data) {
  request.last_write_us = step.now_us;
  if (request.callers.size() == 1) {
    step.Emit(stream_write{request.callers.front(), std::move(data)});
    return;
  }
  for (const net::exchange_id caller : request.callers) {
    step.Emit(stream_write{caller, data});
  }
}

void EndStream(step_context& step, request_state& request) {
  if (request.answered) {
    return;
  }
  for (const net::exchange_id caller : request.callers) {
    step.Emit(stream_end{caller});
  }
  MarkAnswered(step, request, request.response.status);
}

void Note(step_context& step,
          const request_state& request,
          std::string kind,
          std::string_view server,
          std::string detail) {
  step.Emit(add_timeline{.kind = std::move(kind),
                         .request_id = request.request_id,
                         .group = request.pool,
                         .server = std::string(server),
                         .detail = std::move(detail)});
}

void Close(step_context& step, request_state& request) {
  Dequeue(step, request);
  DropCurrent(step, request);
  EndClaim(step, request);
  if (request.phase == request_phase::kLocating) {
    step.state.request_of_attempt.erase(request.holder.attempt);
  }
  ReleaseUsage(step, request);
  for (const net::exchange_id caller : request.callers) {
    step.state.request_of_exchange.erase(caller);
  }
  if (!request.key.empty()) {
    const auto found =
        step.state.request_of_key.find({request.workspace, request.key_digest});
    if (found != step.state.request_of_key.end() &&
        found->second == request.number) {
      step.state.request_of_key.erase(found);
    }
  }
  const std::uint64_t number = request.number;
  step.state.requests.erase(number);
}

}  // namespace wisteriaroute::entry
