#include "control/daemon.h"

#include <iostream>
#include <utility>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/member/process_reload.h"
#include "libwisteriaroute/net/descriptors.h"
#include "libwisteriaroute/net/link_context.h"

namespace wisteriaroute::control {

namespace {

// A leadership transfer takes a few round trips. If it fails, the other
// replicas elect a leader by themselves, so waiting longer gains nothing.
constexpr base::time_us kShutdownLimitUs = 2'000'000;
// A replacement may need an election and a few changes of the replica set. The
// platform kills a process 8 s after its SIGTERM.
constexpr base::time_us kReplacementLimitUs = 5'000'000;
constexpr base::time_us kShutdownPollUs = 20'000;
// Part of the descriptors that links may use: 2,816 of 4,096, for the 2,710
// members of one replica at full size. A quarter is for calls, the rest for the
// log and for links to other replicas.
constexpr std::size_t kLinkSixteenths = 11;

}  // namespace

daemon::daemon(net::loop& event_loop, control_settings settings)
    : event_loop_(event_loop),
      settings_(std::move(settings)),
      incarnation_(base::RandomU64()),
      hub_(
          net::MakeLinkContext(event_loop,
                               settings_.process,
                               kControlRole,
                               incarnation_,
                               clock_),
          {.on_up =
               [this](net::link_id link,
                      net::dial_id,
                      const net::peer_identity& peer) { HandleUp(link, peer); },
           .on_message =
               [this](net::link_id link, std::string_view body) {
                 HandleMessage(link, body);
               },
           .on_down = [this](net::link_id link,
                             std::string_view) { HandleDown(link); }}),
      raft_(event_loop,
            settings_,
            {.on_effect =
                 [this](raft::effect effect) {
                   HandleRaftEffect(std::move(effect));
                 },
             .on_failed = [this](const std::string& reason) { Fail(reason); }}),
      protocol_(protocol::Select(settings_.process.protocol)),
      metrics_server_(event_loop, [this] { return RenderMetrics(); }),
      large_call_timer_(event_loop.ev(), [this] { HandleLargeCall(); }),
      tick_(event_loop.ev(), [this] { Post(replica_tick{}); }),
      report_timer_(event_loop.ev(), [this] { ReportReplicas(); }),
      shutdown_timer_(event_loop.ev(),
                      [this] {
                        if (MayStop()) {
                          event_loop_.Stop();
                        }
                      }),
      resume_timer_(event_loop.ev(), [this] {
        resuming_ = false;
        RunEvents();
      }) {
  state_.options.incarnation = incarnation_;
  state_.self_name = settings_.process.name;
  state_.self_address = settings_.process.advertise;
  state_.options.decode_traffic = [this](std::string_view document,
                                         base::findings& out) {
    return DecodeTraffic(protocol_, document, out);
  };
  state_.options.max_pending_proposals =
      static_cast<std::size_t>(settings_.max_pending_proposals);
  state_.options.data_centers = settings_.data_centers;
}

void daemon::Start() {
  base::SetLogClock(&clock_);
  if (const raft::snapshot* stored = raft_.stored_snapshot()) {
    state_.durable = DecodeState(*stored->data);
    state_.applied_index = stored->last_index;
    log_growth_.snapshot_bytes = stored->data->size();
  }
  hub_.SetMaxLinks(net::DescriptorLimit() / 16 * kLinkSixteenths);
  const std::string address = hub_.Listen(settings_.process.listen);
  // Tells the parent process the address if the settings give port 0.
  std::cout << "listening " << address << std::endl;
  base::LogInfo("started", {{"address", address},
                            {"applied_index", state_.applied_index},
                            {"term", raft_.state().metadata.term}});
  StartHttp();
  reload_.emplace(event_loop_, settings_.process.file,
                  [this](std::string_view text, base::findings& out) {
                    return Reload(text, out);
                  });
  metrics_server_.Listen(settings_.process.listen_metrics);
  DialReplicas(ConfiguredReplicas());
  DialReplicas(raft::Replicas(raft_.state()));
  raft_.Start();
  tick_.Start(kReplicaTickUs, kReplicaTickUs);
  report_timer_.Start(kReportPeriodUs, kReportPeriodUs);
}

wire::replica_list daemon::ConfiguredReplicas() const {
  wire::replica_list configured;
  for (const replica_address& replica : settings_.replicas) {
    configured.push_back({.name = replica.name, .address = replica.address});
  }
  return configured;
}

void daemon::Shutdown() {
  if (shutdown_deadline_us_ != 0) {
    return;
  }
  const bool awaits_replacement = AwaitsReplacement();
  base::LogInfo("stopping", {{"applied_index", state_.applied_index},
                             {"awaits_replacement", awaits_replacement}});
  shutdown_deadline_us_ =
      base::MonotonicUs() +
      (awaits_replacement ? kReplacementLimitUs : kShutdownLimitUs);
  raft_.Post(raft::announce_leaving{});
  shutdown_timer_.Start(0, kShutdownPollUs);
}

bool daemon::AwaitsReplacement() const {
  return settings_.join_automatically &&
         control::AwaitsReplacement(raft_.state(), TargetVoters());
}

bool daemon::MayStop() {
  return base::MonotonicUs() > shutdown_deadline_us_ ||
         (TransferLeadership() && !AwaitsReplacement());
}

bool daemon::TransferLeadership() {
  const raft::raft_state& raft = raft_.state();
  if (raft.current_role != raft::role::kLeader) {
    return true;
  }
  std::string successor;
  std::uint64_t successor_index = 0;
  for (const wire::replica& replica : raft::Replicas(raft)) {
    const auto peer = raft.leader.peers.find(replica.name);
    const bool reachable = replica_links_.contains(replica.name);
    if (replica.voter && reachable && peer != raft.leader.peers.end() &&
        !peer->second.leaving &&
        (successor.empty() || peer->second.match_index > successor_index)) {
      successor = replica.name;
      successor_index = peer->second.match_index;
    }
  }
  if (successor.empty()) {
    return true;
  }
  if (raft.leader.transfer_to.empty()) {
    raft_.Post(raft::transfer_leadership{successor});
  }
  return false;
}

void daemon::HandleUp(net::link_id link, const net::peer_identity& peer) {
  peers_[link] = peer;
  if (peer.role == kControlRole) {
    replica_links_.emplace(peer.name, link);
  }
}

void daemon::HandleMessage(net::link_id link, std::string_view body) {
  const auto peer = peers_.find(link);
  if (peer == peers_.end()) {
    return;
  }
  try {
    if (peer->second.role == kControlRole) {
      raft_.Post(raft::received{peer->second.name, wire::DecodeRaft(body)});
    } else {
      Post(link_received{link, wire::DecodeControl(body)});
    }
  } catch (const wire::malformed_message& error) {
    ++malformed_messages_;
    base::LogWarning("malformed_message",
                     {{"peer", peer->second.name},
                      {"cause", error.what()},
                      {"malformed_messages", malformed_messages_}});
    hub_.Close(link, error.what());
  }
}

void daemon::HandleDown(net::link_id link) {
  const auto peer = peers_.find(link);
  if (peer == peers_.end()) {
    return;
  }
  if (peer->second.role == kControlRole) {
    std::erase_if(replica_links_,
                  [&](const auto& item) { return item.second == link; });
  } else {
    Post(link_closed{link});
  }
  peers_.erase(peer);
}

void daemon::DialReplicas(const wire::replica_list& replicas) {
  for (const wire::replica& replica : replicas) {
    if (replica.name == settings_.process.name || replica.address.empty() ||
        dials_by_address_.contains(replica.address)) {
      continue;
    }
    dials_by_address_[replica.address] = hub_.Dial(replica.address);
  }
}

void daemon::SendToReplica(const std::string& name, std::string body) {
  const auto [first, last] = replica_links_.equal_range(name);
  if (first != last) {
    // Uses the newest link: an older one may be dead but not closed yet.
    hub_.Send(std::prev(last)->second, std::move(body));
  }
}

net::restart_list daemon::Reload(std::string_view text, base::findings& out) {
  control_settings next =
      ParseControlSettings(text, settings_.process.file, out);
  if (!out.empty()) {
    return {};
  }
  net::restart_list restart =
      member::ReloadProcess(settings_.process, next.process);
  if (next.data_dir != settings_.data_dir) {
    restart.emplace_back("data_dir");
  }
  if (next.listen_http != settings_.listen_http) {
    restart.emplace_back("listen_http");
  }
  settings_.snapshot_entries = next.snapshot_entries;
  settings_.kept_entries = next.kept_entries;
  settings_.max_pending_proposals = next.max_pending_proposals;
  settings_.join_automatically = next.join_automatically;
  settings_.tolerated_losses = next.tolerated_losses;
  settings_.replicas = std::move(next.replicas);
  settings_.data_centers = std::move(next.data_centers);
  state_.options.data_centers = settings_.data_centers;
  state_.options.max_pending_proposals =
      static_cast<std::size_t>(settings_.max_pending_proposals);
  DialReplicas(ConfiguredReplicas());
  return restart;
}

std::string daemon::RenderMetrics() {
  const raft::raft_state& raft = raft_.state();
  metrics_.Set("wisteriaroute_leading",
               raft.current_role == raft::role::kLeader ? 1 : 0);
  metrics_.Set("wisteriaroute_term", static_cast<double>(raft.metadata.term));
  metrics_.Set("wisteriaroute_applied_index",
               static_cast<double>(state_.applied_index));
  metrics_.Set("wisteriaroute_disk_writable", raft.disk_writable ? 1 : 0);
  metrics_.Set("wisteriaroute_synced_index",
               static_cast<double>(raft.synced_index));
  metrics_.Set("wisteriaroute_replicas",
               static_cast<double>(raft::Replicas(raft).size()));
  metrics_.Set("wisteriaroute_links", static_cast<double>(peers_.size()));
  metrics_.Set("wisteriaroute_links_refused",
               static_cast<double>(hub_.refused()));
  metrics_.Set("wisteriaroute_link_input_bytes",
               static_cast<double>(hub_.input_bytes()));
  metrics_.Set("wisteriaroute_link_unsent_bytes",
               static_cast<double>(hub_.unsent_bytes()));
  metrics_.Set("wisteriaroute_calls_waiting",
               static_cast<double>(calls_.size()));
  metrics_.Set("wisteriaroute_malformed_messages",
               static_cast<double>(malformed_messages_));
  metrics_.Set("wisteriaroute_log_lines_dropped",
               static_cast<double>(base::DroppedLogLines()));
  ReportEvacuations();
  return metrics_.Render();
}

void daemon::ReportEvacuations() {
  const auto& evacuated = state_.durable.evacuations.data_centers;
  std::set<std::string, std::less<>> names = settings_.data_centers;
  names.insert(evacuated.begin(), evacuated.end());
  // A data centre that isn't in the settings keeps its gauge after the end.
  names.insert(reported_data_centers_.begin(), reported_data_centers_.end());
  for (const std::string& name : names) {
    metrics_.Set(base::Labelled("wisteriaroute_data_center_evacuated",
                                "data_center", name),
                 evacuated.contains(name) ? 1 : 0);
  }
  reported_data_centers_ = std::move(names);
}

void daemon::Fail(const std::string& reason) {
  failure_ = reason;
  base::LogError("failed", {{"cause", reason}});
  event_loop_.Stop();
}

}  // namespace wisteriaroute::control
