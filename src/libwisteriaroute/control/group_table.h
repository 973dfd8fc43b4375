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
 * Where a group is in the map protocol. Each phase has one order, which every
 * rank must carry out before the next phase may begin.
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

/** A map that isn't decided yet. */
struct map_change {
  std::uint64_t epoch = 0;
  wire::expert_map map;

  bool operator==(const map_change&) const = default;
};

/** A model group as the log knows it. */
struct group_state {
  std::uint64_t generation = 0;
  std::vector<group_rank> ranks;
  group_phase phase = group_phase::kNone;
  /** Log index of the command that began the phase; the orders' number. */
  std::uint64_t order_index = 0;
  /** The map in use, and its epoch. */
  std::uint64_t epoch = 0;
  wire::expert_map map;
  /** Epochs are never used twice, also not for an aborted change. */
  std::uint64_t next_epoch = 1;
  std::optional<map_change> change;
  /** Step of the arm or of the decision. */
  std::uint64_t step = 0;
  /** The last decision, in phase kDeciding. */
  std::uint64_t decided_epoch = 0;
  bool commit = false;

  bool operator==(const group_state&) const = default;
};

struct group_table {
  std::map<std::string, group_state, std::less<>> groups;

  bool operator==(const group_table&) const = default;
};

/** Starts a new generation from `map`, or from the map in use if it is empty.
 */
struct form_group_command {
  std::string group;
  /** Must be the current generation plus one. */
  std::uint64_t generation = 0;
  std::vector<group_rank> ranks;
  wire::expert_map map;

  bool operator==(const form_group_command&) const = default;
};

struct stage_map_command {
  std::string group;
  std::uint64_t generation = 0;
  wire::expert_map map;

  bool operator==(const stage_map_command&) const = default;
};

struct arm_map_command {
  std::string group;
  std::uint64_t generation = 0;
  std::uint64_t epoch = 0;
  std::uint64_t step = 0;

  bool operator==(const arm_map_command&) const = default;
};

struct decide_map_command {
  std::string group;
  std::uint64_t generation = 0;
  std::uint64_t epoch = 0;
  std::uint64_t step = 0;
  bool commit = false;
  /** Whether an aborted change stays pending, for a later step. */
  bool retry = false;

  bool operator==(const decide_map_command&) const = default;
};

// Each returns whether the command fitted the group's state and was applied;
// a command of a leader that was behind changes nothing.
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

/** The order of the group's phase for one rank, sent by a leader of `term`. */
wire::order PhaseOrder(const std::string& name,
                       const group_state& group,
                       std::uint64_t term);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_GROUP_TABLE_H_
