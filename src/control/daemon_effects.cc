#include <utility>

#include "control/daemon.h"
#include "libwisteriaroute/base/log.h"

namespace wisteriaroute::control {

namespace {

// One fifth of the leader's heartbeat period of 100 ms.
constexpr base::time_us kApplyTimeSliceUs = 20'000;

}  // namespace

// The part of the daemon that runs the reducer of the replicated state.

void daemon::Post(replica_event event) {
  events_.push_back(std::move(event));
  RunEvents();
}

void daemon::RunEvents() {
  if (resuming_ || std::exchange(handling_events_, true)) {
    return;
  }
  const base::time_us time_slice_end_us =
      base::MonotonicUs() + kApplyTimeSliceUs;
  while (!events_.empty()) {
    const replica_event next = std::move(events_.front());
    events_.pop_front();
    if (!HandleEvent(next)) {
      return;
    }
    // Raft runs on the same loop. If a backlog of entries blocked the loop for
    // an election timeout, a leader would send no heartbeats and a follower
    // would not vote, and either causes another election.
    if (std::holds_alternative<entry_committed>(next) && !events_.empty() &&
        base::MonotonicUs() >= time_slice_end_us) {
      resuming_ = true;
      resume_timer_.Start(0);
      break;
    }
  }
  handling_events_ = false;
  if (!resuming_) {
    LogReplay();
    MakeSnapshotIfDue();
  }
}

bool daemon::HandleEvent(const replica_event& event) {
  try {
    const step_time now{base::MonotonicUs(), base::WallMs()};
    for (const replica_effect& effect : Step(state_, event, now)) {
      Run(effect);
    }
    if (const auto* entry = std::get_if<entry_committed>(&event)) {
      ++log_growth_.entries;
      log_growth_.bytes += entry->payload.size();
      if (replay_.entries == 0) {
        replay_.started_us = now.now_us;
      }
      ++replay_.entries;
      replay_.bytes += entry->payload.size();
    }
    return true;
  } catch (const std::exception& error) {
    // Skipping a log entry would make the state of this replica diverge from
    // the others, so the process stops.
    Fail(error.what());
    return false;
  }
}

void daemon::LogReplay() {
  const replay done = std::exchange(replay_, {});
  const base::time_us duration_us = base::MonotonicUs() - done.started_us;
  if (done.entries > 0 && duration_us >= kApplyTimeSliceUs) {
    base::LogInfo("entries_applied",
                  {{"entries", done.entries},
                   {"bytes", done.bytes},
                   {"ms", static_cast<std::uint64_t>(duration_us / 1'000)},
                   {"applied_index", state_.applied_index}});
  }
}

void daemon::Run(const replica_effect& effect) {
  struct visitor {
    daemon& self;

    void operator()(const send_to_links& send) const {
      if (send.links.size() == 1 && send.links[0] == kHttpLink) {
        self.AnswerCall(std::get<wire::admin_reply>(send.message));
        return;
      }
      const std::string body = wire::Encode(send.message);
      for (const net::link_id link : send.links) {
        self.hub_.Send(link, body);
      }
    }
    void operator()(const propose_command& proposal) const {
      self.raft_.Post(raft::propose{proposal.proposal_id, proposal.payload});
    }
    void operator()(const confirm_leader& confirm) const {
      self.raft_.Post(raft::confirm_leadership{confirm.confirm_id});
    }
    void operator()(const change_replica& change) const {
      self.ChangeReplicas(change);
    }
    void operator()(const answer_timeline& request) const {
      self.AnswerTimeline(request);
    }
    void operator()(const record_event& note) const {
      self.RecordEvent(note.event);
    }
  };
  std::visit(visitor{*this}, effect);
}

void daemon::ChangeReplicas(const change_replica& change) {
  raft::change_replicas request{.proposal_id = change.proposal_id};
  if (const auto* add = std::get_if<wire::add_replica>(&change.change)) {
    request.change = raft::replica_change::kAddLearner;
    request.name = add->name;
    request.address = add->address;
    request.promote_when_ready = true;
  } else {
    request.change = raft::replica_change::kRemove;
    request.name = std::get<wire::remove_replica>(change.change).name;
  }
  raft_.Post(std::move(request));
}

void daemon::AnswerTimeline(const answer_timeline& request) {
  wire::admin_reply reply{.correlation = request.correlation,
                          .result = wire::admin_result::kOk,
                          .events = timeline_.Select(request.filter)};
  hub_.Send(request.link, wire::Encode(std::move(reply)));
}

void daemon::RecordEvent(base::timeline_event event) {
  event.hlc = clock_.Tick(base::WallMs());
  event.process = settings_.process.name;
  metrics_.Count("wisteriaroute_events_total{kind=\"" + event.kind + "\"}");
  if (!event.group.empty()) {
    base::LogInfo(event.kind,
                  {{"group", event.group}, {"detail", event.detail}});
  } else if (!event.server.empty()) {
    base::LogInfo(event.kind,
                  {{"server", event.server}, {"detail", event.detail}});
  } else if (event.revision != 0) {
    base::LogInfo(event.kind,
                  {{"revision", event.revision}, {"operation", event.detail}});
  } else {
    base::LogInfo(event.kind, {{"detail", event.detail}});
  }
  timeline_.Add(std::move(event));
}

void daemon::ReportReplicas() {
  const raft::raft_state& raft = raft_.state();
  const base::time_us now_us = base::MonotonicUs();
  silence_.Tick(now_us, kReportPeriodUs);
  replicas_updated update{ViewReplicas(raft, silence_, now_us)};
  if (raft.current_role == raft::role::kLeader &&
      settings_.join_automatically) {
    ProposeReplicaChange(update.replicas);
  }
  Post(std::move(update));
}

void daemon::ProposeReplicaChange(std::span<const replica_view> replicas) {
  std::vector<replica_address> connected;
  for (const auto& [link, peer] : peers_) {
    if (peer.role == kControlRole) {
      connected.push_back({peer.name, peer.address});
    }
  }
  auto change = NextReplicaChange(replicas, connected, settings_.process.name,
                                  TargetVoters());
  if (!change) {
    return;
  }
  if (change->change == raft::replica_change::kSetVoters) {
    std::string names;
    for (const std::string& name : change->voters) {
      names += (names.empty() ? "" : " ") + name;
    }
    base::LogInfo("voters_changing", {{"voters", names}});
  } else {
    base::LogInfo(change->change == raft::replica_change::kRemove
                      ? "replica_removing"
                      : "replica_joining",
                  {{"name", change->name}, {"address", change->address}});
  }
  raft_.Post(std::move(*change));
}

std::size_t daemon::TargetVoters() const {
  return settings_.tolerated_losses > 0
             ? static_cast<std::size_t>(2 * settings_.tolerated_losses + 1)
             : settings_.process.controls.size();
}

}  // namespace wisteriaroute::control
