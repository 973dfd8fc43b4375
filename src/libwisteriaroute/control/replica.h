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
 * A reporting server that is silent for this long is dropped. Entries notice
 * dead servers themselves, and a server that is only cut off from control can
 * still be of use.
 */
inline constexpr base::time_us kServerSilenceUs = 30'000'000;
/** A sidecar without a heartbeat for this long has lost its session. */
inline constexpr base::time_us kSidecarSilenceUs = 8'000'000;
/** The lease on the leader's clock: 10% more, for different clock rates. */
inline constexpr base::time_us kLeaseBoundUs = 2'750'000;

/**
 * Stands among the links for the HTTP server, whose calls were decoded and
 * checked; the correlation of its requests is the exchange.
 */
inline constexpr net::link_id kHttpLink =
    std::numeric_limits<net::link_id>::max();

/** Engine shapes by service. */
using engine_shapes = std::map<std::string, config::engine_shape, std::less<>>;

/** Reads a published document and checks it as a whole. Never throws. */
using traffic_decoder =
    std::function<std::optional<config::traffic_set>(std::string_view document,
                                                     base::findings& out)>;

/** Shapes of a document's services; those that it can't tell are left out. */
engine_shapes ReadShapes(const traffic_decoder& decode,
                         std::string_view document);

struct replica_options {
  /** Random number of this run. */
  std::uint64_t incarnation = 0;
  /** Proposals that may wait for the log; more are answered kUnavailable. */
  std::size_t max_pending_proposals = 20'000;
  /**
   * Shortest time between two quorum rounds for heartbeats and reads: one round
   * answers all that waited for it.
   */
  base::time_us confirm_interval_us = 40'000;
  base::time_us order_retry_us = 200'000;
  base::time_us clock_tick_us = 10'000'000;
  /** Time between two looks at the expert map of a group. */
  base::time_us map_period_us = 30'000'000;
  /** Empty: documents aren't checked and tell nothing of engines. */
  traffic_decoder decode_traffic;
};

/** The leader's view of one member. */
struct member_session {
  /** 0 while the member has no link; its lease may still run. */
  net::link_id link = 0;
  wire::member_info info;
  /** Revision that the member has in force. */
  std::uint64_t revision = 0;
  bool ready = false;
  base::time_us heard_us = 0;
  /** The member's lease has ended at this time, whatever its clock's rate. */
  base::time_us lease_until_us = 0;
  /** Revision that the updates on this link lead to. */
  std::uint64_t sent_revision = 0;
  base::time_us config_sent_us = 0;
  /** Of a kServer: the highest sequence number of its incarnation. */
  std::uint64_t report_sequence = 0;
};

/** A lease of an earlier run of a member with the same name. */
struct old_lease {
  std::uint64_t revision = 0;
  base::time_us until_us = 0;
};

/** Who waits for a proposal. */
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

/** What waits for a quorum round that begins after its arrival. */
struct confirm_batch {
  std::vector<waiting_heartbeat> heartbeats;
  std::vector<waiting_read> reads;
};

/** The last report of a rank. */
struct rank_report {
  std::uint64_t incarnation = 0;
  std::uint64_t generation = 0;
  std::uint64_t step = 0;
  std::uint64_t map_epoch = 0;
  std::uint32_t step_time_us = 0;
};

/** The leader's progress in the phase of one group. */
struct group_drive {
  /** The phase that `done` belongs to. */
  std::uint64_t order_index = 0;
  std::set<std::uint32_t> done;
  /** A command for the next phase is in the log or on its way; 0: none. */
  std::uint64_t proposal_id = 0;
  base::time_us next_send_us = 0;
  bool too_late = false;
  bool failed = false;
  /** Highest step known of any rank in this generation. */
  std::uint64_t highest_step = 0;
  std::uint64_t margin_steps = 0;
  std::map<std::uint32_t, rank_report> reports;
  /** Tokens per layer and expert since the last decision on the map. */
  std::vector<std::uint64_t> tokens;
  policy::expert_load load;
  base::time_us next_plan_us = 0;
  /** Earliest time of the next attempt to form the group. */
  base::time_us next_form_us = 0;
  std::optional<wire::expert_map> wanted;
};

/** A replica of the log, for the status. */
struct replica_view {
  std::string name;
  std::string address;
  /** Of its data directory; another one was empty when it joined. */
  std::uint64_t identity = 0;
  bool voter = false;
  bool leader = false;
  /** On the leader: the highest index that is known to be synced there. */
  std::uint64_t match_index = 0;
  /** On the leader: time since the replica was heard of. */
  base::time_ms silent_ms = 0;
};

/** A rank of a group that the platform forms, as its sidecar tells it. */
struct present_rank {
  /** Name and link address of the sidecar. */
  std::string member;
  std::string address;
  /** Run of the sidecar. */
  std::uint64_t incarnation = 0;
  /** 0 while it has no link. */
  net::link_id link = 0;
  base::time_us link_changed_us = 0;
  base::time_us heard_us = 0;
  wire::rank_presence said;
};

struct present_group {
  std::string service;
  /** Ranks that the group has. */
  std::uint32_t size = 0;
  std::map<std::uint32_t, present_rank> ranks;
  /** When the last grant was proposed; 0: never in this term. */
  base::time_us granted_us = 0;
};

/** What a leader keeps of its term; lost with the leadership. */
struct leader_view {
  std::uint64_t term = 0;
  base::time_us elected_us = 0;
  std::map<std::string, member_session, std::less<>> sessions;
  std::map<net::link_id, std::string> session_links;
  std::vector<old_lease> old_leases;
  std::map<std::uint64_t, pending_proposal> proposals;
  confirm_batch waiting;
  /** The round in progress and what it answers; 0: none. */
  std::uint64_t confirm_id = 0;
  confirm_batch confirming;
  base::time_us next_confirm_us = 0;
  base::time_us next_clock_tick_us = 0;
  std::set<std::string> changed_members;
  std::set<std::string> removed_members;
  bool drained_changed = false;
  /** The full list of members was sent after the sessions had come back. */
  bool settled = false;
  std::map<std::string, group_drive, std::less<>> groups;
  /** Groups that the platform forms, by name. */
  std::map<std::string, present_group, std::less<>> platform_groups;
  /** The newest configuration, parsed. */
  std::optional<config::object_set> config;
  std::optional<engine_shapes> shapes;
};

/** A control replica above the log. Changed only by Step. */
struct replica_state {
  replica_options options;
  control_state durable;
  std::uint64_t applied_index = 0;
  std::uint64_t next_id = 1;
  /** Set while this replica leads. */
  std::optional<leader_view> leading;
  /** This replica's own, for members that wait for a leader. */
  std::string self_name;
  std::string self_address;
  std::string leader_name;
  std::string leader_address;
  /** Entries that came while no leader was known; they are told of the next. */
  std::set<net::link_id> unserved_entries;
  std::vector<replica_view> replicas;
};

/** Times of an event: the monotonic clock, and Unix time for the log. */
struct step_time {
  base::time_us now_us = 0;
  base::time_ms wall_ms = 0;
};

// Events.

/** This replica was elected in `term` and holds all that is committed. */
struct became_leader {
  std::uint64_t term = 0;
};
/** This replica doesn't lead; the name is empty if no leader is known. */
struct became_follower {
  std::string leader_name;
  std::string leader_address;
};
/** A command entry was committed. Throws malformed_message in Step. */
struct entry_committed {
  std::uint64_t index = 0;
  std::string payload;
};
/** The state as of `index` came as a snapshot. */
struct state_installed {
  std::uint64_t index = 0;
  std::string payload;
};
/** A proposal won't be committed, or it isn't known whether it will be. */
struct proposal_failed {
  std::uint64_t proposal_id = 0;
  std::string reason;
  /** It certainly wasn't committed, and a repetition would fail, too. */
  bool permanent = false;
};
/** A change of the replica set was committed. */
struct replica_change_done {
  std::uint64_t proposal_id = 0;
};
/** Answers confirm_leader. */
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
/** The policy wants this map for a group. */
struct map_wanted {
  std::string group;
  wire::expert_map map;
};
struct replicas_seen {
  std::vector<replica_view> replicas;
};
/** Due every kReplicaTickUs. */
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
                                   map_wanted,
                                   replicas_seen,
                                   replica_tick>;

// Effects.

/** One message to several links, encoded once. */
struct send_to_links {
  std::vector<net::link_id> links;
  wire::control_message message;
};
/** Answered by entry_committed or proposal_failed. */
struct propose_command {
  std::uint64_t proposal_id = 0;
  std::string payload;
};
/** Answered by leader_confirmed. */
struct confirm_leader {
  std::uint64_t confirm_id = 0;
};
struct change_replica {
  std::uint64_t proposal_id = 0;
  std::variant<wire::add_replica, wire::remove_replica> change;
};
/** Answered by the daemon from its ring; any replica may be asked. */
struct answer_timeline {
  net::link_id link = 0;
  std::uint64_t correlation = 0;
  base::timeline_filter filter;
};
/** A change of state for the time line and the log. */
struct note_event {
  base::timeline_event event;
};

using replica_effect = std::variant<send_to_links,
                                    propose_command,
                                    confirm_leader,
                                    change_replica,
                                    answer_timeline,
                                    note_event>;
using replica_effects = std::vector<replica_effect>;

/** One step. Throws malformed_message only for entries and snapshots. */
replica_effects Step(replica_state& state,
                     const replica_event& event,
                     const step_time& now);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_REPLICA_H_
