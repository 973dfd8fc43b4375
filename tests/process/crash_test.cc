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

std::size_t CountDeadEngines(demo_system& system) {
  std::size_t dead = 0;
  for (const std::string& name : system.ProcessNames("standin-assistant")) {
    dead += system.IsRunning(name) ? 0 : 1;
  }
  return dead;
}

TEST_CASE("a request that crashes its servers is quarantined") {
  demo_system system;
  for (const std::string& name : system.ProcessNames("standin-assistant")) {
    system.SetFaults(name, {{"crash_marker", "POISON"}});
  }
  const auto reference = system.StartStream(0, "a long letter", 200);
  REQUIRE(system.RunUntil([&] { return reference->done; }));
  std::vector<std::shared_ptr<call>> concurrent;
  for (std::size_t i = 0; i < 24; ++i) {
    concurrent.push_back(system.StartStream(i % 2, "a long letter", 200));
  }
  system.RunFor(150'000);
  const auto culprit = system.StartStream(0, "POISON", 8);
  REQUIRE(system.RunUntil([&] { return culprit->done; }));
  MESSAGE("culprit: ", culprit->status, " ", culprit->body);
  CHECK_FALSE(culprit->StreamEnded());
  CHECK(CountDeadEngines(system) <= 2);

  // The caller resends it through both entries.
  for (std::size_t i = 0; i < 6; ++i) {
    const auto resent = system.StartStream(i % 2, "POISON", 8);
    REQUIRE(system.RunUntil([&] { return resent->done; }));
    CHECK(resent->status == 422);
    CHECK(resent->ErrorCode() == "request_quarantined");
  }
  CHECK(CountDeadEngines(system) <= 2);

  REQUIRE(system.RunUntil([&] {
    return std::all_of(concurrent.begin(), concurrent.end(),
                       [](const auto& each) { return each->done; });
  }));
  for (const auto& each : concurrent) {
    CHECK(each->status == 200);
    CHECK(each->StreamText() == reference->StreamText());
  }
  const auto after = system.StartStream(1, "a long letter", 200);
  REQUIRE(system.RunUntil([&] { return after->done; }));
  CHECK(after->StreamText() == reference->StreamText());
  CHECK(system.WrctlJson("quarantine list")["entries"].size() >= 1);
}

}  // namespace
}  // namespace wisteriaroute::testing
