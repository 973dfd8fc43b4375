#include <utility>

#include "control/daemon.h"
#include "libwisteriaroute/base/log.h"

namespace wisteriaroute::control {

// The part of the daemon that handles effects of the replicated log.

void daemon::HandleRaftEffect(raft::effect effect) {
  struct visitor {
    daemon& self;

    // raft_runner passes these to the log writer.
    void operator()(const raft::persist&) const {}
    void operator()(const raft::send_message& send) const {
      self.SendToReplica(send.to, wire::Encode(send.message));
    }
    void operator()(raft::apply_entries& apply) const {
      self.ApplyEntries(std::move(apply.entries));
    }
    void operator()(const raft::install_snapshot& snapshot) const {
      self.Post(state_installed{snapshot.index, *snapshot.data});
      self.log_growth_ = {.snapshot_bytes = snapshot.data->size()};
      base::LogInfo("snapshot_installed", {{"index", snapshot.index}});
    }
    void operator()(const raft::proposal_result& result) const {
      self.HandleProposalResult(result);
    }
    void operator()(const raft::read_confirmed& read) const {
      self.Post(leader_confirmed{read.read_id, true});
    }
    void operator()(const raft::read_failed& read) const {
      self.Post(leader_confirmed{read.read_id, false});
    }
    void operator()(const raft::role_changed& change) const {
      self.HandleRoleChange(change);
    }
    void operator()(const raft::replicas_changed& change) const {
      self.DialReplicas(change.replicas);
      base::LogInfo("replicas_changed",
                    {{"count", std::uint64_t{change.replicas.size()}}});
    }
  };
  std::visit(visitor{*this}, effect);
}

void daemon::ApplyEntries(std::vector<wire::log_entry> entries) {
  for (wire::log_entry& entry : entries) {
    if (entry.kind == wire::entry_kind::kCommand) {
      events_.emplace_back(
          entry_committed{entry.index, std::move(entry.payload)});
    }
  }
  RunEvents();
}

void daemon::MakeSnapshotIfDue() {
  if (!IsSnapshotDue(log_growth_,
                     static_cast<std::uint64_t>(settings_.snapshot_entries))) {
    return;
  }
  auto data = std::make_shared<const std::string>(EncodeState(state_.durable));
  log_growth_ = {.snapshot_bytes = data->size()};
  // Uses the reducer's index: entries in the queue are not applied yet.
  raft_.Post(raft::snapshot_made{state_.applied_index, std::move(data)});
}

void daemon::HandleRoleChange(const raft::role_changed& change) {
  if (change.new_role == raft::role::kLeader) {
    Post(became_leader{change.term});
    return;
  }
  if (change.leader_name != state_.leader_name && !change.leader_name.empty()) {
    base::LogInfo("leader_known",
                  {{"leader", change.leader_name}, {"term", change.term}});
  }
  Post(became_follower{change.leader_name, change.leader_address});
}

void daemon::HandleProposalResult(const raft::proposal_result& result) {
  switch (result.status) {
    case raft::proposal_status::kCommitted:
      // Commands are answered when their entries are applied; only a change of
      // the replica set waits for this result.
      Post(replica_change_done{result.proposal_id});
      break;
    case raft::proposal_status::kDropped:
      Post(
          proposal_failed{result.proposal_id, result.reason, result.permanent});
      break;
    case raft::proposal_status::kUnknown:
      Post(proposal_failed{result.proposal_id, "the leader changed"});
      break;
  }
}

}  // namespace wisteriaroute::control
