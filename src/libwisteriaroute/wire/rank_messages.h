#ifndef LIBWISTERIAROUTE_WIRE_RANK_MESSAGES_H_
#define LIBWISTERIAROUTE_WIRE_RANK_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriaroute::wire {

/** Experts of one rank in one set. */
using expert_list = std::vector<std::uint16_t>;
/** Experts by set and rank. */
using expert_placement = std::vector<std::vector<expert_list>>;

inline constexpr std::uint32_t kHealthyPace = 1'000;

/** A change of the experts that a rank holds in a set. */
struct placement_edit {
  std::uint32_t set = 0;
  std::uint32_t rank = 0;
  expert_list removed;
  expert_list added;

  bool operator==(const placement_edit&) const = default;
};

/**
 * Sidecar to its group's coordinator: the state of its rank. Versions and
 * steps are 0 if there is none.
 */
struct rank_status {
  std::string service;
  std::string group;
  /** Number that the platform gives to this formation of the group. */
  std::uint64_t formation = 0;
  std::uint32_t rank = 0;
  std::uint32_t ranks = 0;
  /** Whether the group runs. */
  bool group_running = false;
  /** Last step that the rank started. */
  std::uint64_t step = 0;
  std::uint64_t map_version = 0;
  std::uint64_t prepared_version = 0;
  std::uint64_t armed_version = 0;
  std::uint64_t armed_step = 0;
  std::uint64_t held_step = 0;
  /** Tokens of the last count window by set and expert; may be empty. */
  std::vector<std::uint32_t> expert_tokens;
  /** Steps of the rank when that window began and when it ended. */
  std::uint64_t first_count_step = 0;
  std::uint64_t last_count_step = 0;
  /** Experts of this rank by set, in the map in use; empty: as sent before. */
  std::vector<expert_list> experts;
  /** Highest coordinator term that the sidecar has received. */
  std::uint64_t term = 0;
  /** `IP:port` of the rank's server. */
  std::string server;
  /** Time that the rank takes relative to a healthy one, in thousandths. */
  std::uint32_t pace_permille = kHealthyPace;
  /** `map_version` if the sidecar knows the whole placement; otherwise 0. */
  std::uint64_t placement_version = 0;

  bool operator==(const rank_status&) const = default;
};

enum class rank_order_kind : std::uint8_t {
  /** Refuse orders of older terms. Not passed on to the rank's server. */
  kFence,
  /** Copy the experts that the map needs. */
  kPrepare,
  /** Switch to the prepared map at the start of the step. */
  kArm,
  /** Revoke an arm order that can't be completed. */
  kDisarm,
  /** The group doesn't start the step before kRelease reaches this rank. */
  kHold,
  kRelease,
};

/**
 * Coordinator to the sidecar of a rank. Resent until the rank's status shows
 * that it was executed.
 */
struct rank_order {
  rank_order_kind kind = rank_order_kind::kPrepare;
  /** Term of the coordinator's grant; lower terms are refused. */
  std::uint64_t term = 0;
  std::uint64_t formation = 0;
  std::uint64_t version = 0;
  std::uint64_t step = 0;
  /** Only to prepare. Empty if `base_version` isn't 0. */
  expert_placement placement;
  /**
   * If not 0, the placement is that of this version with `edits` applied, and
   * has the digest `placement_digest`.
   */
  std::uint64_t base_version = 0;
  std::vector<placement_edit> edits;
  std::uint64_t placement_digest = 0;

  bool operator==(const rank_order&) const = default;
};

/** Sidecar to control: its rank is present. Sent every few seconds. */
struct rank_presence {
  std::string service;
  std::string group;
  std::uint32_t rank = 0;
  std::uint32_t ranks = 0;
  /** Highest coordinator term that the sidecar has received. */
  std::uint64_t term = 0;
  /** Whether the link to the coordinator is up, or went down within 1 s. */
  bool coordinator_linked = false;

  bool operator==(const rank_presence&) const = default;
};

/** Dimensions and limits of a group's expert placement. */
struct placement_shape {
  std::uint32_t sets = 0;
  std::uint32_t experts = 0;
  /** Maximum number of experts of a set on one rank. */
  std::uint32_t slots = 0;
  /** Maximum number of experts of a set that a rank receives in one change. */
  std::uint32_t spare_slots = 0;
  /** Time to copy one expert to a rank. */
  std::uint64_t copy_us = 0;

  bool operator==(const placement_shape&) const = default;
};

/** Control to the sidecars of a group: the group's coordinator. */
struct coordinator_grant {
  std::string group;
  /** Increases with each grant; 0: the group has no coordinator. */
  std::uint64_t term = 0;
  std::string name;
  /** Link address. */
  std::string address;
  /** Run of the coordinator's process; a later run doesn't hold the grant. */
  std::uint64_t incarnation = 0;
  /** Empty while no configuration defines it. */
  std::optional<placement_shape> shape;

  bool operator==(const coordinator_grant&) const = default;
};

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_RANK_MESSAGES_H_
