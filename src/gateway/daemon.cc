#include "gateway/daemon.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <limits>
#include <utility>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/member/process_reload.h"
#include "libwisteriaroute/net/link_context.h"

namespace wisteriaroute::gateway {

namespace {

constexpr base::time_us kDrainPollUs = 50'000;
// For what is answered when the drain limit has passed. The platform kills the
// process 8 s after SIGTERM.
constexpr base::time_ms kLastAnswersMs = 350;
// A request that must not be repeated uses an idle connection only if it was
// used within this time: the server may have closed an older one, and the
// request would be lost.
constexpr std::int64_t kMaxIdleNonRepeatableMs = 200;
constexpr std::int64_t kMaxIdleMs = 60'000;
// A server in another data centre accepts a connection within a few ms. A lost
// packet is retransmitted only after 1 s; trying another server is faster.
constexpr std::int64_t kConnectTimeoutMs = 400;
// The stream of a caller that has more unread data than this is aborted.
constexpr std::size_t kMaxBufferedBytes = 1024 * 1024;

// Bounds what the kernel holds for a connection; enough for 64 MB/s within a
// region.
constexpr std::size_t kSocketBytes = 64 * 1024;
constexpr base::time_ms kOverloadRetryMs = 1'000;
// Above the budget, answers larger than this are given up first: a faulty
// server sends without end, and others must not suffer from it.
constexpr std::size_t kLargeAnswerBytes = 256 * 1024;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

std::string FormatSeconds(base::time_ms ms) {
  std::array<char, 32> text;
  std::snprintf(text.data(), text.size(), "%lld.%03lld",
                static_cast<long long>(ms / 1'000),
                static_cast<long long>(ms % 1'000));
  return text.data();
}

std::string ErrorBody(std::string_view code) {
  return R"({"error":{"code":")" + std::string(code) + R"("}})";
}

net::http_server_limits CallerLimits(const gateway_settings& settings) {
  const net::descriptor_plan plan =
      net::PlanDescriptors(settings.max_fds, settings.max_connections);
  return {.total_body_bytes = std::numeric_limits<std::size_t>::max(),
          .connections = plan.callers,
          .requests = plan.requests,
          .socket_bytes = kSocketBytes,
          .send_timeout_ms = settings.send_timeout_ms};
}

}  // namespace

daemon::daemon(net::loop& event_loop, gateway_settings settings)
    : loop_(event_loop),
      settings_(std::move(settings)),
      protocol_(protocol::Select(settings_.process.protocol)),
      incarnation_(base::RandomU64()),
      budget_(net::BudgetBytes(settings_.memory_mb)),
      hub_(net::MakeLinkContext(event_loop,
                                settings_.process,
                                "entry",
                                incarnation_,
                                clock_),
           member::ControlLinks(session_)),
      caller_server_(event_loop,
                     CallerLimits(settings_),
                     CallerCallbacks(),
                     &budget_),
      readiness_server_(
          event_loop,
          {},
          {.on_request =
               [this](net::exchange_id id, const net::http_server_request&) {
                 HandleReadinessCheck(id);
               }}),
      backend_client_(event_loop, &budget_),
      metrics_server_(event_loop, [this] { return RenderMetrics(); }),
      tick_(event_loop.ev(), [this] { Handle(gateway_tick{}); }),
      drain_timer_(event_loop.ev(), [this] { StopIfDrained(); }) {
  state_.options = settings_.options;
  state_.random = base::RandomU64() | 1;
  state_.cold.entries.SetOwn(policy::EntryId(settings_.process.name));
}

void daemon::Run() {
  base::SetLogClock(&clock_);
  const std::string links = hub_.Listen(settings_.process.listen);
  readiness_server_.Listen(settings_.listen_ready);
  const std::string callers = caller_server_.Listen(settings_.listen_http);
  session_.emplace(loop_, hub_, settings_.process.controls, Describe(),
                   SessionCallbacks(), settings_.process.learn_controls);
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop_.OnSignal(signal_number, [this] { Stop(); });
  }
  reload_.emplace(loop_, settings_.process.file,
                  [this](std::string_view text, base::findings& out) {
                    return Reload(text, out);
                  });
  metrics_server_.Listen(settings_.process.listen_metrics);
  base::LogInfo(
      "gateway_started",
      {{"name", settings_.process.name}, {"http", callers}, {"links", links}});
  loop_.Run();
  base::LogInfo("gateway_stopped", {{"name", settings_.process.name}});
}

net::http_server_callbacks daemon::CallerCallbacks() {
  return {.on_request =
              [this](net::exchange_id id, net::http_server_request request) {
                HandleRequest(id, std::move(request));
              },
          .on_abandoned =
              [this](net::exchange_id id) {
                requests_.erase(id);
                Handle(caller_left{id});
              },
          .overload_body = [] { return ErrorBody("overloaded"); },
          .on_blocked = [this](net::exchange_id id) { SetBlocked(id, true); },
          .on_drained = [this](net::exchange_id id) { SetBlocked(id, false); }};
}

member::control_session_callbacks daemon::SessionCallbacks() {
  return {.on_message =
              [this](const wire::control_message& message) {
                HandleControl(message);
              },
          .on_lease =
              [this](base::time_us until_us, const wire::fencing_number&) {
                lease_until_us_ = until_us;
                Handle(control_confirmed{});
              },
          .on_opened =
              [this] {
                base::LogInfo("control_session_opened", {});
                Handle(control_opened{});
              },
          .on_dropped = [](const wire::control_message&) {}};
}

wire::member_info daemon::Describe() const {
  return {.name = settings_.process.name,
          .role = wire::member_role::kEntry,
          .incarnation = incarnation_,
          .address = settings_.process.advertise,
          .region = settings_.process.region,
          .data_center = settings_.process.data_center,
          .leaving = stop_requested_us_ != 0};
}

void daemon::HandleRequest(net::exchange_id exchange,
                           net::http_server_request request) {
  if (!settings_.serve_without_quorum &&
      base::MonotonicUs() >= lease_until_us_) {
    base::LogInfo("request_refused",
                  {{"request", request.Header(Headers(protocol_).request_id)},
                   {"cause", "lease expired"}});
    SendRefusal({.exchange = exchange, .code = "lease_expired"});
    return;
  }
  caller_request decoded = DecodeRequest(Headers(protocol_), request);
  const config::traffic_workspace* workspace =
      state_.traffic != nullptr && decoded.key
          ? state_.traffic->FindWorkspace(*decoded.key)
          : nullptr;
  const std::string name = workspace == nullptr ? "" : workspace->name;
  if (!budget_.Fits(name, net::HeldBytes(request))) {
    base::LogInfo("request_shed", {{"cause", "memory budget of the workspace"},
                                   {"workspace", name}});
    metrics_.Count("wisteriaroute_requests_shed_total");
    SendRefusal({.exchange = exchange,
                 .code = "overloaded",
                 .retry_after_ms = kOverloadRetryMs});
    return;
  }
  caller_server_.SetWorkspace(exchange, name);
  open_request& open = requests_.try_emplace(exchange, &budget_).first->second;
  open.request = std::move(request);
  open.held.SetWorkspace(name);
  open.held.Set(net::HeldBytes(open.request));
  Handle(request_arrived{exchange, std::move(decoded)});
}

void daemon::HandleReadinessCheck(net::exchange_id exchange) {
  readiness_server_.Respond(exchange, IsReadyNow() ? kOk : kUnavailable, {},
                            "");
}

void daemon::HandleControl(const wire::control_message& message) {
  if (const auto* update = std::get_if<wire::config_update>(&message)) {
    HandleDocument(*update);
  } else if (const auto* members = std::get_if<wire::member_update>(&message)) {
    Handle(members_updated{*members});
  } else if (const auto* changes =
                 std::get_if<wire::quarantine_update>(&message)) {
    Handle(quarantine_changed{*changes});
  } else if (const auto* crash = std::get_if<wire::server_crash>(&message)) {
    Handle(server_crash_reported{*crash});
  }
  UpdateSession();
}

void daemon::HandleDocument(const wire::config_update& update) {
  if (update.revision <= revision_ || update.changed.empty()) {
    return;
  }
  base::findings findings;
  auto set = DecodeTraffic(protocol_, update.changed.front().body, findings);
  if (!set) {
    base::LogError("configuration_unreadable",
                   {{"revision", update.revision},
                    {"cause", base::ToString(findings.front())}});
    return;
  }
  revision_ = update.revision;
  Handle(traffic_published{
      std::make_shared<const config::traffic_index>(std::move(*set))});
  SetCallerLimits();
}

void daemon::SetCallerLimits() {
  net::http_server_limits http = CallerLimits(settings_);
  if (state_.traffic != nullptr) {
    const config::caller_limits& limits = state_.traffic->set().limits;
    http.header_bytes = static_cast<std::size_t>(limits.header_bytes);
    http.body_bytes = static_cast<std::size_t>(limits.body_bytes);
    http.header_timeout_ms = limits.header_timeout_ms;
    http.idle_timeout_ms = limits.idle_timeout_ms;
  }
  caller_server_.SetLimits(http);
}

void daemon::Handle(gateway_event event) {
  events_.push_back(std::move(event));
  if (std::exchange(handling_events_, true)) {
    return;
  }
  while (!events_.empty()) {
    const gateway_event next = std::move(events_.front());
    events_.pop_front();
    for (const gateway_effect& effect :
         Step(state_, next, base::MonotonicUs())) {
      Run(effect);
    }
  }
  handling_events_ = false;
  if (NeedsTick(state_) != tick_active_) {
    tick_active_ = !tick_active_;
    if (tick_active_) {
      tick_.Start(kGatewayTickUs, kGatewayTickUs);
    } else {
      tick_.Stop();
    }
  }
}

void daemon::Run(const gateway_effect& effect) {
  struct visitor {
    daemon& self;

    void operator()(const start_attempt& attempt) const { self.Start(attempt); }
    void operator()(const cancel_attempt& cancelled) const {
      const auto node = self.transfers_.extract(cancelled.attempt);
      if (!node.empty()) {
        self.backend_client_.Cancel(node.mapped());
      }
    }
    void operator()(const probe_server& probe) const { self.Probe(probe); }
    void operator()(const send_control& send) const {
      self.session_->Send(send.message);
    }
    void operator()(const refuse& answer) const { self.SendRefusal(answer); }
    void operator()(const relay& answer) const {
      self.requests_.erase(answer.exchange);
      self.caller_server_.Respond(answer.exchange, answer.status,
                                  answer.headers, answer.body);
    }
    void operator()(const start_stream& stream) const {
      self.caller_server_.StartStream(stream.exchange, stream.status,
                                      stream.headers);
    }
    void operator()(const write_stream& chunk) const {
      self.WriteToCaller(chunk);
    }
    void operator()(const end_stream& stream) const {
      self.requests_.erase(stream.exchange);
      self.caller_server_.EndStream(stream.exchange);
    }
    void operator()(const abort_stream& stream) const {
      self.requests_.erase(stream.exchange);
      self.caller_server_.AbortStream(stream.exchange);
    }
    void operator()(const note& line) const {
      base::LogFields(line.event, line.fields);
    }
    void operator()(const count& counted) const {
      self.metrics_.Count(counted.series);
    }
    void operator()(const measure& measured) const {
      self.metrics_.Latency(measured.name, measured.latency_us);
    }
  };
  std::visit(visitor{*this}, effect);
}

void daemon::Start(const start_attempt& attempt) {
  const auto request = requests_.find(attempt.exchange);
  if (request == requests_.end()) {
    return;
  }
  const net::http_server_request& original = request->second.request;
  const attempt_id id = attempt.attempt;
  transfers_[id] = request->second.transfer = backend_client_.Start(
      {.method = original.method,
       .url = "http://" + attempt.address + original.path + original.query,
       .headers = AttemptHeaders(Headers(protocol_), original, attempt.terms),
       .body = original.body,
       .connect_timeout_ms = kConnectTimeoutMs,
       .reuse_connection = true,
       .max_idle_ms =
           attempt.may_use_idle ? kMaxIdleMs : kMaxIdleNonRepeatableMs,
       .match_header = std::string(Headers(protocol_).request_id)},
      {.on_head =
           [this, id](unsigned status, const net::http_headers& headers) {
             Handle(attempt_head{
                 id, DecodeHead(Headers(protocol_), status, headers)});
           },
       .on_data =
           [this, id, exchange = attempt.exchange](std::string_view data) {
             Handle(attempt_data{id, std::string(data)});
             AccountAnswer(exchange);
           },
       .on_done =
           [this, id](const net::http_client_result& result) {
             transfers_.erase(id);
             Handle(attempt_ended{.attempt = id,
                                  .ok = result.ok,
                                  .never_sent = result.never_sent,
                                  .error = result.error});
           }});
  if (request->second.blocked) {
    backend_client_.Pause(request->second.transfer);
  }
}

void daemon::SetBlocked(net::exchange_id exchange, bool blocked) {
  const auto found = requests_.find(exchange);
  if (found == requests_.end()) {
    return;
  }
  found->second.blocked = blocked;
  if (blocked) {
    backend_client_.Pause(found->second.transfer);
  } else {
    backend_client_.Resume(found->second.transfer);
  }
  Handle(stream_blocked{exchange, blocked});
}

void daemon::AccountAnswer(net::exchange_id exchange) {
  const auto found = requests_.find(exchange);
  const auto state = state_.requests.find(exchange);
  if (found == requests_.end() || state == state_.requests.end()) {
    return;
  }
  found->second.answer.Set(state->second.body.size() +
                           state->second.failure_body.size() +
                           state->second.framer.partial_event_bytes());
  while (!budget_.Fits(0) && ShedLargestAnswer()) {
  }
  if (!budget_.Fits(0) && !caller_server_.MakeRoom()) {
    ShedAnswer(exchange);
  }
}

bool daemon::ShedLargestAnswer() {
  const auto largest = std::ranges::max_element(
      requests_, {},
      [](const auto& item) { return item.second.answer.bytes(); });
  if (largest == requests_.end() ||
      largest->second.answer.bytes() < kLargeAnswerBytes) {
    return false;
  }
  const net::exchange_id exchange = largest->first;
  base::LogInfo("answer_shed",
                {{"exchange", std::uint64_t{exchange}},
                 {"bytes", std::uint64_t{largest->second.answer.bytes()}},
                 {"held", std::uint64_t{budget_.used()}}});
  largest->second.answer.Set(0);
  ShedAnswer(exchange);
  return true;
}

void daemon::ShedAnswer(net::exchange_id exchange) {
  metrics_.Count("wisteriaroute_answers_shed_total");
  Handle(answer_shed{exchange});
}

void daemon::Probe(const probe_server& probe) {
  backend_client_.Start(
      {.url = "http://" + probe.address + "/",
       .connect_timeout_ms = kConnectTimeoutMs,
       .connect_only = true},
      {.on_done = [this, server = probe.server, run = probe.incarnation](
                      const net::http_client_result& result) {
        Handle(probe_ended{server, run, result.refused});
      }});
}

void daemon::SendRefusal(const refuse& answer) {
  requests_.erase(answer.exchange);
  net::http_headers headers = {{"Content-Type", "application/json"}};
  if (answer.retry_after_ms > 0) {
    headers.emplace_back("Retry-After", FormatSeconds(answer.retry_after_ms));
  }
  caller_server_.Respond(answer.exchange, answer.status, headers,
                         ErrorBody(answer.code));
}

void daemon::WriteToCaller(const write_stream& chunk) {
  caller_server_.Write(chunk.exchange, chunk.data);
  if (caller_server_.BufferedBytes(chunk.exchange) > kMaxBufferedBytes) {
    base::LogWarning("caller_too_slow",
                     {{"exchange", std::uint64_t{chunk.exchange}}});
    requests_.erase(chunk.exchange);
    caller_server_.AbortStream(chunk.exchange);
    Handle(caller_left{chunk.exchange});
  }
}

net::restart_list daemon::Reload(std::string_view text, base::findings& out) {
  const gateway_settings next =
      ParseGatewaySettings(text, settings_.process.file, out);
  if (!out.empty()) {
    return {};
  }
  net::restart_list restart =
      member::ReloadProcess(settings_.process, next.process);
  session_->SetControls(settings_.process.controls);
  if (next.listen_http != settings_.listen_http) {
    restart.emplace_back("listen_http");
  }
  if (next.listen_ready != settings_.listen_ready) {
    restart.emplace_back("listen_ready");
  }
  settings_.max_connections = next.max_connections;
  settings_.memory_mb = next.memory_mb;
  settings_.max_fds = next.max_fds;
  settings_.send_timeout_ms = next.send_timeout_ms;
  budget_.SetLimit(net::BudgetBytes(next.memory_mb));
  settings_.serve_without_quorum = next.serve_without_quorum;
  settings_.settle_ms = next.settle_ms;
  settings_.drain_limit_ms = next.drain_limit_ms;
  settings_.options = next.options;
  SetCallerLimits();
  Handle(options_changed{next.options});
  return restart;
}

std::string daemon::RenderMetrics() {
  const base::time_us now_us = base::MonotonicUs();
  ReportGauges(state_, now_us, metrics_);
  metrics_.Set("wisteriaroute_ready", IsReadyNow() ? 1 : 0);
  metrics_.Set("wisteriaroute_caller_connections",
               static_cast<double>(caller_server_.connection_count()));
  metrics_.Set("wisteriaroute_server_connections_made",
               static_cast<double>(backend_client_.connections_made()));
  metrics_.Set("wisteriaroute_lease_left_seconds",
               static_cast<double>(lease_until_us_ - now_us) / 1e6);
  metrics_.Set("wisteriaroute_log_lines_dropped",
               static_cast<double>(base::DroppedLogLines()));
  ReportMemory();
  return metrics_.Render();
}

void daemon::ReportMemory() {
  for (const net::memory_use use :
       {net::memory_use::kInput, net::memory_use::kRequests,
        net::memory_use::kAnswers, net::memory_use::kOutput}) {
    metrics_.Set("wisteriaroute_held_bytes{use=\"" +
                     std::string(net::ToString(use)) + "\"}",
                 static_cast<double>(budget_.used(use)));
  }
  metrics_.Set("wisteriaroute_held_bytes_limit",
               static_cast<double>(budget_.limit()));
  metrics_.Set("wisteriaroute_server_connections_held_bytes",
               static_cast<double>(backend_client_.held_bytes()));
  metrics_.Set("wisteriaroute_slow_callers_closed",
               static_cast<double>(caller_server_.slow_callers_closed()));
  metrics_.Set("wisteriaroute_inputs_refused",
               static_cast<double>(caller_server_.refused_inputs()));
  metrics_.Set("wisteriaroute_connections_evicted",
               static_cast<double>(caller_server_.evicted_connections()));
}

bool daemon::IsReadyNow() const {
  const bool leased =
      settings_.serve_without_quorum || base::MonotonicUs() < lease_until_us_;
  return stop_requested_us_ == 0 && leased && IsReady(state_);
}

void daemon::UpdateSession() {
  if (session_) {
    session_->Update(Describe(), revision_, IsReadyNow());
  }
}

void daemon::Stop() {
  if (stop_requested_us_ != 0) {
    return;
  }
  stop_requested_us_ = base::MonotonicUs();
  base::LogInfo("stopping",
                {{"requests", std::uint64_t{state_.requests.size()}}});
  caller_server_.CloseAfterResponses();
  Handle(stop_requested{
      .settled_us = stop_requested_us_ + settings_.settle_ms * 1'000,
      .end_us = stop_requested_us_ + settings_.drain_limit_ms * 1'000});
  UpdateSession();
  drain_timer_.Start(kDrainPollUs, kDrainPollUs);
}

void daemon::StopIfDrained() {
  const base::time_ms waited_ms =
      (base::MonotonicUs() - stop_requested_us_) / 1'000;
  if (waited_ms < settings_.settle_ms) {
    return;
  }
  caller_server_.StopListening();
  caller_server_.CloseIdle();
  if (waited_ms >= settings_.drain_limit_ms && !std::exchange(ended_, true)) {
    // Callers get an answer, not a closed connection.
    Handle(stop_due{});
    caller_server_.RefuseIncomplete();
  }
  if (caller_server_.connection_count() == 0 ||
      waited_ms >= settings_.drain_limit_ms + kLastAnswersMs) {
    base::LogInfo("drained",
                  {{"waited_ms", waited_ms},
                   {"requests", std::uint64_t{state_.requests.size()}}});
    session_->Stop();
    drain_timer_.Stop();
    loop_.Stop();
  }
}

}  // namespace wisteriaroute::gateway
