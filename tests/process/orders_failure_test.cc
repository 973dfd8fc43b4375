// Guards against calls that run twice though they may run at most once, and
// against calls that were reported as "not run" but ran. Kills and freezes
// processes while such a call is in progress.

#include <doctest/doctest.h>
#include <signal.h>

#include <string>
#include <vector>

#include "tests/process/demo_system.h"

namespace wisteriaroute::testing {
namespace {

const std::vector<std::string> kOrderStandins = {
    "standin-orders-1", "standin-orders-2", "standin-orders-3"};

void DelayOrders(demo_system& system, int delay_ms) {
  for (const std::string& name : kOrderStandins) {
    system.SetFaults(name, {{"delay_ms", delay_ms}});
  }
}

/** Resends a call until it gets a response other than 503. */
std::shared_ptr<call> Resend(demo_system& system,
                             std::size_t entry,
                             const std::string& key,
                             const std::string& body) {
  std::shared_ptr<call> last;
  system.RunUntil(
      [&] {
        if (last == nullptr ||
            (last->done && (!last->ok || last->status == 503))) {
          last = system.StartOrder(entry, key, body);
        }
        return last->done && last->ok && last->status != 503;
      },
      20'000'000);
  return last;
}

TEST_CASE("an order runs at most once while processes fail") {
  demo_system system;

  SUBCASE("when its entry is killed, a resend to the other one gets 201") {
    DelayOrders(system, 700);
    const auto first = system.StartOrder(0, "killed-entry", "{}");
    system.RunFor(300'000);
    system.Kill("entry-1");
    const auto resent = Resend(system, 1, "killed-entry", "{}");
    CHECK(resent->status == 201);
    CHECK(system.CountBookingsWithKey("killed-entry") == 1);
  }

  SUBCASE("when its agent is killed, the outcome stays unknown") {
    DelayOrders(system, 700);
    const auto first = system.StartOrder(0, "killed-agent", "{}");
    system.RunFor(300'000);
    for (const std::string& name : system.ProcessNames("agent-orders")) {
      system.Kill(name);
    }
    REQUIRE(system.RunUntil([&] { return first->done; }));
    CHECK(first->Outcome() == "unknown");
    for (const std::string& name : system.ProcessNames("agent-orders")) {
      system.Restart(name);
    }
    system.RunFor(1'000'000);
    const auto resent = Resend(system, 1, "killed-agent", "{}");
    CHECK(resent->Outcome() == "unknown");
    CHECK(system.CountBookingsWithKey("killed-agent") <= 1);
  }

  SUBCASE("when the control leader is killed, parallel resends run once") {
    DelayOrders(system, 400);
    const auto first = system.StartOrder(0, "killed-leader", "{}");
    system.RunFor(100'000);
    system.Kill(system.Leader());
    const auto second = system.StartOrder(1, "killed-leader", "{}");
    const auto resent = Resend(system, 1, "killed-leader", "{}");
    REQUIRE(system.RunUntil([&] { return first->done && second->done; }));
    CHECK(resent->status == 201);
    CHECK(system.CountBookingsWithKey("killed-leader") == 1);
  }

  SUBCASE("when its server is frozen, an outcome of not run is true") {
    const auto before = system.StartOrder(0, "warm-up", "{}");
    REQUIRE(system.RunUntil([&] { return before->done; }));
    for (const std::string& name : kOrderStandins) {
      system.Signal(name, SIGSTOP);
    }
    const auto first = system.StartOrder(0, "frozen", "{}");
    REQUIRE(system.RunUntil([&] { return first->done; }, 40'000'000));
    CHECK(first->status != 201);
    for (const std::string& name : kOrderStandins) {
      system.Signal(name, SIGCONT);
    }
    system.RunFor(2'000'000);
    const std::size_t executed = system.CountBookingsWithKey("frozen");
    CHECK(executed <= 1);
    if (first->Outcome() == "not_run") {
      CHECK(executed == 0);
    }
    const auto resent = Resend(system, 1, "frozen", "{}");
    CHECK(system.CountBookingsWithKey("frozen") <= 1);
    if (resent->Outcome() == "not_run") {
      CHECK(system.CountBookingsWithKey("frozen") == 0);
    }
  }

  SUBCASE("and another body under the same key is refused") {
    const auto first = system.StartOrder(0, "reused", "{}");
    REQUIRE(system.RunUntil([&] { return first->done; }));
    const auto other = system.StartOrder(1, "reused", R"({"machine":2})");
    REQUIRE(system.RunUntil([&] { return other->done; }));
    CHECK(other->status == 422);
    CHECK(other->ErrorCode() == "key_reused");
    CHECK(system.CountBookingsWithKey("reused") == 1);
  }
}

}  // namespace
}  // namespace wisteriaroute::testing
