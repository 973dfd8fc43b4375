// Compares policies for expert maps on synthetic traces of one day: p95 and
// mean of the skew (step time over the lower bound of any map), copied experts
// and map changes. Prints the targets and whether they are met.

#include <array>
#include <cstdio>
#include <ctime>
#include <functional>
#include <string>

#include "bench/expert_trace.h"
#include "libwisteriaroute/policy/expert_plan.h"
#include "tests/policy/naive_expert_map.h"

namespace wisteriaroute::bench {
namespace {

using policy::expert_load;
using policy::plan_settings;

// The first two hours are not measured: the load estimate converges and every
// policy makes its first map.
constexpr std::uint32_t kWarmUpIntervals = 24;

struct group_shape {
  std::uint32_t ranks;
  std::uint32_t experts;
  std::uint32_t slots_per_rank;
  std::uint32_t layers;
  std::uint32_t intervals;
};

struct run_result {
  std::vector<double> skew;
  double mean_over_bound = 0;
  std::uint64_t copies = 0;
  std::uint64_t changes = 0;
  double slowest_decision_ms = 0;
};

struct observed_interval {
  const wire::expert_map& map;
  const expert_load& smoothed;
  std::span<const double> last_share;
  std::span<const double> speed;
};
using map_policy = std::function<wire::expert_map(const observed_interval&)>;

std::vector<double> ToShare(std::span<const std::uint32_t> tokens,
                            const group_shape& group) {
  std::vector<double> share(tokens.size());
  for (std::uint32_t l = 0; l < group.layers; ++l) {
    double total = 0;
    for (std::uint32_t e = 0; e < group.experts; ++e) {
      total += tokens[l * group.experts + e];
    }
    for (std::uint32_t e = 0; e < group.experts; ++e) {
      share[l * group.experts + e] = tokens[l * group.experts + e] / total;
    }
  }
  return share;
}

run_result Run(const group_shape& group,
               trace_kind kind,
               const map_policy& decision) {
  const trace_shape shape{.kind = kind,
                          .layers = group.layers,
                          .experts = group.experts,
                          .intervals = group.intervals,
                          // A larger group serves more callers.
                          .tokens_per_interval = 50'000 * group.ranks};
  expert_trace trace(shape);
  expert_load load = policy::MakeExpertLoad(group.layers, group.experts);
  wire::expert_map map = policy::InitialMap(
      group.layers, group.ranks, group.experts, group.slots_per_rank);
  run_result result;
  for (std::uint32_t i = 0; i < shape.intervals; ++i) {
    std::vector<double> speed(group.ranks, 1.0);
    if (kind == trace_kind::kSlowRank && i >= shape.intervals / 3) {
      speed[group.ranks / 2] = 0.6;
    }
    const double bound = policy::naive::StepTimeBound(group.layers, speed);
    if (i >= kWarmUpIntervals) {
      const double ratio =
          policy::naive::StepTime(map, trace.Share(i), speed) / bound;
      result.skew.push_back(ratio);
      result.mean_over_bound += ratio / (shape.intervals - kWarmUpIntervals);
    }
    const auto tokens = trace.Tokens(i);
    policy::Observe(load, tokens);
    const auto share = ToShare(tokens, group);
    // Processor time excludes the other work on the machine.
    const std::clock_t start = std::clock();
    wire::expert_map next = decision({map, load, share, speed});
    const double taken_ms =
        1e3 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    result.slowest_decision_ms = std::max(result.slowest_decision_ms, taken_ms);
    const auto copies = policy::CopiesBetween(map, next);
    if (!copies.empty() && i >= kWarmUpIntervals) {
      result.copies += copies.size();
      ++result.changes;
    }
    map = std::move(next);
  }
  return result;
}

double Quantile(std::vector<double> values, double q) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      q * static_cast<double>(values.size() - 1))];
}

plan_settings Settings(const group_shape& group,
                       double skew_weight,
                       double cost_weight) {
  return {.skew_weight = skew_weight,
          .cost_weight = cost_weight,
          .expert_bytes = 44e6,
          .store_bytes_per_s = 2e9,
          .switch_pause_s = 0.05,
          .horizon_s = 3'600,
          // A balanced step takes 50 ms over all layers.
          .layer_seconds = 0.05 / group.layers * group.ranks,
          .steps_per_s = 20};
}

map_policy MakePlanPolicy(const plan_settings& settings) {
  return [settings](const observed_interval& seen) {
    auto change =
        policy::PlanChange(seen.map, seen.smoothed, seen.speed, settings);
    return change ? change->map : seen.map;
  };
}

wire::expert_map KeepFixed(const observed_interval& seen) {
  return seen.map;
}

wire::expert_map AlwaysRepack(const observed_interval& seen) {
  return policy::naive::Repack(seen.map, seen.last_share, seen.speed);
}

wire::expert_map RepackAboveThreshold(const observed_interval& seen) {
  constexpr double kThreshold = 1.15;
  const double bound =
      policy::naive::StepTimeBound(seen.map.layers, seen.speed);
  const double skew =
      policy::naive::StepTime(seen.map, seen.last_share, seen.speed) / bound;
  return skew > kThreshold ? AlwaysRepack(seen) : seen.map;
}

void Print(const char* name, const run_result& run, const run_result& repack) {
  const double p95 = Quantile(run.skew, 0.95);
  std::printf(
      "  %-22s p95 skew %.3f (%.3f of re-pack), mean over bound %.3f, "
      "copies %8llu (%.4f), changes %4llu, decision %.1f ms\n",
      name, p95, p95 / Quantile(repack.skew, 0.95), run.mean_over_bound,
      static_cast<unsigned long long>(run.copies),
      repack.copies == 0 ? 0.0
                         : static_cast<double>(run.copies) /
                               static_cast<double>(repack.copies),
      static_cast<unsigned long long>(run.changes), run.slowest_decision_ms);
}

void PrintTarget(const char* name,
                 const run_result& run,
                 const run_result& repack,
                 double max_skew,
                 double max_copies) {
  const double skew = Quantile(run.skew, 0.95) / Quantile(repack.skew, 0.95);
  const double copies =
      static_cast<double>(run.copies) / static_cast<double>(repack.copies);
  std::printf("  target %-15s skew <= %.2f: %s, copies <= %.2f: %s\n", name,
              max_skew, skew <= max_skew ? "met" : "MISSED", max_copies,
              copies <= max_copies ? "met" : "MISSED");
}

void Compare(const group_shape& group, trace_kind kind, const char* name) {
  std::printf("%s: %u ranks, %u experts, %u slots a rank, %u layers\n", name,
              group.ranks, group.experts, group.slots_per_rank, group.layers);
  const run_result repack = Run(group, kind, AlwaysRepack);
  const run_result skew_first =
      Run(group, kind, MakePlanPolicy(Settings(group, 4, 1)));
  const run_result cost_first =
      Run(group, kind, MakePlanPolicy(Settings(group, 1, 8)));
  Print("fixed map", Run(group, kind, KeepFixed), repack);
  Print("re-pack each interval", repack, repack);
  Print("re-pack at threshold", Run(group, kind, RepackAboveThreshold), repack);
  Print("plan, skew weighs more", skew_first, repack);
  Print("plan, cost weighs more", cost_first, repack);
  if (kind == trace_kind::kNoise) {
    std::printf("  target no copies on noise: %s\n",
                skew_first.copies + cost_first.copies == 0 ? "met" : "MISSED");
  } else {
    PrintTarget("skew first", skew_first, repack, 1.03, 0.25);
    PrintTarget("cost first", cost_first, repack, 1.15, 0.05);
  }
}

}  // namespace
}  // namespace wisteriaroute::bench

// An argument selects the groups with that number of ranks.
int main(int argc, char** argv) {
  using namespace wisteriaroute::bench;
  constexpr std::array<group_shape, 3> kGroups{
      {{4, 16, 6, 8, 288}, {16, 64, 6, 8, 288}, {128, 128, 2, 60, 96}}};
  constexpr std::array<std::pair<trace_kind, const char*>, 4> kTraces{
      {{trace_kind::kDrift, "drift over a day"},
       {trace_kind::kShift, "sudden shift"},
       {trace_kind::kNoise, "pure noise"},
       {trace_kind::kSlowRank, "one slow rank"}}};
  for (const auto& group : kGroups) {
    if (argc > 1 && std::to_string(group.ranks) != argv[1]) {
      continue;
    }
    for (const auto& [kind, name] : kTraces) {
      Compare(group, kind, name);
    }
  }
  return 0;
}
