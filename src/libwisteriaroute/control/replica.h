#ifndef LIBWISTERIAROUTE_CONTROL_REPLICA_H_
#define LIBWISTERIAROUTE_CONTROL_REPLICA_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/base/event_ring.h"
#include "libwisteriaroute/base/finding.h"
#include "libwisteriaroute/config/object_set.h"
#include "libwisteriaroute/config/traffic_set.h"
#include "libwisteriaroute/control/control_state.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/policy/expert_load.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::control {

/** Length of a member's lease, from the time it sent its heartbeat. */
inline constexpr base::time_ms kLeaseMs = 2'500;
/**
 * A server that sends no report for this long is removed. The time is long
 * because entries detect dead servers themselves, and a server that has only
 * lost its connection to control may still serve requests.
 */
inline constexpr base::time_us kServerTimeoutUs = 30'000'000;
/** The session of a sidecar expires after this long without a heartbeat. */
inline constexpr base::time_us kSidecarTimeoutUs = 8'000'000;
/**
 * Time after which the leader regards a lease as expired: kLeaseMs plus 10%
 * for differences in clock rate.
 */
inline constexpr base::time_us kLeaseBoundUs = 2'750'000;

/**
 * Pseudo link of the HTTP server. Its requests are already decoded and
 * validated, and their correlation is the id of the HTTP exchange.
 */
inline constexpr net::link_id kHttpLink =
    std::numeric_limits<net::link_id>::max();

/** Engine shapes, keyed by service name. */
using engine_shapes = std::map<std::string, config::engine_shape, std::less<>>;

/** Parses and validates a published document. Never throws. */
using traffic_decoder =
    std::function<std::optional<config::traffic_set>(std::string_view document,
                                                     base::findings& out)>;

/**
 * Returns the engine shapes of the document's services. Services without an
 * engine or without expert sets are omitted. Empty if the document is invalid.
 */
engine_shapes ReadShapes(const traffic_decoder& decode,
                         std::string_view document);

struct replica_options {
  /** Random id of this run of the process. */
  std::uint64_t incarnation = 0;
  /**
   * Limit of uncommitted proposals. Claim requests above it are answered with
   * kUnavailable.
   */
  std::size_t max_pending_proposals = 20'000;
  /**
   * Minimum time between two quorum rounds that confirm the leader. One round
   * answers all heartbeats and reads that were queued when it began.
   */
  base::time_us confirm_interval_us = 40'000;
  base::time_us order_retry_us = 200'000;
  /** Data centres that may be evacuated; empty: any. */
  std::set<std::string, std::less<>> data_centers;
  base::time_us clock_tick_us = 10'000'000;
  /** Interval at which the expert map of a group is re-evaluated. */
  base::time_us map_period_us = 30'000'000;
  /** If empty, documents aren't validated and no engine shapes are known. */
  traffic_decoder decode_traffic;
};

/** A run of a server that seems to have begun before the known one: a late
 * report, or the time of day has jumped back on its host. */
struct earlier_run {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  base::time_us first_report_us = 0;
};

/** The leader's view of one member. */
struct member_session {
  /** 0 while the member has no link; its lease may still be valid. */
  net::link_id link = 0;
  wire::member_info info;
  /** Highest revision that the member has reported as applied. */
  std::uint64_t revision = 0;
  bool ready = false;
  base::time_us last_message_us = 0;
  /** The lease has certainly expired by then, including clock rate error. */
  base::time_us lease_until_us = 0;
  /** Revision that the member reaches with the updates sent on this link. */
  std::uint64_t sent_revision = 0;
  base::time_us config_sent_us = 0;
  /** Role kServer only: highest report sequence number of its incarnation. */
  std::uint64_t report_sequence = 0;
  /** Role kServer only: the incarnation as the server reports it. That in
   * `info` is higher than those of all earlier runs. */
  std::uint64_t reported_incarnation = 0;
  /** Role kServer only: not current, but it may turn out to be. */
  earlier_run earlier;
  /** Role kServer only: an entry has reported that this incarnation has
   * crashed; 0: none. */
  std::uint64_t crashed_incarnation = 0;
  /** Role kServer only: until when it is cold; nothing if it hasn't said. It
   * isn't in `info`, because the time left changes with each report. */
  std::optional<base::time_us> cold_until_us;
};

/** An unexpired lease of an earlier incarnation of a member. */
struct old_lease {
  std::uint64_t revision = 0;
  base::time_us until_us = 0;
};

// Callers that wait for the result of a proposal.

struct pending_claim {
  net::link_id link = 0;
  std::uint64_t correlation = 0;
};
struct pending_admin {
  net::link_id link = 0;
  std::uint64_t correlation = 0;
};
struct pending_group {
  std::string group;
};
using pending_proposal =
    std::variant<std::monostate, pending_claim, pending_admin, pending_group>;

struct waiting_heartbeat {
  net::link_id link = 0;
  std::uint64_t sequence = 0;
  base::time_us arrived_us = 0;
};
struct waiting_read {
  net::link_id link = 0;
  std::uint64_t correlation = 0;
  wire::admin_call call;
};

/**
 * Heartbeats and reads that the same quorum round answers. They must have
 * arrived before the round begins.
 */
struct confirm_batch {
  std::vector<waiting_heartbeat> heartbeats;
  std::vector<waiting_read> reads;
};

/** The latest report of a rank. */
struct rank_report {
  std::uint64_t incarnation = 0;
  std::uint64_t generation = 0;
  std::uint64_t step = 0;
  std::uint64_t map_epoch = 0;
  std::uint32_t step_time_us = 0;
};

/** The leader's progress of one group in its current phase. */
struct group_progress {
  /** Order index of the phase that `done_ranks` refers to. */
  std::uint64_t order_index = 0;
  /** Ranks that have carried out the order of the phase. */
  std::set<std::uint32_t> done_ranks;
  /** Uncommitted proposal that begins the next phase; 0: none. */
  std::uint64_t proposal_id = 0;
  /** Earliest time to send the order again. */
  base::time_us next_send_us = 0;
  /** A rank refused the arm order because it has passed the step. */
  bool too_late = false;
  /** A rank failed to carry out the order. */
  bool failed = false;
  /** Highest step that any rank reported in this generation. */
  std::uint64_t highest_step = 0;
  /** Steps between `highest_step` and the step that a map is armed for. */
  std::uint64_t margin_steps = 0;
  std::map<std::uint32_t, rank_report> reports;
  /** Tokens per layer and expert since the map was last evaluated. */
  std::vector<std::uint64_t> tokens;
  policy::expert_load load;
  /** Time of the next evaluation of the map. */
  base::time_us next_plan_us = 0;
  /** Earliest time to form the group again after a rank failed. */
  base::time_us next_form_us = 0;
  /** Map to change to when the current change has ended. */
  std::optional<wire::expert_map> next_map;
};

/** A replica of the log, as the raft layer reports it. */
struct replica_view {
  std::string name;
  std::string address;
  /** Id of its data directory; changes if it restarts with an empty one. */
  std::uint64_t identity = 0;
  bool voter = false;
  /** It has two votes. */
  bool casting_vote = false;
  bool leader = false;
  /** Leader only: highest log index known to be synced on the replica. */
  std::uint64_t match_index = 0;
  /** Leader only: time since the last message from the replica, or since the
   * election if there was none. */
  base::time_ms silent_ms = 0;
  /** Leader only: false if there was no message since the election. */
  bool answered = true;
  /** Leader only: time since its first message to this leader. */
  base::time_ms known_ms = 0;
  /** Leader only: it may become a voter at once. */
  bool caught_up = false;
  /** Leader only: its process has said that it is about to stop. */
  bool leaving = false;
};

/** A rank of a group that the platform forms, as reported by its sidecar. */
struct platform_rank {
  /** Name and link address of the sidecar. */
  std::string member;
  std::string address;
  /** Incarnation of the sidecar process. */
  std::uint64_t incarnation = 0;
  /** 0 while it has no link. */
  net::link_id link = 0;
  base::time_us link_changed_us = 0;
  base::time_us last_message_us = 0;
  wire::rank_presence last_presence;
};

/** A group that the platform forms. */
struct platform_group {
  std::string service;
  /** Number of ranks in a complete group. */
  std::uint32_t rank_count = 0;
  std::map<std::uint32_t, platform_rank> ranks;
  /** Time of the last proposed grant; 0: none in this leader term. */
  base::time_us last_grant_us = 0;
};

/** Volatile state of the leader; discarded when it loses leadership. */
struct leader_state {
  std::uint64_t term = 0;
  base::time_us elected_us = 0;
  std::map<std::string, member_session, std::less<>> sessions;
  std::map<net::link_id, std::string> session_links;
  std::vector<old_lease> old_leases;
  std::map<std::uint64_t, pending_proposal> proposals;
  /** Queued for the next quorum round. */
  confirm_batch next_batch;
  /** Id of the quorum round in progress; 0: none. */
  std::uint64_t confirm_id = 0;
  /** Answered by the quorum round in progress. */
  confirm_batch current_batch;
  base::time_us next_confirm_us = 0;
  base::time_us next_clock_tick_us = 0;
  std::set<std::string> changed_members;
  std::set<std::string> removed_members;
  bool drained_changed = false;
  /** An entry has opened or lost its session since the list was last sent. */
  bool entries_changed = false;
  /** Earliest time to send the list of entries again. */
  base::time_us next_entries_us = 0;
  /**
   * Set when the members of an earlier leader have had time to reconnect and
   * the full member list was sent to the entries.
   */
  bool full_list_sent = false;
  std::map<std::string, group_progress, std::less<>> groups;
  /** Groups that the platform forms, by name. */
  std::map<std::string, platform_group, std::less<>> platform_groups;
  /** The newest configuration, parsed. */
  std::optional<config::object_set> config;
  std::optional<engine_shapes> shapes;
};

/** State of a control replica above the log. Changed only by Step. */
struct replica_state {
  replica_options options;
  /** The replicated state as of `applied_index`. */
  control_state durable;
  std::uint64_t applied_index = 0;
  std::uint64_t next_id = 1;
  /** Set while this replica is the leader. */
  std::optional<leader_state> leadership;
  /** This replica; sent to members that wait for a leader. */
  std::string self_name;
  std::string self_address;
  /** The known leader; empty if there is none. */
  std::string leader_name;
  std::string leader_address;
  /** Links of entries that are notified when the next leader is known. */
  std::set<net::link_id> entries_awaiting_leader;
  std::vector<replica_view> replicas;
};

/** Time of an event: on the monotonic clock, and as Unix time for the log. */
struct step_time {
  base::time_us now_us = 0;
  base::time_ms wall_ms = 0;
};

// Events.

/** This replica was elected in `term` and has applied all earlier commits. */
struct became_leader {
  std::uint64_t term = 0;
};
/** This replica isn't the leader. The name is empty if no leader is known. */
struct became_follower {
  std::string leader_name;
  std::string leader_address;
};
/** A log entry was committed. Step throws malformed_message on bad payload. */
struct entry_committed {
  std::uint64_t index = 0;
  std::string payload;
};
/** A snapshot of the state at `index` was received or loaded. */
struct state_installed {
  std::uint64_t index = 0;
  std::string payload;
};
/** A proposal failed, or it is unknown whether it will be committed. */
struct proposal_failed {
  std::uint64_t proposal_id = 0;
  std::string reason;
  /** The proposal wasn't committed, and a retry would fail as well. */
  bool permanent = false;
};
/** A change of the replica set was committed. */
struct replica_change_done {
  std::uint64_t proposal_id = 0;
};
/** Result of confirm_leader. */
struct leader_confirmed {
  std::uint64_t confirm_id = 0;
  bool confirmed = false;
};
struct link_closed {
  net::link_id link = 0;
};
struct link_received {
  net::link_id link = 0;
  wire::control_message message;
};
/** Requests a change of a group to this expert map. */
struct map_change_requested {
  std::string group;
  wire::expert_map map;
};
struct replicas_updated {
  std::vector<replica_view> replicas;
};
/** Periodic timer event, every kReplicaTickUs. */
struct replica_tick {};

inline constexpr base::time_us kReplicaTickUs = 50'000;

using replica_event = std::variant<became_leader,
                                   became_follower,
                                   entry_committed,
                                   state_installed,
                                   proposal_failed,
                                   replica_change_done,
                                   leader_confirmed,
                                   link_closed,
                                   link_received,
                                   map_change_requested,
                                   replicas_updated,
                                   replica_tick>;

// Effects.

/** Sends one message to several links; it is encoded once. */
struct send_to_links {
  std::vector<net::link_id> links;
  wire::control_message message;
};
/** Proposes a log entry; followed by entry_committed or proposal_failed. */
struct propose_command {
  std::uint64_t proposal_id = 0;
  std::string payload;
};
/** Starts a quorum round; followed by leader_confirmed. */
struct confirm_leader {
  std::uint64_t confirm_id = 0;
};
/** Changes the replica set; followed by replica_change_done on success. */
struct change_replica {
  std::uint64_t proposal_id = 0;
  std::variant<wire::add_replica, wire::remove_replica> change;
};
/** The daemon answers from its event ring; possible on every replica. */
struct answer_timeline {
  net::link_id link = 0;
  std::uint64_t correlation = 0;
  base::timeline_filter filter;
};
/** Records a state change in the event timeline and the process log. */
struct record_event {
  base::timeline_event event;
};

using replica_effect = std::variant<send_to_links,
                                    propose_command,
                                    confirm_leader,
                                    change_replica,
                                    answer_timeline,
                                    record_event>;
using replica_effects = std::vector<replica_effect>;

/**
 * Handles one event and returns the effects for the caller to carry out. Throws
 * malformed_message only for entry_committed and state_installed.
 */
replica_effects Step(replica_state& state,
                     const replica_event& event,
                     const step_time& now);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_REPLICA_H_
