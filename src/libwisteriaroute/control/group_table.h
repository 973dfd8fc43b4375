#ifndef LIBWISTERIAROUTE_CONTROL_GROUP_TABLE_H_
#define LIBWISTERIAROUTE_CONTROL_GROUP_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::control {

/**
 * Phase of the protocol that changes a group's expert map. Each phase has one
 * order, which every rank must carry out before the next phase may begin.
 */
enum class group_phase : std::uint8_t {
  kNone,
  kForming,
  kStaging,
  kArming,
  kDeciding,
};

/** The backend server that serves one rank. */
struct group_rank {
  std::string agent;
  std::uint64_t incarnation = 0;

  bool operator==(const group_rank&) const = default;
};

/** A pending change to another map. An abort with `retry` keeps it pending. */
struct map_change {
  std::uint64_t epoch = 0;
  wire::expert_map map;

  bool operator==(const map_change&) const = default;
};

/** Replicated state of a model group. */
struct group_state {
  std::uint64_t generation = 0;
  std::vector<group_rank> ranks;
  group_phase phase = group_phase::kNone;
  /** Log index of the command that began the phase; used as the order id. */
  std::uint64_t order_index = 0;
  /** The map in use, and its epoch. */
  std::uint64_t epoch = 0;
  wire::expert_map map;
  /** Epochs are never reused, not even that of an aborted change. */
  std::uint64_t next_epoch = 1;
  std::optional<map_change> change;
  /** Step at which the ranks switch maps, set when the change is armed. */
  std::uint64_t step = 0;
  /** Epoch of the decided change and its outcome, in phase kDeciding. */
  std::uint64_t decided_epoch = 0;
  bool commit = false;

  bool operator==(const group_state&) const = default;
};

struct group_table {
  std::map<std::string, group_state, std::less<>> groups;

  bool operator==(const group_table&) const = default;
};

/**
 * Starts a new generation with `map`, or with the map in use if `map` is empty.
 */
struct form_group_command {
  std::string group;
  /** Must be the current generation plus one. */
  std::uint64_t generation = 0;
  std::vector<group_rank> ranks;
  wire::expert_map map;

  bool operator==(const form_group_command&) const = default;
};

/** Begins a change: the ranks load the experts of `map`. */
struct stage_map_command {
  std::string group;
  std::uint64_t generation = 0;
  wire::expert_map map;

  bool operator==(const stage_map_command&) const = default;
};

/** Asks the ranks to wait for the decision before they run `step`. */
struct arm_map_command {
  std::string group;
  std::uint64_t generation = 0;
  std::uint64_t epoch = 0;
  std::uint64_t step = 0;

  bool operator==(const arm_map_command&) const = default;
};

/** Commits or aborts a change. */
struct decide_map_command {
  std::string group;
  std::uint64_t generation = 0;
  std::uint64_t epoch = 0;
  std::uint64_t step = 0;
  bool commit = false;
  /** Whether an aborted change stays pending and is armed for a later step. */
  bool retry = false;

  bool operator==(const decide_map_command&) const = default;
};

// Each returns whether the command was applied. A command that doesn't fit the
// group's state, such as one proposed from outdated state, changes nothing.
bool ApplyGroup(group_table& table,
                const form_group_command& command,
                std::uint64_t index);
bool ApplyGroup(group_table& table,
                const stage_map_command& command,
                std::uint64_t index);
bool ApplyGroup(group_table& table,
                const arm_map_command& command,
                std::uint64_t index);
bool ApplyGroup(group_table& table,
                const decide_map_command& command,
                std::uint64_t index);

/** Builds the order of the current phase, fenced with the leader's `term`. */
wire::order PhaseOrder(const std::string& name,
                       const group_state& group,
                       std::uint64_t term);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_GROUP_TABLE_H_
