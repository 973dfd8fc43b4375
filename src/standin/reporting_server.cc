#include "standin/reporting_server.h"

#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "libwisteriaroute/gateway/http_codec.h"

namespace wisteriaroute::standin {

namespace {

constexpr const gateway::header_names& kNames = gateway::kNativeHeaders;
constexpr base::time_ms kDefaultWorkMs = 5;
constexpr base::time_ms kDefaultGapMs = 10;
constexpr std::int64_t kCallTimeoutMs = 1'000;
constexpr int kMaxRedirects = 2;
constexpr int kCrashExitCode = 42;
// A stream with more unsent bytes than this waits for its reader.
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;
constexpr std::size_t kMaxBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxTotalBytes = 1024 * 1024 * 1024;
constexpr std::uint64_t kMaxPaddingBytes = 1024 * 1024;

constexpr unsigned kOk = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kTemporaryRedirect = 307;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kServerError = 500;
constexpr unsigned kUnavailable = 503;

std::uint64_t Number(std::string_view text, std::uint64_t fallback) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end != text.data() ? value : fallback;
}

std::uint64_t Number(const net::http_server_request& request,
                     std::string_view header,
                     std::uint64_t fallback) {
  return Number(request.Header(header), fallback);
}

/** Uses up one of the remaining requests of a fault; false: none left. */
bool ConsumeFault(std::uint64_t& remaining) {
  if (remaining == 0) {
    return false;
  }
  --remaining;
  return true;
}

std::string EventText(std::uint64_t number, std::size_t padding_bytes = 0) {
  const std::string text = std::to_string(number);
  return "id: " + text + "\ndata: piece " + text +
         std::string(padding_bytes, '.') + "\n\n";
}

}  // namespace

reporting_server::reporting_server(net::loop& event_loop,
                                   reporting_settings settings)
    : loop_(event_loop),
      settings_(std::move(settings)),
      http_(event_loop,
            {.body_bytes = kMaxBodyBytes, .total_body_bytes = kMaxTotalBytes},
            {.on_request =
                 [this](net::exchange_id id,
                        const net::http_server_request& request) {
                   Handle(id, request);
                 },
             .on_abandoned =
                 [this](net::exchange_id id) {
                   if (running_.contains(id)) {
                     ++abandoned_requests_;
                     EndRun(id);
                   }
                 }}),
      client_(event_loop),
      report_timer_(event_loop.ev(), [this] { Report(); }),
      stop_timer_(event_loop.ev(), [this] { loop_.Stop(); }),
      started_ms_(static_cast<std::uint64_t>(base::WallMs())) {}

std::string reporting_server::Listen(std::string_view address) {
  address_ = http_.Listen(address);
  report_timer_.Start(0, settings_.report_period_us);
  return address_;
}

void reporting_server::Leave() {
  leaving_ = true;
  Report();
}

void reporting_server::Handle(net::exchange_id id,
                              const net::http_server_request& request) {
  if (request.path == "/standin/runs") {
    http_.Respond(id, kOk, {{"Content-Type", "application/json"}},
                  Runs().dump());
    return;
  }
  if (request.path == "/standin/faults") {
    SetFaults(request.body);
    http_.Respond(id, kOk, {}, "");
    return;
  }
  ++received_requests_;
  const std::string_view expected = request.Header(kNames.expected_server);
  if (!expected.empty() && expected != settings_.id) {
    RespondNotRun(id, request, kMisdirected);
  } else if (running_.size() >= settings_.slots ||
             ConsumeFault(faults_.refuse)) {
    RespondNotRun(id, request, kUnavailable);
  } else {
    StartRun(id, request);
  }
}

void reporting_server::StartRun(net::exchange_id id,
                                const net::http_server_request& request) {
  const std::uint64_t events = Number(request, "x-events", 0);
  run& target = running_[id];
  target.request_id = request.Header(kNames.request_id);
  target.body = request.body;
  target.is_stream = events > 0;
  target.last_event = events;
  target.next_event = Number(request, "last-event-id", 0) + 1;
  target.event_gap_us =
      static_cast<base::time_us>(Number(request, "x-gap-ms", kDefaultGapMs)) *
      1'000;
  target.padding_bytes = static_cast<std::size_t>(
      std::min(Number(request, "x-event-bytes", 0), kMaxPaddingBytes));
  target.sealed = !ConsumeFault(faults_.unsealed);
  target.lose_answer = !target.is_stream && ConsumeFault(faults_.lose_answer);
  target.fail = !target.is_stream && ConsumeFault(faults_.fail);
  target.cut = target.is_stream && ConsumeFault(faults_.cut_streams);
  target.silent =
      target.is_stream && !target.cut && ConsumeFault(faults_.mute_streams);
  target.crash =
      std::ranges::any_of(gateway::DecodeRequest(kNames, request).shared_parts,
                          [&](const gateway::prompt_part& part) {
                            return part.id == settings_.crash_part;
                          });
  ++runs_[target.request_id];
  target.timer =
      std::make_unique<net::timer>(loop_.ev(), [this, id] { ContinueRun(id); });
  target.timer->Start(
      static_cast<base::time_us>(Number(request, "x-work-ms", kDefaultWorkMs)) *
      1'000);
}

void reporting_server::ContinueRun(net::exchange_id id) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  run& target = found->second;
  if (target.crash) {
    _exit(kCrashExitCode);
  }
  if (target.is_stream) {
    ContinueStream(id, target);
    return;
  }
  if (target.lose_answer) {
    http_.AbortStream(id);
  } else if (target.fail) {
    http_.Respond(id, kServerError, ResponseHeaders(target), "failed");
  } else {
    http_.Respond(id, kOk, ResponseHeaders(target), "echo " + target.body);
  }
  EndRun(id);
}

void reporting_server::ContinueStream(net::exchange_id id, run& target) {
  if (!std::exchange(target.started, true)) {
    net::http_headers headers = ResponseHeaders(target);
    headers.emplace_back("Content-Type", "text/event-stream");
    http_.StartStream(id, kOk, headers);
  }
  if (target.next_event > faults_.cut_after && target.cut) {
    // Closes the connection in the middle of an event.
    constexpr std::size_t kPartBytes = 4;
    http_.Write(id, EventText(target.next_event).substr(0, kPartBytes));
    http_.AbortStream(id);
    EndRun(id);
    return;
  }
  if (target.next_event > faults_.cut_after && target.silent) {
    return;
  }
  if (target.next_event > target.last_event) {
    http_.EndStream(id);
    EndRun(id);
    return;
  }
  if (http_.BufferedBytes(id) <= kMaxUnsentBytes) {
    http_.Write(id, EventText(target.next_event++, target.padding_bytes));
  }
  target.timer->Start(target.event_gap_us);
}

void reporting_server::EndRun(net::exchange_id id) {
  // The run owns a timer that may be calling this function, and a write that
  // finds the connection reset ends the run that it belongs to, so it is
  // destroyed after the callback.
  const auto node =
      std::make_shared<decltype(running_)::node_type>(running_.extract(id));
  loop_.Defer([node] {});
}

void reporting_server::RespondNotRun(net::exchange_id id,
                                     const net::http_server_request& request,
                                     unsigned status) {
  net::http_headers headers = {{std::string(kNames.request_id),
                                std::string(request.Header(kNames.request_id))},
                               {std::string(kNames.not_run), "1"}};
  if (faults_.leave_by_header > 0) {
    headers.emplace_back(kNames.server_leaving, "1");
  }
  if (!faults_.pause.empty()) {
    headers.emplace_back("Retry-After", faults_.pause);
  }
  http_.Respond(id, status, headers, "");
}

void reporting_server::SetFaults(const std::string& body) {
  const nlohmann::json from = nlohmann::json::parse(body, nullptr, false);
  if (!from.is_object()) {
    return;
  }
  const auto read = [&](const char* name, std::uint64_t& to) {
    to = from.value(name, to);
  };
  read("refuse", faults_.refuse);
  read("lose_answer", faults_.lose_answer);
  read("unsealed", faults_.unsealed);
  read("fail", faults_.fail);
  read("cut_streams", faults_.cut_streams);
  read("cut_after", faults_.cut_after);
  read("mute_streams", faults_.mute_streams);
  read("leave_by_header", faults_.leave_by_header);
  faults_.pause = from.value("pause", faults_.pause);
  received_requests_ = 0;
}

nlohmann::json reporting_server::Runs() const {
  return {{"runs", runs_},
          {"running", running_.size()},
          {"abandoned", abandoned_requests_},
          {"arrived", received_requests_}};
}

net::http_headers reporting_server::ResponseHeaders(const run& target) const {
  net::http_headers headers = {
      {std::string(kNames.request_id), target.request_id},
      {std::string(kNames.server_load), std::to_string(running_.size()) +
                                            ",0," +
                                            std::to_string(settings_.slots)}};
  if (target.sealed) {
    headers.emplace_back(kNames.seal, settings_.id);
  }
  if (faults_.leave_by_header > 0) {
    headers.emplace_back(kNames.server_leaving, "1");
  }
  return headers;
}

void reporting_server::Report() {
  if (deregistering_) {
    return;
  }
  if (leaving_ && leave_acknowledged_) {
    deregistering_ = true;
  }
  const std::string& control =
      settings_.controls[next_control_ % settings_.controls.size()];
  CallControl(deregistering_ ? "DELETE" : "PUT",
              "http://" + control + "/v1/servers/" + settings_.id,
              kMaxRedirects);
}

void reporting_server::CallControl(const std::string& method,
                                   const std::string& url,
                                   int redirects_left) {
  const nlohmann::json body = {{"service", settings_.service},
                               {"address", address_},
                               {"data_center", settings_.data_center},
                               {"slots", settings_.slots},
                               {"leaving", leaving_},
                               {"started_ms", started_ms_},
                               {"sequence", ++sequence_},
                               {"version", "standin"}};
  auto location = std::make_shared<std::string>();
  client_.Start(
      {.method = method,
       .url = url,
       .headers = {{"Content-Type", "application/json"}},
       .body = body.dump(),
       .timeout_ms = kCallTimeoutMs},
      {.on_head =
           [location](unsigned, const net::http_headers& headers) {
             *location = net::FindHeader(headers, "location");
           },
       .on_done =
           [this, method, location, redirects_left,
            reported_leaving =
                leaving_](const net::http_client_result& result) {
             if (result.ok && result.status == kTemporaryRedirect &&
                 redirects_left > 0) {
               CallControl(method, *location, redirects_left - 1);
             } else if (!result.ok || result.status >= kFirstRedirect) {
               ++next_control_;
             } else if (deregistering_) {
               stop_timer_.Start(settings_.leave_delay_us);
             } else if (reported_leaving) {
               leave_acknowledged_ = true;
             }
           }});
}

}  // namespace wisteriaroute::standin
