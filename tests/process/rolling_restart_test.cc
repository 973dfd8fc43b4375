// Guards against planned stops that interrupt requests in progress. Stops
// processes one after the other with SIGTERM and restarts them, under load from
// callers that use ready entries only, as the platform's load balancer does.

#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/process/demo_system.h"

namespace wisteriaroute::testing {
namespace {

struct load_generator {
  demo_system& system;
  std::vector<std::shared_ptr<call>> calls = {};
  std::vector<std::shared_ptr<call>> probes = {nullptr, nullptr};
  std::vector<bool> ready = {true, true};

  // Probes readiness, sends a stream and an order to each ready entry, and runs
  // for 50 ms.
  void RunRound() {
    for (std::size_t entry = 0; entry < 2; ++entry) {
      if (probes[entry] == nullptr || probes[entry]->done) {
        if (probes[entry] != nullptr) {
          ready[entry] = probes[entry]->ok && probes[entry]->status == 200;
        }
        probes[entry] = system.Start("GET", system.EntryUrl(entry) + "/readyz");
      }
      if (ready[entry]) {
        const std::string number = std::to_string(calls.size());
        calls.push_back(system.StartStream(entry, "letter " + number, 40));
        calls.push_back(system.StartOrder(entry, "order-" + number, "{}"));
      }
    }
    system.RunFor(50'000);
  }
};

TEST_CASE("no request fails while processes restart under load") {
  demo_system system;
  load_generator running{system};
  std::vector<std::string> names = {"agent-orders-1", "agent-assistant-a-0",
                                    "agent-assistant-b-1"};
  for (const char* prefix : {"entry-", "control-"}) {
    for (const std::string& name : system.ProcessNames(prefix)) {
      names.push_back(name);
    }
  }
  for (const std::string& name : names) {
    CAPTURE(name);
    system.Signal(name, SIGTERM);
    for (int i = 0; i < 60; ++i) {
      running.RunRound();
    }
    system.Terminate(name);
    system.Restart(name);
    for (int i = 0; i < 40; ++i) {
      running.RunRound();
    }
  }
  const bool all_done = system.RunUntil([&] {
    return std::all_of(running.calls.begin(), running.calls.end(),
                       [](const auto& each) { return each->done; });
  });
  for (std::size_t i = 0; i < running.calls.size(); ++i) {
    const call& each = *running.calls[i];
    if (!each.done) {
      MESSAGE((i % 2 == 0 ? "stream " : "order "), i - i % 2,
              " not done after ",
              (base::MonotonicUs() - each.started_us) / 1'000, " ms");
    }
  }
  if (!all_done) {
    MESSAGE(system.Wrctl("timeline --limit 3000 | tail -400").output);
    MESSAGE(system.Wrctl("status").output);
  }
  REQUIRE(all_done);
  MESSAGE(running.calls.size(), " requests");
  int shown = 0;
  for (const auto& each : running.calls) {
    const bool answered =
        each->ok &&
        (each->status == 201 || (each->status == 200 && each->StreamEnded()));
    if (!answered && ++shown <= 5) {
      MESSAGE("status ", each->status, " ", each->body.substr(0, 300));
    }
    CHECK(answered);
  }
}

}  // namespace
}  // namespace wisteriaroute::testing
