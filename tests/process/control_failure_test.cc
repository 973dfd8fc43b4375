// Guards the configuration while control hosts fail: a published revision is in
// force everywhere within seconds and is never reverted. Also checks that
// entries without a control quorum refuse new work.

#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "tests/process/demo_system.h"

namespace wisteriaroute::testing {
namespace {

bool IsReady(demo_system& system, std::size_t entry) {
  return system.Get(system.EntryUrl(entry) + "/readyz")->status == 200;
}

std::string Publish(demo_system& system, int base, const std::string& id) {
  return system
      .Wrctl("publish " + system.ExamplePath("regie") + " --operation-id " +
             id + " --base " + std::to_string(base))
      .output;
}

/** Waits until a leader other than `old` answers; returns the time taken. */
base::time_us WaitForLeader(demo_system& system, const std::string& old) {
  const base::time_us start = base::MonotonicUs();
  system.RunUntil(
      [&] {
        const std::string leader = system.Leader();
        return !leader.empty() && leader != old;
      },
      10'000'000);
  return base::MonotonicUs() - start;
}

/** Publishes `count` revisions that differ in one field. */
void PublishMany(demo_system& system, int base, int count) {
  const std::string set = system.directory() + "/set";
  std::filesystem::copy(system.ExamplePath("regie"), set,
                        std::filesystem::copy_options::recursive);
  for (int i = 0; i < count; ++i) {
    std::ofstream(set + "/extra.toml")
        << "[model.extra]\nversion = \"" << i << "\"\n";
    REQUIRE(system
                .Wrctl("publish " + set + " --base " +
                       std::to_string(base + i) + " --operation-id many-" +
                       std::to_string(i))
                .status == 0);
  }
}

/** Whether the replica is a voter and holds the whole log. */
bool IsCaughtUpVoter(demo_system& system, const std::string& name) {
  const nlohmann::json members = system.WrctlJson("members");
  std::uint64_t last = 0;
  std::uint64_t held = 0;
  bool voter = false;
  for (const auto& replica : members["replicas"]) {
    const std::uint64_t match = replica["match_index"];
    last = std::max(last, match);
    if (replica["name"] == name) {
      held = match;
      voter = replica["voter"];
    }
  }
  return voter && held > 0 && held == last;
}

TEST_CASE("the system survives failures of control hosts") {
  demo_system system;
  const std::string leader = system.Leader();

  SUBCASE("a killed leader is replaced within 3 s and no request fails") {
    std::vector<std::shared_ptr<call>> calls;
    system.Kill(leader);
    const base::time_us killed = base::MonotonicUs();
    base::time_us taken = 0;
    while (base::MonotonicUs() < killed + 4'000'000) {
      calls.push_back(system.StartStream(calls.size() % 2, "x", 2));
      system.RunFor(50'000);
      if (taken == 0 && !system.Leader().empty()) {
        taken = base::MonotonicUs() - killed;
      }
    }
    MESSAGE("a new leader answered after ", taken / 1'000, " ms");
    CHECK(taken > 0);
    CHECK(taken < 3'000'000);
    REQUIRE(system.RunUntil([&] {
      return std::all_of(calls.begin(), calls.end(),
                         [](const auto& each) { return each->done; });
    }));
    for (const auto& each : calls) {
      CHECK(each->status == 200);
    }
  }

  SUBCASE("a frozen leader that resumes reverts nothing") {
    CHECK(Publish(system, 1, "before").find("revision 2") != std::string::npos);
    system.Signal(leader, SIGSTOP);
    WaitForLeader(system, leader);
    CHECK(Publish(system, 2, "after").find("revision 3") != std::string::npos);
    CHECK(system.Wrctl("status --wait --timeout-s 10").status == 0);
    system.Signal(leader, SIGCONT);
    system.RunFor(3'000'000);
    const auto status = system.WrctlJson("status");
    CHECK(status["revision"] == 3);
    for (const auto& process : status["processes"]) {
      CHECK(process["revision"] == 3);
    }
    CHECK(Publish(system, 2, "before").find("revision 2") != std::string::npos);
  }

  SUBCASE("without a quorum, entries refuse new work and aren't ready") {
    const auto stream = system.StartStream(0, "a long letter", 600);
    REQUIRE(system.RunUntil([&] { return stream->body.size() > 1'000; }));
    for (const std::string& name : system.ProcessNames("control-")) {
      system.Signal(name, SIGSTOP);
    }
    system.RunFor(3'000'000);
    CHECK_FALSE(IsReady(system, 0));
    CHECK_FALSE(IsReady(system, 1));
    const auto refused = system.StartStream(1, "x", 2);
    const auto order = system.StartOrder(1, "no-quorum", "{}");
    REQUIRE(system.RunUntil([&] { return refused->done && order->done; }));
    CHECK(refused->status == 503);
    CHECK(refused->Outcome() == "not_run");
    // Without control the entry doesn't know whether an earlier call with this
    // key ran, so it must not answer "not_run".
    CHECK(order->status == 503);
    CHECK(order->Outcome() == "unknown");
    REQUIRE(system.RunUntil([&] { return stream->done; }));
    CHECK(stream->StreamEnded());
    for (const std::string& name : system.ProcessNames("control-")) {
      system.Signal(name, SIGCONT);
    }
    bool ready = false;
    for (int i = 0; i < 50 && !ready; ++i) {
      system.RunFor(100'000);
      ready = IsReady(system, 0) && IsReady(system, 1);
    }
    CHECK(ready);
    CHECK(system.CountBookingsWithKey("no-quorum") == 0);
  }

  SUBCASE("an entry that missed 500 changes is ready within 2 s") {
    system.Terminate("entry-2");
    PublishMany(system, 1, 500);
    system.Restart("entry-2");
    const base::time_us started = base::MonotonicUs();
    bool ready = false;
    while (!ready && base::MonotonicUs() < started + 10'000'000) {
      ready = IsReady(system, 1);
      system.RunFor(10'000);
    }
    const base::time_us taken = base::MonotonicUs() - started;
    MESSAGE("ready after ", taken / 1'000, " ms");
    CHECK(ready);
    CHECK(taken < 2'000'000);
    CHECK(system.Wrctl("status --wait --timeout-s 10").status == 0);
    CHECK(system.WrctlJson("status")["in_force"] == 501);
  }

  SUBCASE("a replica that lost its disk rejoins, then the leader may fail") {
    CHECK(Publish(system, 1, "first").find("revision 2") != std::string::npos);
    std::string follower;
    std::string other;
    for (const std::string& name : system.ProcessNames("control-")) {
      if (name != leader) {
        (follower.empty() ? follower : other) = name;
      }
    }
    system.Kill(follower);
    std::filesystem::remove_all(system.directory() + "/data/" + follower);
    system.Restart(follower);
    const bool votes =
        system.RunUntil([&] { return IsCaughtUpVoter(system, follower); });
    INFO(system.WrctlJson("members")["replicas"].dump());
    REQUIRE(votes);
    system.RunFor(2'000'000);
    system.Kill(leader);
    WaitForLeader(system, leader);
    CHECK(system.WrctlJson("status")["revision"] == 2);
    CHECK(Publish(system, 2, "second").find("revision 3") != std::string::npos);
    CHECK(system.Wrctl("status --wait --timeout-s 10").status == 0);
  }
}

}  // namespace
}  // namespace wisteriaroute::testing
