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
           member::ControlLinks(session_)),
      server_(event_loop),
      metrics_server_(event_loop, [this] { return RenderMetrics(); }),
      tick_(event_loop.ev(), [this] { Handle(sidecar_tick{}); }) {
  state_.service = settings_.service;
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
  tick_.Start(kSidecarTickUs, kSidecarTickUs);
  base::LogInfo("sidecar_started", {{"name", settings_.process.name},
                                    {"server", settings_.server},
                                    {"service", settings_.service}});
  loop_.Run();
  base::LogInfo("sidecar_stopped", {{"name", settings_.process.name}});
}

member::control_session_callbacks daemon::SessionCallbacks() {
  return {
      .on_message =
          [this](const wire::control_message& message) {
            if (const auto* order = std::get_if<wire::rank_order>(&message)) {
              Handle(order_received{*order});
            }
          },
      .on_opened = [this] { Handle(control_opened{}); },
      .on_dropped = [](const wire::control_message&) {}};
}

void daemon::Handle(sidecar_event event) {
  events_.push_back(std::move(event));
  if (std::exchange(running_, true)) {
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
  running_ = false;
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
        const auto counts = body ? platform::DecodeCounts(*body) : std::nullopt;
        owner->Handle(counts_polled{counts.has_value(),
                                    counts.value_or(expert_counts())});
      });
    }
    void operator()(const poll_lists&) const {
      self.Get(platform::kListsPath, [owner = &self](auto body) {
        const auto lists = body ? platform::DecodeLists(*body) : std::nullopt;
        owner->Handle(
            lists_polled{lists.has_value(), lists.value_or(expert_lists())});
      });
    }
    void operator()(const pass_order& passed) const { self.Post(passed.order); }
    void operator()(const send_status& sent) const {
      self.session_->Send(sent.status);
    }
    void operator()(const note_order& line) const {
      base::LogInfo("rank_order", {{"kind", KindName(line.order.kind)},
                                   {"term", line.order.term},
                                   {"version", line.order.version},
                                   {"step", line.order.step},
                                   {"outcome", line.outcome}});
      self.metrics_.Count("wisteriaroute_rank_orders_total{kind=\"" +
                          std::string(KindName(line.order.kind)) +
                          "\",outcome=\"" + line.outcome + "\"}");
    }
    void operator()(const note_rank& line) const {
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
  metrics_.Set("wisteriaroute_rank_reachable", state_.reachable ? 1 : 0);
  metrics_.Set(
      "wisteriaroute_rank_status_age_seconds",
      static_cast<double>(base::MonotonicUs() - state_.heard_us) / 1e6);
  metrics_.Set("wisteriaroute_rank_formation",
               static_cast<double>(rank.formation));
  metrics_.Set("wisteriaroute_rank_step", static_cast<double>(rank.step));
  metrics_.Set("wisteriaroute_rank_map_version",
               static_cast<double>(rank.map_version));
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
       .reuse_connection = true},
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
                 .body = platform::EncodeOrder(order),
                 .timeout_ms = kCallTimeoutMs},
                {.on_done = [this, kind = order.kind](
                                const net::http_client_result& end) {
                  Handle(order_answered{kind, end.ok ? end.status : 0});
                }});
}

}  // namespace wisteriaroute::sidecar
