// Guards against a request that crashes every backend server that executes it.
// It may crash two servers at most, the caller and its resends get a final
// error, and requests that ran on the same servers get complete responses.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/process/demo_system.h"

namespace wisteriaroute::testing {
namespace {

std::size_t DeadEngines(demo_system& system) {
  std::size_t dead = 0;
  for (const std::string& name : system.Names("standin-assistant")) {
    dead += system.IsRunning(name) ? 0 : 1;
  }
  return dead;
}

TEST_CASE("a request that crashes its servers is quarantined") {
  demo_system system;
  for (const std::string& name : system.Names("standin-assistant")) {
    system.SetFaults(name, {{"crash_marker", "POISON"}});
  }
  const auto whole = system.Stream(0, "a long letter", 200);
  REQUIRE(system.RunUntil([&] { return whole->done; }));
  std::vector<std::shared_ptr<call>> neighbours;
  for (std::size_t i = 0; i < 24; ++i) {
    neighbours.push_back(system.Stream(i % 2, "a long letter", 200));
  }
  system.RunFor(150'000);
  const auto culprit = system.Stream(0, "POISON", 8);
  REQUIRE(system.RunUntil([&] { return culprit->done; }));
  MESSAGE("culprit: ", culprit->status, " ", culprit->body);
  CHECK_FALSE(culprit->StreamEnded());
  CHECK(DeadEngines(system) <= 2);

  // The caller resends it through both entries.
  for (std::size_t i = 0; i < 6; ++i) {
    const auto resent = system.Stream(i % 2, "POISON", 8);
    REQUIRE(system.RunUntil([&] { return resent->done; }));
    CHECK(resent->status == 422);
    CHECK(resent->ErrorCode() == "request_quarantined");
  }
  CHECK(DeadEngines(system) <= 2);

  REQUIRE(system.RunUntil([&] {
    return std::all_of(neighbours.begin(), neighbours.end(),
                       [](const auto& each) { return each->done; });
  }));
  for (const auto& each : neighbours) {
    CHECK(each->status == 200);
    CHECK(each->StreamText() == whole->StreamText());
  }
  const auto after = system.Stream(1, "a long letter", 200);
  REQUIRE(system.RunUntil([&] { return after->done; }));
  CHECK(after->StreamText() == whole->StreamText());
  CHECK(system.Read("quarantine list")["entries"].size() >= 1);
}

}  // namespace
}  // namespace wisteriaroute::testing
