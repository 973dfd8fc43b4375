#include "sidecar/daemon.h"

#include <csignal>
#include <memory>
#include <utility>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/base/toml_reader.h"
#include "libwisteriaroute/member/process_reload.h"
#include "libwisteriaroute/net/address.h"
#include "libwisteriaroute/net/link_context.h"
#include "platform/ranks.h"

namespace wisteriaroute::sidecar {

namespace {

// The server runs on the same host; it answers within a few ms or not at all.
constexpr std::int64_t kCallTimeoutMs = 300;
// Far above the lists of a rank with 64 sets of 256 experts. A server that
// sends without end would otherwise exceed the memory of the host within the
// time limit.
constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;

const char* KindName(wire::rank_order_kind kind) {
  switch (kind) {
    case wire::rank_order_kind::kFence:
      return "fence";
    case wire::rank_order_kind::kDisarm:
      return "disarm";
    case wire::rank_order_kind::kPrepare:
      return "prepare";
    case wire::rank_order_kind::kArm:
      return "arm";
    case wire::rank_order_kind::kHold:
      return "hold";
    case wire::rank_order_kind::kRelease:
      return "release";
  }
  return "unknown";
}

}  // namespace

sidecar_settings ParseSidecarSettings(std::string_view text,
                                      std::string_view file,
                                      base::findings& out) {
  sidecar_settings settings;
  const std::optional<toml::table> root = base::ParseToml(text, file, out);
  if (!root) {
    return settings;
  }
  base::toml_reader reader(*root, file, out);
  settings.process = base::ParseProcessSettings(reader, file, out);
  const toml::table* table = reader.Table("sidecar");
  if (table == nullptr) {
    reader.Report("sidecar", "the table [sidecar] is required");
  } else {
    base::toml_reader fields(*table, file, out);
    settings.server = fields.RequiredString("server");
    if (!settings.server.empty() && !net::IsAddress(settings.server)) {
      fields.Report("server", "'" + settings.server +
                                  "' is not an address like 10.0.0.1:8080");
    }
    settings.service = fields.RequiredString("service");
    fields.ReportUnknownKeys();
  }
  reader.ReportUnknownKeys();
  return settings;
}

daemon::daemon(net::loop& event_loop, sidecar_settings settings)
    : loop_(event_loop),
      settings_(std::move(settings)),
      incarnation_(base::RandomU64()),
      hub_(net::MakeLinkContext(event_loop,
                                settings_.process,
                                "sidecar",
                                incarnation_,
                                clock_),
           LinkCallbacks()),
      server_(event_loop),
      metrics_server_(event_loop, [this] { return RenderMetrics(); }),
      tick_(event_loop.ev(), [this] { Handle(sidecar_tick{}); }),
      coordinator_tick_(event_loop.ev(), [this] {
        Coordinate(coordinator::coordinator_tick{});
      }) {
  state_.name = settings_.process.name;
  state_.incarnation = incarnation_;
  state_.service = settings_.service;
  state_.server = settings_.server;
}

void daemon::Run() {
  base::SetLogClock(&clock_);
  const wire::member_info info = {.name = settings_.process.name,
                                  .role = wire::member_role::kSidecar,
                                  .incarnation = incarnation_,
                                  .address = settings_.process.advertise,
                                  .region = settings_.process.region,
                                  .data_center = settings_.process.data_center};
  session_.emplace(loop_, hub_, settings_.process.controls, info,
                   SessionCallbacks(), settings_.process.learn_controls);
  for (const int signal_number : {SIGTERM, SIGINT}) {
    loop_.OnSignal(signal_number, [this] {
      base::LogInfo("stopping", {});
      session_->Stop();
      loop_.Stop();
    });
  }
  reload_.emplace(loop_, settings_.process.file,
                  [this](std::string_view text, base::findings& out) {
                    return Reload(text, out);
                  });
  metrics_server_.Listen(settings_.process.listen_metrics);
  if (!settings_.process.listen.empty()) {
    hub_.Listen(settings_.process.listen);
  }
  tick_.Start(kSidecarTickUs, kSidecarTickUs);
  coordinator_tick_.Start(coordinator::kCoordinatorTickUs,
                          coordinator::kCoordinatorTickUs);
  base::LogInfo("sidecar_started", {{"name", settings_.process.name},
                                    {"server", settings_.server},
                                    {"service", settings_.service}});
  loop_.Run();
  base::LogInfo("sidecar_stopped", {{"name", settings_.process.name}});
}

member::control_session_callbacks daemon::SessionCallbacks() {
  return {.on_message =
              [this](const wire::control_message& message) {
                if (const auto* grant =
                        std::get_if<wire::coordinator_grant>(&message)) {
                  Handle(grant_received{*grant});
                }
              },
          .on_opened = [this] { Handle(control_opened{}); },
          .on_dropped = [](const wire::control_message&) {}};
}

net::hub_callbacks daemon::LinkCallbacks() {
  return {
      .on_up =
          [this](net::link_id link, net::dial_id dial,
                 const net::peer_identity& peer) {
            HandleUp(link, dial, peer);
          },
      .on_message = [this](
                        net::link_id link,
                        std::string_view body) { HandleMessage(link, body); },
      .on_down = [this](net::link_id link,
                        std::string_view reason) { HandleDown(link, reason); }};
}

void daemon::HandleUp(net::link_id link,
                      net::dial_id dial,
                      const net::peer_identity& peer) {
  if (session_->HandleUp(link, dial, peer)) {
    base::LogInfo("control_link_up", {{"replica", peer.name}});
  } else if (dial != 0 && dial == coordinator_dial_) {
    base::LogInfo("coordinator_link_up", {{"coordinator", peer.name}});
    coordinator_link_ = link;
    Handle(coordinator_link_changed{true});
  }
}

void daemon::HandleMessage(net::link_id link, std::string_view body) {
  if (session_->HandleMessage(link, body)) {
    return;
  }
  try {
    const wire::control_message message = wire::DecodeControl(body);
    if (const auto* status = std::get_if<wire::rank_status>(&message)) {
      Coordinate(coordinator::rank_reported{link, *status});
    } else if (const auto* order = std::get_if<wire::rank_order>(&message)) {
      Handle(order_received{*order});
    }
  } catch (const wire::malformed_message& error) {
    base::LogWarning("malformed_message", {{"cause", error.what()}});
    hub_.Close(link, error.what());
  }
}

void daemon::HandleDown(net::link_id link, std::string_view reason) {
  if (session_->HandleDown(link)) {
    base::LogWarning("control_link_down", {{"reason", reason}});
  } else if (link == coordinator_link_) {
    base::LogWarning("coordinator_link_down", {{"reason", reason}});
    coordinator_link_ = 0;
    Handle(coordinator_link_changed{false});
  }
}

void daemon::Follow(const std::string& address) {
  if (coordinator_dial_ != 0) {
    coordinator_link_ = 0;
    hub_.Undial(std::exchange(coordinator_dial_, 0));
  }
  if (!address.empty()) {
    coordinator_dial_ = hub_.Dial(address);
  }
}

void daemon::Coordinate(const coordinator::coordinator_event& event) {
  for (const coordinator::coordinator_effect& effect :
       coordinator::Step(coordinator_, event, base::MonotonicUs())) {
    Run(effect);
  }
}

void daemon::Run(const coordinator::coordinator_effect& effect) {
  if (const auto* line = std::get_if<coordinator::log_event>(&effect)) {
    std::string detail = line->detail;
    for (const auto& [stage, duration_us] : line->stages) {
      detail += std::string(" ") + stage + "_ms " +
                std::to_string(duration_us / 1'000);
      metrics_.Latency(
          "wisteriaroute_map_change_" + std::string(stage) + "_seconds",
          duration_us);
    }
    base::LogInfo(line->kind, {{"group", line->group}, {"detail", detail}});
    metrics_.Count("wisteriaroute_events_total{kind=\"" + line->kind + "\"}");
    return;
  }
  const auto& sent = std::get<coordinator::send_order>(effect);
  std::string body;
  for (const net::link_id link : sent.links) {
    if (link == coordinator::kLocalLink) {
      Handle(order_received{sent.order});
      continue;
    }
    if (body.empty()) {
      body = wire::Encode(sent.order);
    }
    hub_.Send(link, body);
  }
}

void daemon::Handle(sidecar_event event) {
  events_.push_back(std::move(event));
  if (std::exchange(handling_events_, true)) {
    return;
  }
  while (!events_.empty()) {
    const sidecar_event next = std::move(events_.front());
    events_.pop_front();
    for (const sidecar_effect& effect :
         Step(state_, next, base::MonotonicUs())) {
      Run(effect);
    }
  }
  handling_events_ = false;
}

void daemon::Run(const sidecar_effect& effect) {
  struct visitor {
    daemon& self;

    void operator()(const poll_status&) const {
      self.Get(platform::kReportPath, [owner = &self](auto body) {
        const auto status =
            body ? platform::DecodeRankStatus(*body) : std::nullopt;
        owner->Handle(status_polled{status.has_value(),
                                    status.value_or(wire::rank_status())});
      });
    }
    void operator()(const poll_counts&) const {
      self.Get(platform::kCountsPath, [owner = &self](auto body) {
        const auto counts =
            body ? platform::DecodeExpertCounts(*body) : std::nullopt;
        owner->Handle(counts_polled{counts.has_value(),
                                    counts.value_or(expert_counts())});
      });
    }
    void operator()(const poll_lists&) const {
      self.Get(platform::kListsPath, [owner = &self](auto body) {
        const auto lists =
            body ? platform::DecodeExpertLists(*body) : std::nullopt;
        owner->Handle(
            lists_polled{lists.has_value(), lists.value_or(expert_lists())});
      });
    }
    void operator()(const forward_order& passed) const {
      self.Post(passed.order);
    }
    void operator()(const send_status& sent) const {
      if (self.coordinator_.term != 0) {
        self.Coordinate(
            coordinator::rank_reported{coordinator::kLocalLink, sent.status});
      } else {
        self.hub_.Send(self.coordinator_link_, wire::Encode(sent.status));
      }
    }
    void operator()(const send_presence& sent) const {
      self.session_->Send(sent.presence);
    }
    void operator()(const follow_coordinator& followed) const {
      self.Follow(followed.address);
    }
    void operator()(const start_coordinating& taken) const {
      self.Coordinate(coordinator::coordination_granted{taken.grant});
    }
    void operator()(const stop_coordinating&) const {
      self.Coordinate(coordinator::coordination_lost{});
    }
    void operator()(const log_order& line) const {
      base::LogInfo("rank_order", {{"kind", KindName(line.order.kind)},
                                   {"term", line.order.term},
                                   {"version", line.order.version},
                                   {"step", line.order.step},
                                   {"outcome", line.outcome}});
      self.metrics_.Count("wisteriaroute_rank_orders_total{kind=\"" +
                          std::string(KindName(line.order.kind)) +
                          "\",outcome=\"" + line.outcome + "\"}");
    }
    void operator()(const log_reachability& line) const {
      base::LogInfo(line.reachable ? "rank_found" : "rank_lost",
                    {{"server", self.settings_.server},
                     {"silent_ms", line.silent_ms},
                     {"formation", line.formation},
                     {"map_version", line.map_version}});
      self.metrics_.Count(line.reachable ? "wisteriaroute_rank_found_total"
                                         : "wisteriaroute_rank_lost_total");
    }
  };
  std::visit(visitor{*this}, effect);
}

net::restart_list daemon::Reload(std::string_view text, base::findings& out) {
  const sidecar_settings next =
      ParseSidecarSettings(text, settings_.process.file, out);
  if (!out.empty()) {
    return {};
  }
  net::restart_list restart =
      member::ReloadProcess(settings_.process, next.process);
  session_->SetControls(settings_.process.controls);
  if (next.server != settings_.server) {
    restart.emplace_back("server");
  }
  if (next.service != settings_.service) {
    restart.emplace_back("service");
  }
  return restart;
}

std::string daemon::RenderMetrics() {
  const wire::rank_status& rank = state_.status;
  metrics_.Set("wisteriaroute_rank_reachable", state_.rank_reachable ? 1 : 0);
  metrics_.Set(
      "wisteriaroute_rank_status_age_seconds",
      static_cast<double>(base::MonotonicUs() - state_.last_status_us) / 1e6);
  metrics_.Set("wisteriaroute_rank_formation",
               static_cast<double>(rank.formation));
  metrics_.Set("wisteriaroute_rank_step", static_cast<double>(rank.step));
  metrics_.Set("wisteriaroute_rank_map_version",
               static_cast<double>(rank.map_version));
  metrics_.Set("wisteriaroute_coordinating", coordinator_.term != 0 ? 1 : 0);
  metrics_.Set("wisteriaroute_ranks_heard",
               static_cast<double>(coordinator_.group.ranks.size()));
  metrics_.Set("wisteriaroute_links_refused",
               static_cast<double>(hub_.refused()));
  metrics_.Set("wisteriaroute_link_input_bytes",
               static_cast<double>(hub_.input_bytes()));
  metrics_.Set("wisteriaroute_link_unsent_bytes",
               static_cast<double>(hub_.unsent_bytes()));
  metrics_.Set("wisteriaroute_highest_term",
               static_cast<double>(state_.highest_term));
  metrics_.Set("wisteriaroute_log_lines_dropped",
               static_cast<double>(base::DroppedLogLines()));
  return metrics_.Render();
}

void daemon::Get(const char* path,
                 std::function<void(std::optional<std::string>)> done) {
  auto body = std::make_shared<std::string>();
  constexpr unsigned kOk = 200;
  server_.Start(
      {.url = "http://" + settings_.server + path,
       .timeout_ms = kCallTimeoutMs,
       .reuse_connection = true,
       .max_body_bytes = kMaxBodyBytes},
      {.on_data = [body](std::string_view data) { body->append(data); },
       .on_done =
           [body, done = std::move(done)](const net::http_client_result& end) {
             done(end.ok && end.status == kOk ? std::optional(std::move(*body))
                                              : std::nullopt);
           }});
}

void daemon::Post(const wire::rank_order& order) {
  server_.Start({.method = "POST",
                 .url = "http://" + settings_.server + platform::kOrderPath,
                 .headers = {{"Content-Type", "application/json"}},
                 .body = platform::EncodeRankOrder(order),
                 .timeout_ms = kCallTimeoutMs},
                {.on_done = [this, kind = order.kind](
                                const net::http_client_result& end) {
                  Handle(order_answered{kind, end.ok ? end.status : 0});
                }});
}

}  // namespace wisteriaroute::sidecar
