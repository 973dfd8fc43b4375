// Guards against ranks of one group that use different expert maps in the same
// step. Changes maps while agents, stand-ins and the control leader fail. Each
// stand-in records the steps at which its map changed.

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/process/demo_system.h"

namespace wisteriaroute::testing {
namespace {

constexpr int kRanks = 4;

nlohmann::json RankState(demo_system& system, int rank) {
  const auto answer = system.Get(
      system.StandinUrl("standin-assistant-a-" + std::to_string(rank)) +
      "/group");
  return nlohmann::json::parse(answer->body, nullptr, false);
}

/** Returns the map epoch of a rank in a step; 0 if it isn't recorded. */
std::uint64_t EpochAt(const nlohmann::json& rank,
                      std::uint64_t generation,
                      std::uint64_t step) {
  std::uint64_t epoch = 0;
  for (const auto& start : rank["history"]) {
    if (start["generation"] == generation && start["step"] <= step) {
      epoch = start["epoch"];
    }
  }
  return epoch;
}

void CheckOneMapPerStep(demo_system& system) {
  std::vector<nlohmann::json> ranks;
  std::map<std::uint64_t, std::map<std::uint64_t, bool>> starts;
  for (int rank = 0; rank < kRanks; ++rank) {
    ranks.push_back(RankState(system, rank));
    REQUIRE(ranks.back().is_object());
    for (const auto& start : ranks.back()["history"]) {
      starts[start["generation"]][start["step"]] = true;
    }
  }
  for (const auto& [generation, steps] : starts) {
    for (const auto& [step, unused] : steps) {
      // A rank that joined later has no epoch for earlier generations.
      std::uint64_t agreed = 0;
      for (const auto& rank : ranks) {
        const std::uint64_t epoch = EpochAt(rank, generation, step);
        // A rank that hasn't reached the step isn't on another map in it.
        const bool reached =
            rank["generation"] > generation ||
            (rank["generation"] == generation && rank["step"] >= step);
        if (epoch == 0 || !reached) {
          continue;
        }
        agreed = agreed == 0 ? epoch : agreed;
        CAPTURE(generation);
        CAPTURE(step);
        CHECK(epoch == agreed);
      }
    }
  }
}

std::uint64_t Epoch(demo_system& system) {
  const auto state = RankState(system, 0);
  return state.is_object() ? state["map_epoch"].get<std::uint64_t>() : 0;
}

/** Requests rebalancing until the group switches to a new map. */
bool ChangeMap(demo_system& system) {
  const std::uint64_t before = Epoch(system);
  for (int i = 0; i < 20; ++i) {
    system.Wrctl("rebalance assistant-a");
    system.RunFor(1'000'000);
    if (Epoch(system) > before) {
      return true;
    }
  }
  return false;
}

TEST_CASE("all ranks switch to a new expert map in the same step") {
  demo_system system;
  REQUIRE(ChangeMap(system));
  CheckOneMapPerStep(system);

  SUBCASE("while the control leader is killed") {
    system.Wrctl("rebalance assistant-a");
    system.Kill(system.Leader());
  }
  SUBCASE("while an agent is killed and restarted") {
    system.Wrctl("rebalance assistant-a");
    system.Kill("agent-assistant-a-2");
    system.RunFor(500'000);
    system.Restart("agent-assistant-a-2");
  }
  SUBCASE("while a rank is killed and restarted") {
    system.Wrctl("rebalance assistant-a");
    system.Kill("standin-assistant-a-1");
    system.RunFor(500'000);
    system.Restart("standin-assistant-a-1");
  }
  // The group must continue to run steps and be able to change its map again.
  system.RunFor(4'000'000);
  CheckOneMapPerStep(system);
  const std::uint64_t step = RankState(system, 0)["step"];
  CHECK(ChangeMap(system));
  system.RunFor(1'000'000);
  CHECK(RankState(system, 0)["step"] != step);
  CheckOneMapPerStep(system);
}

}  // namespace
}  // namespace wisteriaroute::testing
