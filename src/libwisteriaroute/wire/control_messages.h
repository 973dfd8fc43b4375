#ifndef LIBWISTERIAROUTE_WIRE_CONTROL_MESSAGES_H_
#define LIBWISTERIAROUTE_WIRE_CONTROL_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libwisteriaroute/base/event_ring.h"
#include "libwisteriaroute/wire/common.h"

namespace wisteriaroute::wire {

/**
 * kServer: a backend server without an agent, which reports itself. kSidecar: a
 * process beside a rank of a group that the platform forms.
 */
enum class member_role : std::uint8_t { kEntry, kAgent, kServer, kSidecar };

/** What an agent says of its backend server. */
struct backend_info {
  std::string class_name;
  /** A plain service, or empty if the server is a rank of a model group. */
  std::string service;
  std::string group;
  std::uint32_t rank = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t window = 0;
  bool healthy = false;
  std::vector<std::string> models;
  /** Requests that the server runs at once; 0: unknown. */
  std::uint32_t slots = 0;
  /** Version of the server's software. */
  std::string version;

  bool operator==(const backend_info&) const = default;
};

/** An entry or an agent with a session. `backend` is set for agents. */
struct member_info {
  std::string name;
  member_role role = member_role::kEntry;
  std::uint64_t incarnation = 0;
  /** Address on which the member accepts links. */
  std::string address;
  std::string region;
  std::string data_center;
  bool leaving = false;
  backend_info backend;

  bool operator==(const member_info&) const = default;
};

/** Member to control: opens the session, or tells that `info` changed. */
struct session_hello {
  member_info info;
  /** Revision that the member has in force. */
  std::uint64_t revision = 0;

  bool operator==(const session_hello&) const = default;
};

struct session_heartbeat {
  std::uint64_t sequence = 0;
  std::uint64_t revision = 0;
  bool ready = false;

  bool operator==(const session_heartbeat&) const = default;
};

/** Number of an order: (term, log index), compared in this order. */
struct fencing_number {
  std::uint64_t term = 0;
  std::uint64_t index = 0;

  auto operator<=>(const fencing_number&) const = default;
};

/**
 * Control to member: a quorum confirmed the leader after the heartbeat
 * `sequence` came in. The lease runs from the time at which the member sent
 * that heartbeat, and only if the member has `revision` in force.
 */
struct session_ack {
  std::uint64_t sequence = 0;
  /** The lowest fencing number that the member may still accept. */
  fencing_number fencing;
  std::int64_t lease_ms = 0;
  std::uint64_t revision = 0;

  bool operator==(const session_ack&) const = default;
};

/** Member to control: a planned stop; its lease is given back. */
struct session_goodbye {
  bool operator==(const session_goodbye&) const = default;
};

/** Control to anyone: ask this replica instead; empty if none is known. */
struct not_leader {
  std::string leader_name;
  std::string leader_address;

  bool operator==(const not_leader&) const = default;
};

/** A named object; `body` is canonical JSON. */
struct config_object {
  std::string kind;
  std::string name;
  std::string body;

  auto operator<=>(const config_object&) const = default;
};

struct object_name {
  std::string kind;
  std::string name;

  auto operator<=>(const object_name&) const = default;
};

/** Control to member; a snapshot of the whole set if base_revision is 0. */
struct config_update {
  std::uint64_t base_revision = 0;
  std::uint64_t revision = 0;
  std::vector<config_object> changed;
  std::vector<object_name> removed;

  bool operator==(const config_update&) const = default;
};

/** Control to entries. `drained` is always the whole list of names. */
struct member_update {
  bool full = false;
  std::vector<member_info> changed;
  std::vector<std::string> removed;
  std::vector<std::string> drained;

  bool operator==(const member_update&) const = default;
};

enum class quarantine_state : std::uint8_t { kSuspect, kQuarantined };

struct quarantine_entry {
  base::digest128 fingerprint;
  quarantine_state state = quarantine_state::kSuspect;
  std::uint32_t crashes = 0;
  /** The log's time. */
  std::int64_t since_ms = 0;

  bool operator==(const quarantine_entry&) const = default;
};

struct quarantine_update {
  bool full = false;
  std::vector<quarantine_entry> changed;
  std::vector<base::digest128> removed;

  bool operator==(const quarantine_update&) const = default;
};

/** Where a claimed call is to run. */
struct claim_target {
  attempt_id attempt;
  std::string agent;
  std::uint64_t backend_incarnation = 0;
  std::uint64_t window = 0;

  bool operator==(const claim_target&) const = default;
};

/** Entry to control: claim a key before the call is dispatched. */
struct claim_request {
  std::uint64_t correlation = 0;
  std::string workspace;
  base::digest128 key_digest;
  base::digest128 body_digest;
  /** Creation time in the key, Unix ms; 0 if the key carries none. */
  std::int64_t key_created_ms = 0;
  claim_target target;

  bool operator==(const claim_request&) const = default;
};

/** Entry to control: `from_attempt` certainly never runs; use `to`. */
struct claim_move {
  std::uint64_t correlation = 0;
  std::string workspace;
  base::digest128 key_digest;
  attempt_id from_attempt;
  claim_target to;

  bool operator==(const claim_move&) const = default;
};

/** A response that was recorded for a key. */
struct recorded_response {
  outcome ran = outcome::kUnknown;
  std::uint16_t status = 0;
  header_list headers;
  std::string body;
  /** The body was too large to keep, or its retention is over. */
  bool body_dropped = false;

  bool operator==(const recorded_response&) const = default;
};

/**
 * Entry to control: how the claimed call ended. `kNotRun` releases the key:
 * the attempt certainly never runs and no other is wanted.
 */
struct claim_outcome {
  std::uint64_t correlation = 0;
  std::string workspace;
  base::digest128 key_digest;
  attempt_id attempt;
  recorded_response response;

  bool operator==(const claim_outcome&) const = default;
};

enum class claim_result : std::uint8_t {
  /** The claim, move or outcome is committed for this attempt. */
  kGranted,
  /** Another attempt, in `holder`, has the key. */
  kHeld,
  /** The call has ended; see `response`. */
  kRecorded,
  /** The key was used with another body. */
  kBodyMismatch,
  /** The key's own time is past its retention, or too far ahead. */
  kKeyExpired,
  /** The workspace has too many keys without a time. */
  kKeyLimit,
  /** Not decided; nothing is known to be committed. Ask again. */
  kUnavailable,
};

/** Control to entry: answers claim_request, claim_move and claim_outcome. */
struct claim_reply {
  std::uint64_t correlation = 0;
  claim_result result = claim_result::kUnavailable;
  claim_target holder;
  recorded_response response;

  bool operator==(const claim_reply&) const = default;
};

/** Agent to control: the backend server was lost with these running. */
struct suspect_report {
  std::string agent;
  std::uint64_t backend_incarnation = 0;
  std::vector<base::digest128> running;

  bool operator==(const suspect_report&) const = default;
};

/** Entry to control: a suspect ran to its end and is innocent. */
struct suspect_cleared {
  base::digest128 fingerprint;

  bool operator==(const suspect_cleared&) const = default;
};

/** For each layer and rank the experts in its slots, flattened. */
struct expert_map {
  std::uint32_t experts = 0;
  std::uint32_t ranks = 0;
  std::uint32_t layers = 0;
  std::uint32_t slots_per_rank = 0;
  /** Index: (layer * ranks + rank) * slots_per_rank + slot. */
  std::vector<std::uint16_t> slots;

  bool operator==(const expert_map&) const = default;
};

enum class order_kind : std::uint8_t {
  kLoadModel,
  kLoadAdapter,
  kLoadVersion,
  kChangeRole,
  /** Copy what the map of `epoch` needs. */
  kStageMap,
  /** Promise not to pass `step` before the decision on `epoch` is known. */
  kArmMap,
  /** The decision on `epoch`: from `step` on use its map, if `commit`. */
  kDecideMap,
  /** Start from `map` in a new generation. */
  kFormGroup,
};

/** Control to agent; repeated until answered. */
struct order {
  std::uint64_t order_id = 0;
  fencing_number fencing;
  order_kind kind = order_kind::kLoadModel;
  std::string group;
  std::uint64_t generation = 0;
  std::uint64_t epoch = 0;
  std::uint64_t step = 0;
  bool commit = false;
  /** Model, adapter or role. */
  std::string name;
  std::string version;
  expert_map map;

  bool operator==(const order&) const = default;
};

enum class order_status : std::uint8_t {
  kDone,
  /** The rank has passed the step already. */
  kTooLate,
  /** The fencing number is lower than one seen before. */
  kFenced,
  kFailed,
};

struct order_result {
  std::uint64_t order_id = 0;
  fencing_number fencing;
  order_status result = order_status::kFailed;
  /** The rank's step when it answered. */
  std::uint64_t step = 0;
  std::string message;

  bool operator==(const order_result&) const = default;
};

/** Agent to control, once a second for ranks of a group. */
struct group_report {
  std::string group;
  std::uint64_t generation = 0;
  std::uint32_t rank = 0;
  std::uint64_t backend_incarnation = 0;
  std::uint64_t step = 0;
  std::uint64_t map_epoch = 0;
  std::uint64_t staged_epoch = 0;
  std::uint32_t step_time_us = 0;
  /** Per layer and expert since the last report, flattened; may be empty. */
  std::vector<std::uint32_t> expert_tokens;

  bool operator==(const group_report&) const = default;
};

// Requests of operators.

struct publish_request {
  std::uint64_t base_revision = 0;
  std::string operation_id;
  std::vector<config_object> changed;
  std::vector<object_name> removed;
  /**
   * `changed` is the whole set: every other object is removed. A resend then
   * has the same content whatever the newest revision has become.
   */
  bool whole = false;

  bool operator==(const publish_request&) const = default;
};

struct get_config {
  bool operator==(const get_config&) const = default;
};
struct get_status {
  bool operator==(const get_status&) const = default;
};
struct get_history {
  bool operator==(const get_history&) const = default;
};
struct get_groups {
  bool operator==(const get_groups&) const = default;
};
struct get_quarantine {
  bool operator==(const get_quarantine&) const = default;
};
struct get_members {
  bool operator==(const get_members&) const = default;
};

/** Takes a backend server out of rotation, or back in, by its agent's name. */
struct drain_request {
  std::string name;
  bool drained = true;

  bool operator==(const drain_request&) const = default;
};

struct release_quarantine {
  base::digest128 fingerprint;

  bool operator==(const release_quarantine&) const = default;
};

struct add_replica {
  std::string name;
  std::string address;

  bool operator==(const add_replica&) const = default;
};

struct remove_replica {
  std::string name;

  bool operator==(const remove_replica&) const = default;
};

/** Asks for a new expert map of a group now. */
struct rebalance_request {
  std::string group;

  bool operator==(const rebalance_request&) const = default;
};

/** Experts of one rank in one set. */
using expert_list = std::vector<std::uint16_t>;
/** Experts by set and rank. */
using expert_placement = std::vector<std::vector<expert_list>>;

/**
 * Sidecar to its group's coordinator: the state of its rank. Versions and
 * steps: 0 is none.
 */
struct rank_status {
  std::string service;
  std::string group;
  /** The platform's number of this formation of the group. */
  std::uint64_t formation = 0;
  std::uint32_t rank = 0;
  std::uint32_t ranks = 0;
  /** Whether the group runs. */
  bool open = false;
  /** The last step that was begun. */
  std::uint64_t step = 0;
  std::uint64_t map_version = 0;
  std::uint64_t prepared_version = 0;
  std::uint64_t armed_version = 0;
  std::uint64_t armed_step = 0;
  std::uint64_t held_step = 0;
  /** In the last window of counts, by set and expert; may be empty. */
  std::vector<std::uint32_t> expert_tokens;
  /** Of this rank by set, in the map in use; empty: as told before. */
  std::vector<expert_list> experts;
  /** The highest term of a coordinator that the sidecar has heard. */
  std::uint64_t term = 0;
  /** `IP:port` of the rank's server. */
  std::string server;

  bool operator==(const rank_status&) const = default;
};

enum class rank_order_kind : std::uint8_t {
  /** Refuse orders of older terms from now on. For the sidecar itself. */
  kFence,
  /** Copy what the map needs. */
  kPrepare,
  /** Switch to the prepared map as the step begins. */
  kArm,
  /** Take an arm back that can't be completed. */
  kDisarm,
  /** The group doesn't begin the step until it is released at this rank. */
  kHold,
  kRelease,
};

/**
 * Coordinator to the sidecar of a rank. Repeated until the status shows that it
 * was done.
 */
struct rank_order {
  rank_order_kind kind = rank_order_kind::kPrepare;
  /** Of the coordinator's grant; orders of older ones are refused. */
  std::uint64_t term = 0;
  std::uint64_t formation = 0;
  std::uint64_t version = 0;
  std::uint64_t step = 0;
  expert_placement placement;

  bool operator==(const rank_order&) const = default;
};

/** Sidecar to control: its rank is there. Repeated every few seconds. */
struct rank_presence {
  std::string service;
  std::string group;
  std::uint32_t rank = 0;
  std::uint32_t ranks = 0;
  /** The highest term of a coordinator that the sidecar has heard. */
  std::uint64_t term = 0;
  /** Whether it reached that coordinator lately. */
  bool served = false;

  bool operator==(const rank_presence&) const = default;
};

/** What the placement of a group's experts has to fit. */
struct spread_shape {
  std::uint32_t sets = 0;
  std::uint32_t experts = 0;
  /** Experts that a rank holds at most in a set. */
  std::uint32_t slots = 0;
  /** Experts of a set that a rank may receive in one change. */
  std::uint32_t spare_slots = 0;
  /** Time to copy one expert to a rank. */
  std::uint64_t copy_us = 0;

  bool operator==(const spread_shape&) const = default;
};

/** Control to the sidecars of a group: who coordinates it. */
struct coordinator_grant {
  std::string group;
  /** Grows with each grant; 0: nobody does. */
  std::uint64_t term = 0;
  std::string name;
  /** Link address. */
  std::string address;
  /** Run of that process: a later one doesn't have the part. */
  std::uint64_t incarnation = 0;
  /** Nothing while no configuration tells it. */
  std::optional<spread_shape> shape;

  bool operator==(const coordinator_grant&) const = default;
};

/**
 * A whole configuration in the operator's format. The highest version wins; an
 * older one or the one in force is acknowledged and changes nothing.
 */
struct publish_document {
  std::uint64_t version = 0;
  std::string body;

  bool operator==(const publish_document&) const = default;
};

struct get_document {
  bool operator==(const get_document&) const = default;
};

/** A backend server without an agent says that it is there, or leaves. */
struct report_server {
  member_info info;
  /** Increases within one incarnation. */
  std::uint64_t sequence = 0;
  bool gone = false;

  bool operator==(const report_server&) const = default;
};

using admin_call = std::variant<publish_request,
                                get_config,
                                get_status,
                                get_history,
                                drain_request,
                                get_groups,
                                get_quarantine,
                                release_quarantine,
                                get_members,
                                add_replica,
                                remove_replica,
                                base::timeline_filter,
                                rebalance_request,
                                publish_document,
                                get_document,
                                report_server>;

struct admin_request {
  std::uint64_t correlation = 0;
  admin_call call;
};

enum class admin_result : std::uint8_t {
  kOk,
  /** Refused for a reason that stays; `code` says which. */
  kRefused,
  kNotLeader,
  /** Not decided; the same request may be sent again. */
  kUnavailable,
};

struct admin_reply {
  std::uint64_t correlation = 0;
  admin_result result = admin_result::kUnavailable;
  /** For instance `stale_base`, `operation_reused`, `invalid_config`. */
  std::string code;
  std::string message;
  /** Answer of a reading request, as JSON. */
  std::string json;
  std::vector<base::timeline_event> events;
};

using control_message = std::variant<session_hello,
                                     session_heartbeat,
                                     session_ack,
                                     session_goodbye,
                                     not_leader,
                                     config_update,
                                     member_update,
                                     quarantine_update,
                                     claim_request,
                                     claim_move,
                                     claim_outcome,
                                     claim_reply,
                                     suspect_report,
                                     suspect_cleared,
                                     order,
                                     order_result,
                                     group_report,
                                     admin_request,
                                     admin_reply,
                                     rank_status,
                                     rank_order,
                                     rank_presence,
                                     coordinator_grant>;

/** Encodes for a link. */
std::string Encode(const control_message& message);

/** Throws malformed_message. */
control_message DecodeControl(std::string_view bytes);

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_CONTROL_MESSAGES_H_
