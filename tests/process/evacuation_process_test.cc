#include <doctest/doctest.h>
#include <signal.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "tests/process/gateway_process_harness.h"

namespace wisteriaroute::testing {
namespace {

constexpr const char* kPath = "/v1/evacuations/north-b";
constexpr const char* kEvacuatedServer = "desk-c";

class evacuation_system : public gateway_system {
 public:
  /** Requests that the servers of north-b have run. */
  std::uint64_t CountThere() {
    const auto answer = Get(ServerUrl(kEvacuatedServer) + "/standin/runs");
    return nlohmann::json::parse(answer->body)["arrived"].get<std::uint64_t>();
  }

  /** Gives an order until it is acknowledged; nothing if no replica does. */
  bool Order(const std::string& method, const std::string& path = kPath) {
    for (int i = 0; i < 300; ++i) {
      const auto answer =
          CallControl(static_cast<std::size_t>(i % 3), method, path);
      if (answer->status == 200) {
        return true;
      }
      RunFor(50'000);
    }
    return false;
  }

  /** The replica that acknowledges an order itself. */
  std::size_t FindLeader() {
    for (int i = 0; i < 300; ++i) {
      const auto replica = static_cast<std::size_t>(i % 3);
      if (CallControl(replica, "PUT", kPath)->status == 200) {
        return replica;
      }
      RunFor(50'000);
    }
    throw std::runtime_error("no replica acknowledges an order");
  }

  /** Sends requests to both gateways. Returns how many were answered. */
  int Ask(int count) {
    int answered = 0;
    for (int i = 0; i < count; ++i) {
      const auto answer =
          StartAndWait(static_cast<std::size_t>(i % 2), "/lookup/1",
                       "r-" + std::to_string(++requests_));
      answered += answer->status == 200 ? 1 : 0;
    }
    return answered;
  }

  /** Sends requests until one reaches north-b. */
  bool ReachesIt() {
    const std::uint64_t before = CountThere();
    for (int i = 0; i < 50; ++i) {
      Ask(6);
      if (CountThere() > before) {
        return true;
      }
      RunFor(100'000);
    }
    return false;
  }

  /** Whether both gateways show the evacuation as started or ended. */
  bool BothShow(bool evacuated) {
    const std::string line =
        std::string(
            "wisteriaroute_data_center_evacuated{data_center=\"north-b\"} ") +
        (evacuated ? "1" : "0") + "\n";
    for (int i = 0; i < 500; ++i) {
      if (Get(MetricsUrl("gateway-0"))->body.find(line) != std::string::npos &&
          Get(MetricsUrl("gateway-1"))->body.find(line) != std::string::npos) {
        return true;
      }
      RunFor(20'000);
    }
    return false;
  }

 private:
  int requests_ = 0;
};

// Guards against an acknowledged evacuation that is lost with the processes of
// control or of the gateways, and against one that can't be ended.
TEST_CASE("an evacuation survives the restart of all of control") {
  evacuation_system system;
  system.PublishAndWait();
  REQUIRE(system.ReachesIt());

  REQUIRE(system.Order("PUT"));
  REQUIRE(system.BothShow(true));
  std::uint64_t there = system.CountThere();
  CHECK(system.Ask(40) == 40);
  CHECK(system.CountThere() == there);

  for (const char* replica : {"control-0", "control-1", "control-2"}) {
    system.SignalAndWait(replica, SIGKILL);
  }
  for (const char* replica : {"control-0", "control-1", "control-2"}) {
    system.StartProcess(replica);
  }
  // A new process knows only what it hears from control.
  system.SignalAndWait("gateway-1", SIGKILL);
  system.StartProcess("gateway-1");
  REQUIRE(system.RunUntil([] { return false; }, 1'000'000) == false);
  REQUIRE(system.BothShow(true));
  for (int i = 0; i < 200 && system.Ask(2) != 2; ++i) {
    system.RunFor(100'000);
  }
  CHECK(system.CountThere() == there);
  CHECK(system.Ask(40) == 40);
  CHECK(system.CountThere() == there);

  REQUIRE(system.Order("DELETE"));
  REQUIRE(system.BothShow(false));
  CHECK(system.ReachesIt());
}

// Guards against operators that get no definite answer, or the wrong one.
TEST_CASE("each order to control gets a definite answer") {
  evacuation_system system;
  system.PublishAndWait();

  SUBCASE("an order that is repeated is acknowledged") {
    CHECK(system.Order("DELETE"));
    CHECK(system.Order("PUT"));
    CHECK(system.Order("PUT"));
    CHECK(system.Order("DELETE"));
    CHECK(system.Order("DELETE"));
  }
  SUBCASE("the leader refuses a body, the others name the leader") {
    int refused = 0;
    int redirected = 0;
    for (std::size_t replica = 0; replica < 3; ++replica) {
      const auto answer = system.CallControl(replica, "PUT", kPath, "{}");
      refused += answer->status == 400 ? 1 : 0;
      redirected += answer->status == 307 ? 1 : 0;
    }
    CHECK(refused == 1);
    CHECK(redirected == 2);
  }
  // Guards against calls that are lost while they wait to be decoded.
  SUBCASE("also beside more large configurations than may wait") {
    const std::size_t leader = system.FindLeader();
    const std::string padding = "# " + std::string(200'000, 'x') + "\n";
    std::vector<std::shared_ptr<call>> calls;
    for (std::uint64_t version = 2; version < 10; ++version) {
      calls.push_back(system.StartControlCall(
          leader, "PUT", "/v1/traffic",
          gateway_system::TrafficToml(version) + padding));
    }
    calls.push_back(system.StartControlCall(leader, "DELETE", kPath));
    for (const auto& one : calls) {
      REQUIRE(system.RunUntil([&] { return one->done; }));
      CHECK(one->status == 200);
    }
    CHECK(system.BothShow(false));
    CHECK(system.RunUntil([&] {
      return system.ReadLog("gateway-0").find("version=9") != std::string::npos;
    }));
  }
  SUBCASE("wrctl gives the orders and shows the state") {
    CHECK(system.Operate("evacuate north-b").status == 0);
    const command_result status = system.Operate("status --output json");
    CHECK(nlohmann::json::parse(status.output)["evacuated"] ==
          nlohmann::json::array({"north-b"}));
    CHECK(system.BothShow(true));
    CHECK(system.Operate("end-evacuation north-b").status == 0);
    CHECK(nlohmann::json::parse(
              system.Operate("status --output json").output)["evacuated"]
              .empty());
  }
  SUBCASE("a data centre that the settings don't list is refused") {
    for (const char* replica : {"control-0", "control-1", "control-2"}) {
      std::string text = system.ReadSettings(replica);
      const std::string table = "[control]\n";
      text.insert(text.find(table) + table.size(),
                  "data_centers = [\"north-b\"]\n");
      system.WriteSettings(replica, text);
      system.Signal(replica, SIGHUP);
    }
    bool found = false;
    for (int i = 0; i < 300 && !found; ++i) {
      const auto answer = system.CallControl(static_cast<std::size_t>(i % 3),
                                             "PUT", "/v1/evacuations/nowhere");
      found = answer->status == 404;
      system.RunFor(20'000);
    }
    CHECK(found);
    CHECK(system.Order("PUT"));
  }
}

}  // namespace
}  // namespace wisteriaroute::testing
