#ifndef CONTROL_DAEMON_H_
#define CONTROL_DAEMON_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "control/raft_runner.h"
#include "libwisteriaroute/base/event_ring.h"
#include "libwisteriaroute/base/hlc.h"
#include "libwisteriaroute/base/metrics.h"
#include "libwisteriaroute/control/http_api.h"
#include "libwisteriaroute/control/replica.h"
#include "libwisteriaroute/control/replica_membership.h"
#include "libwisteriaroute/control/settings.h"
#include "libwisteriaroute/control/snapshot_schedule.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/net/metrics_server.h"
#include "libwisteriaroute/net/settings_reload.h"
#include "protocol/protocol.h"

namespace wisteriaroute::control {

/** Role by which control replicas identify themselves on links. */
inline constexpr std::string_view kControlRole = "control";

/**
 * A control replica. Runs links, the replicated log and the reducer of the
 * replicated state on one event loop.
 */
class daemon {
 public:
  /** Opens the data directory. Throws if it is damaged or in use. */
  daemon(net::loop& event_loop, control_settings settings);

  /** Starts listening, connects to the other replicas and starts Raft. */
  void Start();

  /**
   * Transfers the leadership if this replica is the leader, then stops the
   * loop. Waits at most 2 s for the transfer.
   */
  void Shutdown();

  /** The error that stopped the loop; empty after a normal shutdown. */
  const std::string& failure() const { return failure_; }

 private:
  // Links.
  void HandleUp(net::link_id link, const net::peer_identity& peer);
  void HandleMessage(net::link_id link, std::string_view body);
  void HandleDown(net::link_id link);
  void DialReplicas(const wire::replica_list& replicas);
  /** The replicas in the settings. */
  wire::replica_list ConfiguredReplicas() const;
  void SendToReplica(const std::string& name, std::string body);

  // The replicated log.
  void HandleRaftEffect(raft::effect effect);
  void ApplyEntries(std::vector<wire::log_entry> entries);
  void HandleRoleChange(const raft::role_changed& change);
  void HandleProposalResult(const raft::proposal_result& result);
  void MakeSnapshotIfDue();

  // The reducer of the replicated state.
  void Post(replica_event event);
  /**
   * Handles queued events. If applying log entries takes longer than a time
   * slice, the rest is handled after other work of the loop.
   */
  void RunEvents();
  bool HandleEvent(const replica_event& event);
  void LogReplay();
  void Run(const replica_effect& effect);
  void Propose(std::uint64_t proposal_id, std::string payload);
  void ChangeReplicas(const change_replica& change);
  void AnswerTimeline(const answer_timeline& request);
  void RecordEvent(base::timeline_event event);
  void ReportReplicas();
  /**
   * Proposes the next change of the replica set, if one is due: adds a
   * connected replica, or removes a silent one while enough voters are live.
   */
  void ProposeReplicaChange(std::span<const replica_view> replicas);
  /** Number of live voters that the losses to be borne require. */
  std::size_t TargetVoters() const;
  /** Whether the vote of this replica is still to be passed on. */
  bool AwaitsReplacement() const;
  /** While stopping: whether the process may end now. */
  bool MayStop();

  // HTTP calls.
  void StartHttp();
  void HandleCall(net::exchange_id exchange,
                  const net::http_server_request& request);
  /** Decodes the next of the large calls. */
  void HandleLargeCall();
  void DecodeCall(net::exchange_id exchange,
                  const net::http_server_request& request);
  void AnswerCall(const wire::admin_reply& reply);

  net::restart_list Reload(std::string_view text, base::findings& out);
  std::string RenderMetrics();
  void ReportEvacuations();
  void Fail(const std::string& reason);
  /**
   * Transfers the leadership to the connected voter with the longest log.
   * Returns true when the process can stop: this replica is not the leader, no
   * other voter is connected, or the time limit has passed.
   */
  bool TransferLeadership();

  net::loop& event_loop_;
  control_settings settings_;
  std::uint64_t incarnation_;
  base::hybrid_clock clock_;
  base::event_ring timeline_;
  net::link_hub hub_;
  raft_runner raft_;
  replica_state state_;
  protocol::any_protocol protocol_;
  std::optional<net::settings_reload> reload_;
  base::metrics metrics_;
  /** Data centres that have a gauge. */
  std::set<std::string, std::less<>> reported_data_centers_;
  net::metrics_server metrics_server_;
  std::optional<net::http_server> http_;
  /** An HTTP call that has not been answered. */
  struct pending_call {
    /** Path and query, for redirects to the leader. */
    std::string target;
    /** Whether the answer is the published document. */
    bool returns_document = false;
  };

  std::map<net::exchange_id, pending_call> calls_;
  /** Calls with a large body that wait to be decoded. */
  std::deque<std::pair<net::exchange_id, net::http_server_request>>
      large_calls_;
  net::timer large_call_timer_;
  net::timer tick_;
  static constexpr base::time_us kReportPeriodUs = 250'000;
  net::timer report_timer_;
  silence_clock silence_;
  net::timer shutdown_timer_;
  std::map<net::link_id, net::peer_identity> peers_;
  /** Links to the other replicas by name, the newest link last. */
  std::multimap<std::string, net::link_id> replica_links_;
  std::map<std::string, net::dial_id> dials_by_address_;
  std::deque<replica_event> events_;
  bool handling_events_ = false;
  /** Resumes RunEvents after other work of the loop. */
  net::timer resume_timer_;
  bool resuming_ = false;
  /** Log entries applied since the event queue was last empty. */
  struct replay {
    base::time_us started_us = 0;
    std::uint64_t entries = 0;
    std::uint64_t bytes = 0;
  };
  replay replay_;
  log_growth log_growth_;
  base::time_us shutdown_deadline_us_ = 0;
  std::uint64_t malformed_messages_ = 0;
  std::string failure_;
};

}  // namespace wisteriaroute::control

#endif  // CONTROL_DAEMON_H_
