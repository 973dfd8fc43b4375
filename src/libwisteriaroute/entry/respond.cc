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
void MarkAnswered(step_context& step, request& of, unsigned status) {
  of.answered = true;
  for (const net::exchange_id caller : of.callers) {
    step.state.request_of_exchange.erase(caller);
  }
  of.callers.clear();
  step.Emit(count_metric{"wisteriaroute_responses_total{status=\"" +
                         std::to_string(status / 100) + "xx\"}"});
  step.Emit(latency_metric{"wisteriaroute_request_seconds",
                           step.now_us - of.arrived_us});
  Note(step, of, "answered", {}, std::to_string(status));
  ReleaseUsage(step, of);
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
             request& of,
             unsigned status,
             wire::header_list headers,
             const std::string& body) {
  if (of.answered) {
    return;
  }
  headers.emplace_back("X-Request-Id", of.request_id);
  for (const net::exchange_id caller : of.callers) {
    step.Emit(http_respond{caller, status, headers, body});
  }
  MarkAnswered(step, of, status);
}

void RespondError(step_context& step, request& of, const error_reply& error) {
  if (of.answered) {
    return;
  }
  CountError(step, error);
  if (!of.stream_started) {
    const auto headers =
        ErrorHeaders(error, of.request_id, step.state.stopping);
    for (const net::exchange_id caller : of.callers) {
      step.Emit(http_respond{caller, error.status, headers,
                             ErrorBody(error, of.request_id)});
    }
    MarkAnswered(step, of, error.status);
    return;
  }
  const bool events = of.kind != wire::work_kind::kPlain;
  for (const net::exchange_id caller : of.callers) {
    if (events) {
      step.Emit(stream_write{caller, ErrorEvent(error, of.request_id)});
      step.Emit(stream_end{caller});
    } else {
      // If the body ended regularly, callers would take it for complete.
      step.Emit(stream_abort{caller});
    }
  }
  MarkAnswered(step, of, kFirstErrorStatus + 100);
}

void StartStream(step_context& step,
                 request& of,
                 unsigned status,
                 wire::header_list headers) {
  if (of.stream_started || of.answered) {
    return;
  }
  of.stream_started = true;
  of.last_write_us = step.now_us;
  headers.emplace_back("X-Request-Id", of.request_id);
  for (const net::exchange_id caller : of.callers) {
    step.Emit(stream_start{caller, status, headers});
  }
}

void WriteStream(step_context& step, request& of, std::string data) {
  of.last_write_us = step.now_us;
  if (of.callers.size() == 1) {
    step.Emit(stream_write{of.callers.front(), std::move(data)});
    return;
  }
  for (const net::exchange_id caller : of.callers) {
    step.Emit(stream_write{caller, data});
  }
}

void EndStream(step_context& step, request& of) {
  if (of.answered) {
    return;
  }
  for (const net::exchange_id caller : of.callers) {
    step.Emit(stream_end{caller});
  }
  MarkAnswered(step, of, of.response.status);
}

void Note(step_context& step,
          const request& of,
          std::string kind,
          std::string_view server,
          std::string detail) {
  step.Emit(add_timeline{.kind = std::move(kind),
                         .request_id = of.request_id,
                         .group = of.pool,
                         .server = std::string(server),
                         .detail = std::move(detail)});
}

void Close(step_context& step, request& of) {
  Dequeue(step, of);
  DropCurrent(step, of);
  EndClaim(step, of);
  if (of.phase == request_phase::kLocating) {
    step.state.request_of_attempt.erase(of.holder.attempt);
  }
  ReleaseUsage(step, of);
  for (const net::exchange_id caller : of.callers) {
    step.state.request_of_exchange.erase(caller);
  }
  if (!of.key.empty()) {
    const auto found =
        step.state.request_of_key.find({of.workspace, of.key_digest});
    if (found != step.state.request_of_key.end() &&
        found->second == of.number) {
      step.state.request_of_key.erase(found);
    }
  }
  const std::uint64_t number = of.number;
  step.state.requests.erase(number);
}

}  // namespace wisteriaroute::entry
