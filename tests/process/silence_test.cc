// Guards against connections that go silent permanently while new ones work,
// and against a process that is partitioned from control without noticing. Work
// must continue over a new connection without being executed twice, and no new
// work may reach a draining server.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/process/demo_system.h"
#include "tests/process/forwarder.h"

namespace wisteriaroute::testing {
namespace {

/** Restarts the agent with a forwarder for its links from entries. */
std::unique_ptr<forwarder> PutForwarderBeforeAgent(demo_system& system,
                                                   const std::string& agent) {
  auto before = std::make_unique<forwarder>(system.AgentAddress(agent));
  system.Terminate(agent);
  system.AddSetting(agent, "advertise", "\"" + before->address() + "\"");
  system.Restart(agent);
  return before;
}

/** Restarts a process with forwarders for its links to control. */
std::vector<std::unique_ptr<forwarder>> PutForwardersBeforeControl(
    demo_system& system,
    const std::string& process) {
  std::vector<std::unique_ptr<forwarder>> forwarders;
  std::string list;
  for (const std::string& control : system.ControlAddresses()) {
    forwarders.push_back(std::make_unique<forwarder>(control));
    list +=
        (list.empty() ? "\"" : ", \"") + forwarders.back()->address() + "\"";
  }
  system.Terminate(process);
  system.ReplaceSetting(process, "controls", "[" + list + "]");
  system.Restart(process);
  return forwarders;
}

/** Gives both entries time to find all three servers of the orders service. */
void WaitForServers(demo_system& system) {
  system.RunFor(2'500'000);
}

TEST_CASE("orders and drains stay correct when connections go silent") {
  demo_system system;

  SUBCASE("between entries and an agent while orders are under way") {
    std::vector<std::unique_ptr<forwarder>> forwarders;
    for (const std::string& agent : system.ProcessNames("agent-orders")) {
      forwarders.push_back(PutForwarderBeforeAgent(system, agent));
    }
    WaitForServers(system);
    for (int i = 1; i <= 3; ++i) {
      system.SetFaults("standin-orders-" + std::to_string(i),
                       {{"delay_ms", 1'000}});
    }
    std::vector<std::shared_ptr<call>> calls;
    for (int i = 0; i < 6; ++i) {
      calls.push_back(system.StartOrder(static_cast<std::size_t>(i % 2),
                                        "silent-" + std::to_string(i), "{}"));
    }
    system.RunFor(300'000);
    const base::time_us silenced = base::MonotonicUs();
    for (const auto& each : forwarders) {
      each->SilenceOpenConnections();
    }
    for (std::size_t i = 0; i < calls.size(); ++i) {
      REQUIRE(system.RunUntil([&] { return calls[i]->done; }));
      CHECK(calls[i]->status == 201);
      // 3 s is the target for replacing a silent connection.
      CHECK(calls[i]->ended_us - silenced < 3'000'000);
      CHECK(system.CountBookingsWithKey("silent-" + std::to_string(i)) == 1);
    }
  }

  SUBCASE("between an entry and control while an order is claimed") {
    const auto forwarders = PutForwardersBeforeControl(system, "entry-1");
    WaitForServers(system);
    const auto before = system.StartOrder(0, "before", "{}");
    REQUIRE(system.RunUntil([&] { return before->done; }));
    REQUIRE(before->status == 201);
    const base::time_us silenced = base::MonotonicUs();
    for (const auto& each : forwarders) {
      each->SilenceOpenConnections();
    }
    const auto during = system.StartOrder(0, "during", "{}");
    REQUIRE(system.RunUntil([&] { return during->done; }));
    MESSAGE("status ", during->status, " after ",
            (during->ended_us - silenced) / 1'000, " ms ", during->body);
    // Either the connection is replaced before the lease of 2.5 s ends, or the
    // caller gets 503 and may resend.
    CHECK((during->status == 201 || during->status == 503));
    system.RunFor(3'000'000);
    const auto resent = system.StartOrder(0, "during", "{}");
    REQUIRE(system.RunUntil([&] { return resent->done; }));
    CHECK(resent->status == 201);
    CHECK(system.CountBookingsWithKey("during") == 1);
  }

  SUBCASE("between a draining agent and control, and its entries") {
    const auto to_control =
        PutForwardersBeforeControl(system, "agent-orders-1");
    const auto to_entries = PutForwarderBeforeAgent(system, "agent-orders-1");
    WaitForServers(system);
    for (const auto& each : to_control) {
      each->SetPartitioned(true);
    }
    // The partitioned agent doesn't learn of the drain.
    CHECK(system.Wrctl("drain agent-orders-1").status == 0);
    system.RunFor(3'000'000);
    const std::size_t executed = system.CountBookingsAt("standin-orders-1");
    for (int i = 0; i < 30; ++i) {
      const auto order =
          system.StartOrder(static_cast<std::size_t>(i % 2),
                            "drained-" + std::to_string(i), "{}");
      REQUIRE(system.RunUntil([&] { return order->done; }));
      CHECK(order->status == 201);
    }
    CHECK(system.CountBookingsAt("standin-orders-1") == executed);
  }

  SUBCASE("between an entry and all of control, for longer than its lease") {
    const auto forwarders = PutForwardersBeforeControl(system, "entry-1");
    WaitForServers(system);
    REQUIRE(system.Get(system.EntryUrl(0) + "/readyz")->status == 200);
    for (const auto& each : forwarders) {
      each->SetPartitioned(true);
    }
    CHECK(system.Wrctl("drain agent-orders-1").status == 0);
    system.RunFor(3'000'000);
    CHECK(system.Get(system.EntryUrl(0) + "/readyz")->status == 503);
    CHECK(system.Get(system.EntryUrl(1) + "/readyz")->status == 200);
    const std::size_t executed = system.CountBookingsAt("standin-orders-1");
    const auto order = system.StartOrder(0, "cut-off", "{}");
    REQUIRE(system.RunUntil([&] { return order->done; }));
    CHECK(order->status == 503);
    CHECK(system.CountBookingsAt("standin-orders-1") == executed);
    for (const auto& each : forwarders) {
      each->SetPartitioned(false);
    }
    system.RunFor(4'000'000);
    CHECK(system.Get(system.EntryUrl(0) + "/readyz")->status == 200);
  }
}

}  // namespace
}  // namespace wisteriaroute::testing
