#include "libwisteriaroute/agent/daemon.h"

#include "libwisteriaroute/agent/startup_pages.h"
#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/member/process_reload.h"
#include "libwisteriaroute/net/link_context.h"

namespace wisteriaroute::agent {

namespace {

constexpr base::time_us kTickUs = 50'000;
// Delay of ReleaseStartupPages. By then the first links are up, which run much
// code only once.
constexpr base::time_us kReleasePagesDelayUs = 2'000'000;
// Time to send the last messages before the process exits.
constexpr base::time_us kExitDelayUs = 300'000;

}  // namespace

daemon::daemon(net::loop& event_loop, agent_settings settings)
    : event_loop_(event_loop),
      settings_(std::move(settings)),
      state_(StartAgent(settings_.options,
                        base::RandomU64(),
                        base::MonotonicUs())),
      engine_(event_loop,
              settings_.backend,
              [this](agent_event event) { Handle(std::move(event)); }),
      hub_(net::MakeLinkContext(event_loop,
                                settings_.process,
                                "agent",
                                process_incarnation_,
                                clock_),
           HubCallbacks()),
      address_(hub_.Listen(settings_.process.listen)),
      metrics_server_(event_loop, [this] { return metrics_.Render(); }),
      tick_(event_loop.ev(), [this] { Handle(tick{}); }),
      exit_(event_loop.ev(), [this] { event_loop_.Stop(); }),
      release_pages_(event_loop.ev(), [] { ReleaseStartupPages(); }) {
  if (settings_.process.advertise == settings_.process.listen) {
    settings_.process.advertise = address_;
  }
  session_ = std::make_unique<member::control_session>(
      event_loop, hub_, settings_.process.controls, MemberInfo({}),
      member::control_session_callbacks{
          .on_message =
              [this](const wire::control_message& message) {
                Handle(control_received{message});
              },
          .on_lease =
              [this](base::time_us until_us,
                     const wire::fencing_number& fencing) {
                Handle(lease_extended{until_us, fencing});
              },
          .on_opened = [this] { Handle(session_opened{}); },
          .on_dropped = nullptr});
  base::LogInfo("started", {{"address", address_},
                            {"backend", settings_.backend.backend_url}});
  metrics_server_.Listen(settings_.process.listen_metrics);
  reload_.emplace(event_loop, settings_.process.file,
                  [this](std::string_view text, base::findings& out) {
                    return Reload(text, out);
                  });
  Handle(tick{});
  tick_.Start(kTickUs, kTickUs);
  release_pages_.Start(kReleasePagesDelayUs);
}

net::restart_list daemon::Reload(std::string_view text, base::findings& out) {
  agent_settings next;
  try {
    next = ParseSettings(text, settings_.process.file);
  } catch (const base::findings_error& error) {
    out = error.all();
    return {};
  }
  net::restart_list restart =
      member::ReloadProcess(settings_.process, next.process);
  session_->SetControls(settings_.process.controls);
  if (next.backend.backend_url != settings_.backend.backend_url) {
    restart.emplace_back("backend_url");
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
          .on_down = [this](net::link_id link,
                            std::string_view) { HandleDown(link); }};
}

void daemon::HandleUp(net::link_id link,
                      net::dial_id dial,
                      const net::peer_identity& peer) {
  if (session_->HandleUp(link, dial, peer)) {
    return;
  }
  if (peer.role == "entry") {
    peers_[link] = peer_kind::kEntry;
    Handle(entry_up{link});
  } else {
    peers_[link] = peer_kind::kAdmin;
  }
}

void daemon::HandleMessage(net::link_id link, std::string_view body) {
  if (session_->HandleMessage(link, body)) {
    return;
  }
  const auto peer = peers_.find(link);
  if (peer == peers_.end()) {
    return;
  }
  try {
    if (peer->second == peer_kind::kEntry) {
      Handle(entry_received{link, wire::DecodeWork(body)});
    } else {
      HandleAdmin(link, body);
    }
  } catch (const wire::malformed_message& error) {
    metrics_.Count("malformed_messages");
    hub_.Close(link, error.what());
  }
}

void daemon::HandleAdmin(net::link_id link, std::string_view body) {
  const wire::control_message message = wire::DecodeControl(body);
  const auto* request = std::get_if<wire::admin_request>(&message);
  if (request == nullptr) {
    throw wire::malformed_message("only admin requests are accepted here");
  }
  wire::admin_reply reply{.correlation = request->correlation};
  if (const auto* filter = std::get_if<base::timeline_filter>(&request->call)) {
    reply.result = wire::admin_result::kOk;
    reply.events = timeline_.Select(*filter);
  } else {
    reply.result = wire::admin_result::kRefused;
    reply.code = "not_control";
    reply.message = "an agent answers timeline requests only";
  }
  hub_.Send(link, wire::Encode(wire::control_message(std::move(reply))));
}

void daemon::HandleDown(net::link_id link) {
  if (session_->HandleDown(link)) {
    return;
  }
  const auto node = peers_.extract(link);
  if (!node.empty() && node.mapped() == peer_kind::kEntry) {
    Handle(entry_down{link});
  }
}

wire::member_info daemon::MemberInfo(const update_member& update) const {
  const base::process_settings& process = settings_.process;
  return {.name = process.name,
          .role = wire::member_role::kAgent,
          .incarnation = process_incarnation_,
          .address = process.advertise,
          .region = process.region,
          .data_center = process.data_center,
          .leaving = update.leaving,
          .backend = update.backend};
}

void daemon::Stop() {
  Handle(stop_requested{});
}

void daemon::Handle(agent_event event) {
  events_.push_back(std::move(event));
  // Performing an effect may raise an event synchronously. The outer call
  // handles it.
  if (handling_) {
    return;
  }
  handling_ = true;
  while (!events_.empty()) {
    const agent_event next = std::move(events_.front());
    events_.pop_front();
    for (const agent_effect& effect : Step(state_, next, base::MonotonicUs())) {
      std::visit([this](const auto& alternative) { Run(alternative); }, effect);
    }
  }
  handling_ = false;
}

void daemon::Run(const send_work& effect) {
  hub_.Send(effect.link, wire::Encode(effect.message));
}

void daemon::Run(const close_link& effect) {
  hub_.Close(effect.link, effect.reason);
}

void daemon::Run(const send_control& effect) {
  if (session_ != nullptr) {
    session_->Send(effect.message);
  }
}

void daemon::Run(const update_member& effect) {
  if (session_ != nullptr) {
    session_->Update(MemberInfo(effect), effect.revision, effect.ready);
  }
}

void daemon::Run(const record_event& effect) {
  if (effect.state_change && effect.detail.empty()) {
    base::LogInfo(effect.kind, {});
  } else if (effect.state_change) {
    base::LogInfo(effect.kind, {{"detail", effect.detail}});
  }
  timeline_.Add({.hlc = clock_.Tick(base::WallMs()),
                 .process = settings_.process.name,
                 .kind = effect.kind,
                 .request_id = effect.request_id,
                 .group = settings_.options.group,
                 .server = settings_.process.name,
                 .revision = state_.revision,
                 .detail = effect.detail});
}

void daemon::Run(const count_metric& effect) {
  metrics_.Count(effect.series);
}

void daemon::Run(const stop_process&) {
  base::LogInfo("stopped", {});
  session_->Stop();
  exit_.Start(kExitDelayUs);
}

}  // namespace wisteriaroute::agent
