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
#include "libwisteriaroute/wire/crash_messages.h"
#include "libwisteriaroute/wire/evacuation_messages.h"
#include "libwisteriaroute/wire/rank_messages.h"

namespace wisteriaroute::wire {

/**
 * kServer: a backend server without an agent, which reports itself. kSidecar:
 * the process that runs next to a rank of a group that the platform forms.
 */
enum class member_role : std::uint8_t { kEntry, kAgent, kServer, kSidecar };

/** State of a backend server, reported by its agent or by itself. */
struct backend_info {
  std::string class_name;
  /**
   * Service of the server. An agent leaves it empty for a rank of a model
   * group; servers that report themselves always have one.
   */
  std::string service;
  std::string group;
  std::uint32_t rank = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t window = 0;
  bool healthy = false;
  std::vector<std::string> models;
  /** Maximum number of concurrent requests; 0: unknown. */
  std::uint32_t slots = 0;
  /** Version of the server's software. */
  std::string version;

  bool operator==(const backend_info&) const = default;
};

/** A member known to control. `backend` is set for agents and servers. */
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
  /** Servers: how long it stays cold from now on; nothing if unknown. */
  std::optional<std::int64_t> cold_left_ms;

  bool operator==(const member_info&) const = default;
};

/** Member to control: opens the session, or reports a change of `info`. */
struct session_hello {
  member_info info;
  /** Configuration revision that is in force at the member. */
  std::uint64_t revision = 0;
  /** The member has dropped messages of this link while another one held its
   * session, so it lacks what they told it. */
  bool resend = false;

  bool operator==(const session_hello&) const = default;
};

/** Member to control, sent periodically; renews the lease (session_ack). */
struct session_heartbeat {
  std::uint64_t sequence = 0;
  /** Configuration revision that is in force at the member. */
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
 * Control to member: a quorum confirmed the leader after it received the
 * heartbeat `sequence`. The lease starts at the time at which the member sent
 * that heartbeat, and is valid only if the member has `revision` in force.
 */
struct session_ack {
  std::uint64_t sequence = 0;
  /** The lowest fencing number that the member may still accept. */
  fencing_number fencing;
  std::int64_t lease_ms = 0;
  std::uint64_t revision = 0;

  bool operator==(const session_ack&) const = default;
};

/** Member to control: planned shutdown; releases the member's lease. */
struct session_goodbye {
  bool operator==(const session_goodbye&) const = default;
};

/** Control to any peer: the current leader; empty if none is known. */
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

/**
 * Control to member: changes since `base_revision`, or a snapshot of the whole
 * set if that is 0.
 */
struct config_update {
  std::uint64_t base_revision = 0;
  std::uint64_t revision = 0;
  std::vector<config_object> changed;
  std::vector<object_name> removed;

  bool operator==(const config_update&) const = default;
};

/**
 * Control to entries. `drained` and `evacuations` are always complete.
 * `entry_ids` is the complete list of entries, by EntryId(), or empty if it is
 * as last sent.
 */
struct member_update {
  bool full = false;
  std::vector<member_info> changed;
  std::vector<std::string> removed;
  std::vector<std::string> drained;
  evacuation_list evacuations;
  std::vector<std::uint64_t> entry_ids;

  bool operator==(const member_update&) const = default;
};

/** Attempt and backend server that a claimed call is assigned to. */
struct claim_target {
  attempt_id attempt;
  std::string agent;
  std::uint64_t backend_incarnation = 0;
  std::uint64_t window = 0;

  bool operator==(const claim_target&) const = default;
};

/** Entry to control: claims an idempotency key before the call is sent. */
struct claim_request {
  std::uint64_t correlation = 0;
  std::string workspace;
  base::digest128 key_digest;
  base::digest128 body_digest;
  /** Creation time that the key contains, Unix ms; 0: none. */
  std::int64_t key_created_ms = 0;
  claim_target target;

  bool operator==(const claim_request&) const = default;
};

/**
 * Entry to control: moves a claim to `to`; `from_attempt` certainly never runs.
 */
struct claim_move {
  std::uint64_t correlation = 0;
  std::string workspace;
  base::digest128 key_digest;
  attempt_id from_attempt;
  claim_target to;

  bool operator==(const claim_move&) const = default;
};

/** Response that is stored for an idempotency key. */
struct recorded_response {
  outcome ran = outcome::kUnknown;
  std::uint16_t status = 0;
  header_list headers;
  std::string body;
  /** The body was too large to store, or its retention period has ended. */
  bool body_dropped = false;

  bool operator==(const recorded_response&) const = default;
};

/**
 * Entry to control: result of a claimed call. `kNotRun` releases the key: the
 * attempt is certain never to run, and the entry starts no other.
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
  /** Another attempt holds the key; see `holder`. */
  kHeld,
  /** The call has ended; see `response`. */
  kRecorded,
  /** The key was used before with a different body. */
  kBodyMismatch,
  /** The key's creation time is older than the retention, or too far ahead. */
  kKeyExpired,
  /** The workspace has too many keys without a creation time. */
  kKeyLimit,
  /** No decision: nothing is known to be committed. Retry. */
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

/** Experts in the slots of each layer and rank, flattened. */
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
  /** Copy the experts that the map of `epoch` needs. */
  kStageMap,
  /** Promise not to pass `step` before the decision on `epoch` is known. */
  kArmMap,
  /** The decision on `epoch`: if `commit`, use its map from `step` on. */
  kDecideMap,
  /** Start a new generation of the group with `map`. */
  kFormGroup,
};

/** Control to agent; resent until answered by order_result. */
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
  /** The rank is already past the step. */
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
  /**
   * Tokens per layer and expert since the last report, flattened; may be empty.
   */
  std::vector<std::uint32_t> expert_tokens;

  bool operator==(const group_report&) const = default;
};

// Requests of operators and of servers that report themselves.

struct publish_request {
  std::uint64_t base_revision = 0;
  std::string operation_id;
  std::vector<config_object> changed;
  std::vector<object_name> removed;
  /**
   * `changed` is the whole set: every other object is removed. The content of
   * a resent request therefore doesn't depend on the newest revision.
   */
  bool full = false;

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

/** Requests a new expert map of a group immediately. */
struct rebalance_request {
  std::string group;

  bool operator==(const rebalance_request&) const = default;
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

/** A backend server without an agent reports its state, or that it is gone. */
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
                                report_server,
                                evacuation_order>;

struct admin_request {
  std::uint64_t correlation = 0;
  admin_call call;
};

enum class admin_result : std::uint8_t {
  kOk,
  /** Refused for a permanent reason; see `code`. */
  kRefused,
  kNotLeader,
  /** No decision; the same request may be sent again. */
  kUnavailable,
};

struct admin_reply {
  std::uint64_t correlation = 0;
  admin_result result = admin_result::kUnavailable;
  /** For instance `stale_base`, `operation_reused`, `invalid_config`. */
  std::string code;
  std::string message;
  /** Result of a read request, as JSON. */
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
                                     coordinator_grant,
                                     crash_reports,
                                     answers_begun,
                                     server_crash>;

/** Encodes for a link. */
std::string Encode(const control_message& message);

/** Throws malformed_message. */
control_message DecodeControl(std::string_view bytes);

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_CONTROL_MESSAGES_H_
