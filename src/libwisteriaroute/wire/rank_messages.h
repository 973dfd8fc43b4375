#ifndef LIBWISTERIAROUTE_WIRE_RANK_MESSAGES_H_
#define LIBWISTERIAROUTE_WIRE_RANK_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wisteriaroute::wire {

// Messages about the ranks of a group that the platform forms.

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

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_RANK_MESSAGES_H_
