#include "libwisteriaroute/control/group_table.h"

namespace wisteriaroute::control {

namespace {

void BeginPhase(group_state& group, group_phase phase, std::uint64_t index) {
  group.phase = phase;
  group.order_index = index;
}

group_state* FindGeneration(group_table& table,
                            const std::string& name,
                            std::uint64_t generation) {
  const auto found = table.groups.find(name);
  if (found == table.groups.end() || found->second.generation != generation) {
    return nullptr;
  }
  return &found->second;
}

/** Whether no change is pending, so that a new one may begin. */
bool MayStage(const group_state& group) {
  return !group.change && (group.phase == group_phase::kForming ||
                           group.phase == group_phase::kDeciding);
}

}  // namespace

bool ApplyGroup(group_table& table,
                const form_group_command& command,
                std::uint64_t index) {
  const auto found = table.groups.find(command.group);
  const std::uint64_t current =
      found == table.groups.end() ? 0 : found->second.generation;
  if (command.generation != current + 1) {
    return false;
  }
  group_state& group = table.groups[command.group];
  group.generation = command.generation;
  group.ranks = command.ranks;
  group.change.reset();
  group.step = 0;
  group.decided_epoch = 0;
  group.commit = false;
  if (!command.map.slots.empty()) {
    group.map = command.map;
    group.epoch = group.next_epoch++;
  }
  BeginPhase(group, group_phase::kForming, index);
  return true;
}

bool ApplyGroup(group_table& table,
                const stage_map_command& command,
                std::uint64_t index) {
  group_state* group = FindGeneration(table, command.group, command.generation);
  if (group == nullptr || !MayStage(*group)) {
    return false;
  }
  group->change = {.epoch = group->next_epoch++, .map = command.map};
  BeginPhase(*group, group_phase::kStaging, index);
  return true;
}

bool ApplyGroup(group_table& table,
                const arm_map_command& command,
                std::uint64_t index) {
  group_state* group = FindGeneration(table, command.group, command.generation);
  if (group == nullptr || !group->change ||
      group->change->epoch != command.epoch ||
      group->phase == group_phase::kArming || command.step <= group->step) {
    return false;
  }
  group->step = command.step;
  BeginPhase(*group, group_phase::kArming, index);
  return true;
}

bool ApplyGroup(group_table& table,
                const decide_map_command& command,
                std::uint64_t index) {
  group_state* group = FindGeneration(table, command.group, command.generation);
  if (group == nullptr || !group->change ||
      group->change->epoch != command.epoch) {
    return false;
  }
  const bool armed =
      group->phase == group_phase::kArming && group->step == command.step;
  // A change can be aborted while it is staged, but committed only when armed.
  const bool aborted = group->phase == group_phase::kStaging &&
                       !command.commit && !command.retry;
  if (!armed && !aborted) {
    return false;
  }
  group->step = command.step;
  group->decided_epoch = command.epoch;
  group->commit = command.commit;
  if (command.commit) {
    group->epoch = group->change->epoch;
    group->map = std::move(group->change->map);
  }
  if (command.commit || !command.retry) {
    group->change.reset();
  }
  BeginPhase(*group, group_phase::kDeciding, index);
  return true;
}

wire::order PhaseOrder(const std::string& name,
                       const group_state& group,
                       std::uint64_t term) {
  wire::order order{.order_id = group.order_index,
                    .fencing = {.term = term, .index = group.order_index},
                    .group = name,
                    .generation = group.generation};
  switch (group.phase) {
    case group_phase::kNone:
    case group_phase::kForming:
      order.kind = wire::order_kind::kFormGroup;
      order.epoch = group.epoch;
      order.map = group.map;
      break;
    case group_phase::kStaging:
      order.kind = wire::order_kind::kStageMap;
      order.epoch = group.change->epoch;
      order.map = group.change->map;
      break;
    case group_phase::kArming:
      order.kind = wire::order_kind::kArmMap;
      order.epoch = group.change->epoch;
      order.step = group.step;
      break;
    case group_phase::kDeciding:
      order.kind = wire::order_kind::kDecideMap;
      order.epoch = group.decided_epoch;
      order.step = group.step;
      order.commit = group.commit;
      break;
  }
  return order;
}

}  // namespace wisteriaroute::control
