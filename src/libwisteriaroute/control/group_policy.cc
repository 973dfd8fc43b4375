#include "libwisteriaroute/control/group_policy.h"

#include <algorithm>
#include <limits>
#include <vector>

#include "libwisteriaroute/control/proposals.h"

namespace wisteriaroute::control {

namespace {

// With fewer observations, noise alone could cause a change of the first map.
constexpr std::uint64_t kMinObservations = 3;
// Bounds of a rank's relative speed. Values outside them are regarded as
// measurement errors and clamped.
constexpr double kMinSpeed = 0.2;
constexpr double kMaxSpeed = 2.0;

std::vector<std::uint32_t> TakeTokens(group_progress& progress) {
  std::vector<std::uint32_t> tokens;
  tokens.reserve(progress.tokens.size());
  for (const std::uint64_t count : progress.tokens) {
    tokens.push_back(static_cast<std::uint32_t>(std::min<std::uint64_t>(
        count, std::numeric_limits<std::uint32_t>::max())));
  }
  progress.tokens.clear();
  return tokens;
}

base::time_us MedianStepTime(const group_progress& progress) {
  std::vector<base::time_us> times;
  for (const auto& [rank, report] : progress.reports) {
    if (report.step_time_us > 0) {
      times.push_back(report.step_time_us);
    }
  }
  if (times.empty()) {
    return 0;
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

std::vector<double> RankSpeeds(const group_progress& progress,
                               std::uint32_t ranks,
                               base::time_us median_us) {
  std::vector<double> speed(ranks, 1.0);
  for (const auto& [rank, report] : progress.reports) {
    if (rank < ranks && report.step_time_us > 0) {
      speed[rank] =
          std::clamp(static_cast<double>(median_us) / report.step_time_us,
                     kMinSpeed, kMaxSpeed);
    }
  }
  return speed;
}

void PlanMapChange(group_progress& progress,
                   const group_state& group,
                   const config::model_group& group_config) {
  const std::size_t size =
      static_cast<std::size_t>(group_config.layers * group_config.experts);
  if (progress.tokens.size() != size || group.map.slots.empty()) {
    progress.tokens.clear();
    return;
  }
  if (progress.load.share.size() != size) {
    progress.load = policy::MakeExpertLoad(
        static_cast<std::uint32_t>(group_config.layers),
        static_cast<std::uint32_t>(group_config.experts));
  }
  policy::Observe(progress.load, TakeTokens(progress));
  const base::time_us step_us = MedianStepTime(progress);
  if (progress.load.observations < kMinObservations || step_us == 0) {
    return;
  }
  const auto change = policy::PlanChange(
      group.map, progress.load, RankSpeeds(progress, group.map.ranks, step_us),
      PlanSettings(group_config, step_us));
  if (change) {
    progress.next_map = change->map;
  }
}

}  // namespace

policy::plan_settings PlanSettings(const config::model_group& group,
                                   base::time_us step_time_us) {
  const double step_s = static_cast<double>(step_time_us) / 1e6;
  // Without a configured rate the weight store isn't a bottleneck, so copies
  // cost no time.
  const bool limited = group.store_bytes_per_s > 0;
  return {.skew_weight = group.skew_weight,
          .cost_weight = group.cost_weight,
          .expert_bytes = limited ? static_cast<double>(group.expert_bytes) : 0,
          .store_bytes_per_s =
              limited ? static_cast<double>(group.store_bytes_per_s) : 1,
          .switch_pause_s = static_cast<double>(group.switch_pause_ms) / 1e3,
          .layer_seconds = step_s / static_cast<double>(group.layers) *
                           static_cast<double>(group.ranks),
          .steps_per_s = 1 / step_s,
          .max_copies = static_cast<std::uint32_t>(group.max_moves_per_change)};
}

void PlanMapChanges(replica_state& state, const step_time& now) {
  for (const auto& [name, group_config] : CurrentConfig(state).model_groups) {
    const auto found = state.durable.groups.groups.find(name);
    group_progress& progress = state.leadership->groups[name];
    if (found == state.durable.groups.groups.end() ||
        now.now_us < progress.next_plan_us || found->second.change) {
      continue;
    }
    progress.next_plan_us = now.now_us + state.options.map_period_us;
    PlanMapChange(progress, found->second, group_config);
  }
}

}  // namespace wisteriaroute::control
