#include <utility>

#include "libwisteriaroute/gateway/step_context.h"

namespace wisteriaroute::gateway {

namespace {

constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
// Short, because no server has run the request and it may be retried at once.
constexpr base::time_ms kNotRunRetryMs = 300;

void NoteEnd(step_context& step,
             const request_state& request,
             std::string_view outcome,
             note_fields more) {
  note_fields fields = {
      {"request", request.request.id},
      {"outcome", std::string(outcome)},
      {"route", request.route != nullptr ? request.route->name : ""},
      {"attempts", std::to_string(request.attempts)},
      {"ms", std::to_string((step.now_us - request.arrived_us) / 1'000)}};
  fields.insert(fields.end(), std::make_move_iterator(more.begin()),
                std::make_move_iterator(more.end()));
  step.Note("request_ended", std::move(fields));
  step.Count("wisteriaroute_requests_total", "outcome", outcome);
  step.Measure("wisteriaroute_request_seconds",
               step.now_us - request.arrived_us);
}

void Erase(step_context& step, const request_state& request) {
  step.state.requests.erase(request.exchange);
}

}  // namespace

void Refuse(step_context& step,
            request_state& request,
            unsigned status,
            std::string_view code,
            base::time_ms retry_after_ms) {
  step.out.push_back(refuse{.exchange = request.exchange,
                            .status = status,
                            .code = std::string(code),
                            .retry_after_ms = retry_after_ms});
  step.Count("wisteriaroute_refusals_total", "code", code);
  NoteEnd(step, request, "refused",
          {{"status", std::to_string(status)},
           {"code", std::string(code)},
           {"retry_after_ms", std::to_string(retry_after_ms)},
           {"service", request.service}});
  Erase(step, request);
}

void Relay(step_context& step,
           request_state& request,
           const response_head& head,
           std::string body) {
  step.out.push_back(
      relay{request.exchange, head.status, head.headers, std::move(body)});
  NoteEnd(
      step, request, "relayed",
      {{"status", std::to_string(head.status)}, {"server", request.server}});
  Erase(step, request);
}

void EndStream(step_context& step, request_state& request) {
  if (request.phase != request_phase::kStreaming) {
    // A stream may end without any event.
    step.out.push_back(start_stream{request.exchange, request.head->status,
                                    request.head->headers});
  }
  step.out.push_back(end_stream{request.exchange});
  NoteEnd(
      step, request, "streamed",
      {{"events", std::to_string(request.events)},
       {"first_event_ms",
        std::to_string((request.first_event_us - request.arrived_us) / 1'000)},
       {"server", request.server}});
  Erase(step, request);
}

void GiveUp(step_context& step, request_state& request, std::string_view code) {
  if (request.phase == request_phase::kStreaming) {
    step.out.push_back(abort_stream{request.exchange});
    step.Count("wisteriaroute_aborted_streams_total", "code", code);
    NoteEnd(step, request, "aborted",
            {{"code", std::string(code)},
             {"events", std::to_string(request.events)}});
    Erase(step, request);
    return;
  }
  if (request.failure_head) {
    const response_head head = *request.failure_head;
    Relay(step, request, head, std::move(request.failure_body));
    return;
  }
  if (!request.may_have_run) {
    Refuse(step, request, kUnavailable, code, kNotRunRetryMs);
    return;
  }
  Refuse(step, request, code == "timeout" ? kGatewayTimeout : kBadGateway,
         code);
}

void Forget(step_context& step, request_state& request) {
  NoteEnd(step, request, "caller_left",
          {{"events", std::to_string(request.events)}});
  Erase(step, request);
}

}  // namespace wisteriaroute::gateway
