#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>

#include "libwisteriaroute/config/parse.h"
#include "tests/control/fake_rank.h"

namespace wisteriaroute::control {
namespace {

constexpr std::size_t kRanks = 3;
constexpr const char* kConfig = R"toml(
[region.sfax]
[data_center.sfax-a]
region = "sfax"
[backend_class.engine]
kind = "model_engine"
[model.assistant]
version = "1"
[model_group.g]
model = "assistant"
backend_class = "engine"
data_centers = ["sfax-a"]
ranks = 3
experts = 4
slots_per_rank = 2
)toml";

// Runs the ranks in lockstep: a rank begins a step only when all ranks are in
// its generation and have finished the previous step.
class lockstep_group {
 public:
  explicit lockstep_group(fake_cluster& cluster) : cluster_(cluster) {
    for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
      ranks_.push_back(std::make_unique<fake_rank>(cluster, "g", rank));
    }
    Run();
  }

  fake_rank& RandomRank() { return *ranks_[cluster_.Pick(kRanks)]; }

  std::string violation;
  int steps = 0;

  int switches() const { return Sum(&fake_rank::switches); }
  int refusals() const { return Sum(&fake_rank::refusals); }

 private:
  int Sum(int fake_rank::*count) const {
    int sum = 0;
    for (const auto& rank : ranks_) {
      sum += (*rank).*count;
    }
    return sum;
  }

  bool MayRun(const fake_rank& rank) const {
    return !rank.IsBlocked() &&
           std::ranges::all_of(ranks_, [&](const auto& other) {
             return other->generation() == rank.generation() &&
                    other->step() >= rank.step();
           });
  }

  void Run() {
    cluster_.At(5'000 + cluster_.Upto(5'000), [this] {
      fake_rank& rank = RandomRank();
      if (MayRun(rank)) {
        Check(rank);
      }
      Run();
    });
  }

  void Check(fake_rank& rank) {
    const std::pair<std::uint64_t, std::uint64_t> step{rank.generation(),
                                                       rank.step()};
    const wire::expert_map& map = rank.RunStep();
    ++steps;
    const auto [used, first] = used_.try_emplace(step, map);
    if (!first && used->second != map && violation.empty()) {
      violation = "step " + std::to_string(step.second) + " of generation " +
                  std::to_string(step.first) + " ran with two maps";
    }
  }

  fake_cluster& cluster_;
  std::vector<std::unique_ptr<fake_rank>> ranks_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, wire::expert_map> used_;
};

void PublishConfig(fake_cluster& cluster) {
  const std::vector<config::source_file> files = {
      {.name = "g.toml", .text = kConfig}};
  const config::parsed_set parsed = config::ParseFiles(files);
  REQUIRE(parsed.findings.empty());
  const net::link_id link = cluster.Open(cluster.AddClient({}), 0);
  while (cluster.state(0).durable.config.revision == 0) {
    cluster.Deliver(
        0, link_received{link,
                         wire::admin_request{.call = wire::publish_request{
                                                 .operation_id = "op",
                                                 .changed = parsed.objects}}});
    cluster.RunFor(100'000);
  }
}

wire::expert_map RandomMap(fake_cluster& cluster) {
  wire::expert_map map{
      .experts = 4, .ranks = kRanks, .layers = 1, .slots_per_rank = 2};
  for (std::size_t slot = 0; slot < kRanks * 2; ++slot) {
    map.slots.push_back(
        static_cast<std::uint16_t>(slot < 4 ? slot : cluster.Pick(4)));
  }
  std::shuffle(map.slots.begin(), map.slots.end(), cluster.random);
  return map;
}

struct schedule_result {
  std::string violation;
  int steps = 0;
  int switches = 0;
  int refusals = 0;
};

void InjectFault(fake_cluster& cluster, lockstep_group& group) {
  switch (cluster.Pick(120)) {
    case 0:
    case 1:
      cluster.Elect(cluster.Pick(3));
      break;
    case 2:
      group.RandomRank().Restart();
      break;
    case 3:
      group.RandomRank().RestartEngine();
      break;
    case 4:
    case 5:
      group.RandomRank().Freeze(cluster.Upto(3'000'000));
      break;
    case 6:
      group.RandomRank().session().BreakLink(cluster.Upto(2'000'000));
      break;
    case 7:
      cluster.Reload(cluster.Pick(3));
      break;
    default:
      break;
  }
}

// Guards against ranks that run the same step with different maps, and against
// a group that makes no progress after the faults have ended.
schedule_result RunSchedule(std::uint64_t seed) {
  fake_cluster cluster(seed, {.loss = 0.05,
                              .duplicate = 0.1,
                              .reorder = seed % 2 == 0,
                              .slow = 0.1,
                              .slow_us = 500'000});
  PublishConfig(cluster);
  lockstep_group group(cluster);
  for (int i = 0; i < 200; ++i) {
    InjectFault(cluster, group);
    if (cluster.Chance(0.1)) {
      cluster.Deliver(cluster.leader(),
                      map_change_requested{"g", RandomMap(cluster)});
    }
    cluster.RunFor(100'000);
  }
  cluster.EndFaults();
  cluster.RunFor(8'000'000);
  const int before = group.steps;
  cluster.RunFor(1'000'000);
  if (group.steps == before && group.violation.empty()) {
    group.violation = "the group makes no steps after the faults have ended";
  }
  return {.violation = group.violation,
          .steps = group.steps,
          .switches = group.switches(),
          .refusals = group.refusals()};
}

TEST_CASE("no two ranks run the same step with different maps") {
  schedule_result sum;
  CHECK(rc::check("lost, late, doubled orders, restarts, leader changes", [&] {
    for (int i = 0; i < 10; ++i) {
      const auto seed = *rc::gen::noShrink(rc::gen::resize(
          rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
      const schedule_result result = RunSchedule(seed);
      sum.steps += result.steps;
      sum.switches += result.switches;
      sum.refusals += result.refusals;
      if (!result.violation.empty()) {
        RC_FAIL("seed " + std::to_string(seed) + ": " + result.violation);
      }
    }
  }));
  // Ensures that the property doesn't hold merely because no map changed.
  MESSAGE("steps: " << sum.steps << ", switches of a rank: " << sum.switches
                    << ", arms refused: " << sum.refusals);
  CHECK(sum.steps > 100'000);
  CHECK(sum.switches > 1'000);
  CHECK(sum.refusals > 10);
}

}  // namespace
}  // namespace wisteriaroute::control
