#include "entry/daemon.h"

#include <algorithm>
#include <csignal>
#include <limits>
#include <utility>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/config/parse.h"
#include "libwisteriaroute/entry/api.h"
#include "libwisteriaroute/member/process_reload.h"
#include "libwisteriaroute/net/link_context.h"

namespace wisteriaroute::entry {

namespace {

constexpr base::time_us kTickUs = 50'000;
// Time to send the last responses and the goodbye message to control.
constexpr base::time_us kExitDelayUs = 100'000;
// A stream with more unsent bytes than this is aborted: its caller reads too
// slowly. A smaller part of the memory budget also counts.
constexpr std::size_t kMaxBufferedBytes = 16 * 1024 * 1024;
// Bounds what the kernel holds for a connection.
constexpr std::size_t kSocketBytes = 64 * 1024;

net::http_server_limits HttpLimits(const entry_settings& settings) {
  const net::descriptor_plan plan =
      net::PlanDescriptors(settings.max_fds, settings.max_connections);
  return {.header_bytes = static_cast<std::size_t>(settings.max_header_bytes),
          .body_bytes = static_cast<std::size_t>(settings.max_body_bytes),
          .total_body_bytes = std::numeric_limits<std::size_t>::max(),
          .connections = plan.callers,
          .socket_bytes = kSocketBytes,
          .header_timeout_ms = settings.header_timeout_ms,
          .idle_timeout_ms = settings.idle_timeout_ms,
          .send_timeout_ms = settings.send_timeout_ms};
}

std::string OverloadBody() {
  return ErrorBody({.code = "overloaded",
                    .message = "the entry has no memory for the request",
                    .ran = wire::outcome::kNotRun},
                   "");
}

}  // namespace

daemon::daemon(net::loop& event_loop, const settings_file& settings)
    : loop_(event_loop),
      settings_(settings),
      incarnation_(base::RandomU64()),
      budget_(net::BudgetBytes(settings.entry.memory_mb)),
      hub_(net::MakeLinkContext(event_loop,
                                settings.process,
                                "entry",
                                incarnation_,
                                clock_),
           HubCallbacks()),
      http_(event_loop, HttpLimits(settings.entry), HttpCallbacks(), &budget_),
      tick_(event_loop.ev(),
            [this] {
              Handle(tick{base::RandomU64()});
              UpdateSession();
            }),
      exit_(event_loop.ev(), [this] { loop_.Stop(); }) {
  state_.settings = settings_.entry;
  state_.name = settings_.process.name;
  state_.region = settings_.process.region;
  state_.data_center = settings_.process.data_center;
  state_.incarnation = incarnation_;
  state_.random = base::RandomU64();
}

void daemon::Run() {
  base::SetLogClock(&clock_);
  const std::string links = hub_.Listen(settings_.process.listen);
  const std::string callers = http_.Listen(settings_.entry.listen_http);
  session_.emplace(loop_, hub_, settings_.process.controls, Describe(),
                   SessionCallbacks());
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop_.OnSignal(signal_number, [this] {
      Handle(shutdown{});
      UpdateSession();
    });
  }
  reload_.emplace(loop_, settings_.process.file,
                  [this](std::string_view text, base::findings& out) {
                    return Reload(text, out);
                  });
  tick_.Start(kTickUs, kTickUs);
  base::LogInfo(
      "entry_started",
      {{"name", settings_.process.name}, {"http", callers}, {"links", links}});
  loop_.Run();
  base::LogInfo("entry_stopped", {{"name", settings_.process.name}});
}

net::restart_list daemon::Reload(std::string_view text, base::findings& out) {
  const settings_file next = ParseSettings(text, settings_.process.file, out);
  if (!out.empty()) {
    return {};
  }
  net::restart_list restart =
      member::ReloadProcess(settings_.process, next.process);
  session_->SetControls(settings_.process.controls);
  if (next.entry != settings_.entry) {
    restart.emplace_back("entry");
  }
  return restart;
}

net::hub_callbacks daemon::HubCallbacks() {
  return {.on_up =
              [this](net::link_id link, net::dial_id dial,
                     const net::peer_identity& peer) {
                HandleUp(link, dial, peer);
              },
          .on_message =
              [this](net::link_id link, std::string_view body) {
                HandleMessage(link, body);
              },
          .on_down =
              [this](net::link_id link, std::string_view reason) {
                if (session_->HandleDown(link)) {
                  base::LogWarning("control_link_down", {{"reason", reason}});
                } else if (agent_links_.erase(link) > 0) {
                  Handle(agent_link_down{link});
                }
              }};
}

net::http_server_callbacks daemon::HttpCallbacks() {
  return {.on_request =
              [this](net::exchange_id id, net::http_server_request request) {
                HandleRequest(id, std::move(request));
              },
          .on_abandoned =
              [this](net::exchange_id id) {
                held_.erase(id);
                // Another caller's output may have closed this connection while
                // an effect is being executed.
                loop_.Defer([this, id] { Handle(caller_left{id}); });
              },
          .too_large_body =
              [] {
                return ErrorBody({.code = "body_too_large",
                                  .message = "the body is too large",
                                  .ran = wire::outcome::kNotRun},
                                 "");
              },
          .overload_body = OverloadBody};
}

void daemon::HandleRequest(net::exchange_id id,
                           net::http_server_request request) {
  held_.try_emplace(id, &budget_, net::memory_use::kRequests)
      .first->second.Set(net::HeldBytes(request));
  Handle(http_received{.exchange = id,
                       .request = std::move(request),
                       .wall_ms = base::WallMs(),
                       .seed = base::RandomU64()});
  // The workspace is known only now; a request that was refused holds nothing.
  const auto held = held_.find(id);
  const auto number = state_.request_of_exchange.find(id);
  if (held == held_.end() || number == state_.request_of_exchange.end()) {
    return;
  }
  const auto open = state_.requests.find(number->second);
  if (open != state_.requests.end()) {
    held->second.SetWorkspace(open->second.workspace);
    http_.SetWorkspace(id, open->second.workspace);
  }
}

member::control_session_callbacks daemon::SessionCallbacks() {
  return {.on_message =
              [this](const wire::control_message& message) {
                HandleControl(message);
              },
          .on_lease =
              [this](base::time_us until_us, const wire::fencing_number&) {
                Handle(lease_extended{until_us});
                UpdateSession();
              },
          .on_opened = [this] { Handle(control_opened{}); },
          .on_dropped =
              [this](const wire::control_message& message) {
                Handle(control_dropped{message});
              }};
}

wire::member_info daemon::Describe() const {
  return {.name = settings_.process.name,
          .role = wire::member_role::kEntry,
          .incarnation = incarnation_,
          .address = settings_.process.advertise,
          .region = settings_.process.region,
          .data_center = settings_.process.data_center,
          .leaving = state_.stopping};
}

void daemon::Handle(const entry_event& event) {
  for (const entry_effect& effect : Step(state_, event, base::MonotonicUs())) {
    std::visit([this](const auto& each) { Run(each); }, effect);
  }
}

void daemon::HandleUp(net::link_id link,
                      net::dial_id dial,
                      const net::peer_identity& peer) {
  if (session_->HandleUp(link, dial, peer)) {
    base::LogInfo("control_link_up", {{"control", peer.name}});
  } else if (dial != 0 && peer.role == "agent") {
    agent_links_.insert(link);
    Handle(agent_link_up{link, peer.name});
  }
}

void daemon::HandleMessage(net::link_id link, std::string_view body) {
  if (session_->HandleMessage(link, body)) {
    return;
  }
  try {
    if (agent_links_.contains(link)) {
      Handle(work_received{link, wire::DecodeWork(body)});
      return;
    }
    const wire::control_message message = wire::DecodeControl(body);
    if (const auto* request = std::get_if<wire::admin_request>(&message)) {
      HandleAdmin(link, *request);
    }
  } catch (const wire::malformed_message& error) {
    metrics_.Count("wisteriaroute_malformed_messages_total");
    hub_.Close(link, error.what());
  }
}

void daemon::HandleAdmin(net::link_id link,
                         const wire::admin_request& request) {
  wire::admin_reply reply{.correlation = request.correlation};
  if (const auto* filter = std::get_if<base::timeline_filter>(&request.call)) {
    reply.result = wire::admin_result::kOk;
    reply.events = timeline_.Select(*filter);
  } else {
    reply.result = wire::admin_result::kRefused;
    reply.code = "not_supported";
    reply.message = "an entry answers only requests for its time line";
  }
  hub_.Send(link, wire::Encode(wire::control_message(std::move(reply))));
}

void daemon::HandleControl(const wire::control_message& message) {
  if (const auto* update = std::get_if<wire::config_update>(&message)) {
    ApplyUpdate(*update);
    return;
  }
  Handle(control_received{message});
}

void daemon::ApplyUpdate(const wire::config_update& update) {
  configuration_mirror next = mirror_;
  if (!Apply(next, update)) {
    return;
  }
  auto parsed = config::ParseObjects(Objects(next));
  if (!parsed.findings.empty()) {
    base::LogError("revision_refused",
                   {{"revision", update.revision},
                    {"finding", base::ToString(parsed.findings.front())}});
    return;
  }
  mirror_ = std::move(next);
  Handle(configuration_applied{
      std::make_shared<const config::object_set>(std::move(parsed.set)),
      update.revision});
  UpdateSession();
}

void daemon::UpdateSession() {
  const bool ready = IsReady(state_, base::MonotonicUs());
  if (ready != was_ready_) {
    was_ready_ = ready;
    base::LogInfo(ready ? "entry_ready" : "entry_not_ready",
                  {{"revision", state_.revision}});
  }
  if (!state_.stop_reported) {
    session_->Update(Describe(), state_.revision, ready);
  }
}

void daemon::Run(const http_respond& effect) {
  held_.erase(effect.exchange);
  http_.Respond(effect.exchange, effect.status, effect.headers, effect.body);
}

void daemon::Run(const stream_start& effect) {
  http_.StartStream(effect.exchange, effect.status, effect.headers);
}

void daemon::Run(const stream_write& effect) {
  if (http_.BufferedBytes(effect.exchange) <=
      std::min(kMaxBufferedBytes, budget_.workspace_limit() / 2)) {
    http_.Write(effect.exchange, effect.data);
    return;
  }
  held_.erase(effect.exchange);
  http_.AbortStream(effect.exchange);
  metrics_.Count("wisteriaroute_slow_callers_total");
  loop_.Defer([this, id = effect.exchange] { Handle(caller_left{id}); });
}

void daemon::Run(const stream_end& effect) {
  held_.erase(effect.exchange);
  http_.EndStream(effect.exchange);
}

void daemon::Run(const stream_abort& effect) {
  held_.erase(effect.exchange);
  http_.AbortStream(effect.exchange);
}

void daemon::Run(const respond_metrics& effect) {
  metrics_.Set("wisteriaroute_ready",
               IsReady(state_, base::MonotonicUs()) ? 1 : 0);
  metrics_.Set("wisteriaroute_open_requests",
               static_cast<double>(state_.requests.size()));
  metrics_.Set("wisteriaroute_queued_requests",
               static_cast<double>(state_.queued));
  metrics_.Set("wisteriaroute_agent_links",
               static_cast<double>(state_.agent_of_link.size()));
  metrics_.Set("wisteriaroute_revision", static_cast<double>(state_.revision));
  ReportMemory();
  held_.erase(effect.exchange);
  http_.Respond(effect.exchange, 200,
                {{"Content-Type", "text/plain; version=0.0.4"}},
                metrics_.Render());
}

void daemon::ReportMemory() {
  for (const net::memory_use use :
       {net::memory_use::kInput, net::memory_use::kRequests,
        net::memory_use::kOutput}) {
    metrics_.Set("wisteriaroute_held_bytes{use=\"" +
                     std::string(net::ToString(use)) + "\"}",
                 static_cast<double>(budget_.used(use)));
  }
  metrics_.Set("wisteriaroute_held_bytes_limit",
               static_cast<double>(budget_.limit()));
  metrics_.Set("wisteriaroute_slow_callers_closed",
               static_cast<double>(http_.slow_callers_closed()));
  metrics_.Set("wisteriaroute_inputs_refused",
               static_cast<double>(http_.refused_inputs()));
  metrics_.Set("wisteriaroute_connections_evicted",
               static_cast<double>(http_.evicted_connections()));
}

void daemon::Run(const send_work& effect) {
  hub_.Send(effect.link, wire::Encode(effect.message));
}

void daemon::Run(const send_control& effect) {
  session_->Send(effect.message);
}

void daemon::Run(const dial_agent& effect) {
  try {
    dials_[effect.agent] = hub_.Dial(effect.address);
  } catch (const std::invalid_argument& error) {
    base::LogWarning("agent_address_invalid",
                     {{"agent", effect.agent}, {"address", effect.address}});
  }
}

void daemon::Run(const undial_agent& effect) {
  const auto found = dials_.find(effect.agent);
  if (found != dials_.end()) {
    hub_.Undial(found->second);
    dials_.erase(found);
  }
}

void daemon::Run(const add_timeline& effect) {
  if (effect.request_id.empty()) {
    base::LogInfo(effect.kind,
                  {{"server", effect.server}, {"revision", effect.revision}});
  }
  timeline_.Add({.hlc = clock_.Tick(base::WallMs()),
                 .process = settings_.process.name,
                 .kind = effect.kind,
                 .request_id = effect.request_id,
                 .group = effect.group,
                 .server = effect.server,
                 .revision = effect.revision,
                 .detail = effect.detail});
}

void daemon::Run(const count_metric& effect) {
  metrics_.Count(effect.series, effect.increment);
}

void daemon::Run(const latency_metric& effect) {
  metrics_.Latency(effect.name, effect.latency_us);
}

void daemon::Run(const stop_listening&) {
  http_.StopListening();
}

void daemon::Run(const stopped&) {
  session_->Stop();
  exit_.Start(kExitDelayUs);
}

}  // namespace wisteriaroute::entry
