#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "tests/control/managed_cluster.h"

namespace wisteriaroute::control {
namespace {

constexpr base::time_us kCatchUp = 4 * kSecond;

std::string LeaderName(managed_cluster& system) {
  raft::cluster::node* leader = system.replicas.Leader();
  return leader == nullptr ? std::string() : leader->name;
}

/** A live host that isn't `besides`: the leader, or the first other one. */
std::string PickHost(managed_cluster& system,
                     bool leads,
                     const std::string& besides) {
  const std::string leader = LeaderName(system);
  if (leads && leader != besides) {
    return leader;
  }
  for (const auto& one : system.replicas.nodes) {
    if (one.alive && one.name != leader && one.name != besides) {
      return one.name;
    }
  }
  return {};
}

// Guards against review/6: after a planned replacement four replicas had a vote
// for some seconds. A host that was lost meanwhile ended control for good.
TEST_CASE("a host is lost for good after a planned replacement") {
  for (const bool replaced_leads : {true, false}) {
    for (const bool lost_leads : {true, false}) {
      for (const base::time_us gap : {base::time_us{0}, kSecond / 50,
                                      kSecond / 2, 2 * kSecond, 4 * kSecond}) {
        CAPTURE(replaced_leads);
        CAPTURE(lost_leads);
        CAPTURE(gap);
        managed_cluster system(1, 3, 2);
        REQUIRE(system.Decides());
        system.Start("d");
        system.RunFor(kCatchUp);
        CHECK(system.VoterCount() == 4);
        const std::string replaced = PickHost(system, replaced_leads, "d");
        system.TerminateAndWait(replaced);
        system.RunFor(gap);
        system.Lose(PickHost(system, lost_leads, "d"));
        system.RunFor(3 * kSecond);
        REQUIRE(system.Decides());
        system.Start("e");
        system.RunFor(kCatchUp);
        CHECK(system.VoterCount() == 3);
        CHECK(system.Decides());
      }
    }
  }
}

// Guards against the other form of review/6: the first host is lost without a
// word, too, and the next one once the successor has had its time.
TEST_CASE("hosts are lost for good one after the other") {
  for (const unsigned tolerated : {1U, 2U}) {
    for (const bool leads : {true, false}) {
      CAPTURE(tolerated);
      CAPTURE(leads);
      managed_cluster system(tolerated, 2 * tolerated + 1, 6);
      REQUIRE(system.Decides());
      for (unsigned next = 2 * tolerated + 1; next + tolerated < 10;) {
        std::vector<std::string> successors;
        for (unsigned i = 0; i < tolerated; ++i) {
          system.Lose(PickHost(system, leads, ""));
          system.RunFor(i == 0 ? kSecond / 10 : kSecond);
          successors.push_back(raft::cluster::Name(next++));
        }
        for (const std::string& name : successors) {
          system.Start(name);
        }
        system.RunFor(kCatchUp);
        CHECK(system.VoterCount() == 2 * tolerated + 1);
        REQUIRE(system.Decides());
      }
    }
  }
}

// The process may be unable to tell the others, or may be killed before it has.
TEST_CASE("a leaving process that can't say so is replaced by its silence") {
  managed_cluster system(1, 3, 2);
  system.Start("d");
  system.RunFor(kCatchUp);
  const std::string replaced = PickHost(system, true, "d");
  for (const auto& one : system.replicas.nodes) {
    system.replicas.cut_links.insert({replaced, one.name});
    system.replicas.cut_links.insert({one.name, replaced});
  }
  system.Terminate(replaced);
  system.RunFor(kCatchUp);
  system.Lose(replaced);
  CHECK(system.VoterCount() == 3);
  system.Lose(PickHost(system, true, "d"));
  system.RunFor(3 * kSecond);
  CHECK(system.Decides());
}

TEST_CASE("processes restart in turn and keep their votes") {
  managed_cluster system(1, 3, 0);
  for (const char* name : {"a", "b", "c"}) {
    const base::time_us began = system.replicas.now_us;
    system.TerminateAndWait(name);
    CHECK(system.replicas.now_us - began < kSecond);
    system.RunFor(kSecond);
    system.Start(name);
    system.RunFor(2 * kSecond);
    CHECK(system.VoterCount() == 3);
    CHECK(system.Decides());
  }
}

TEST_CASE("a host is lost while another one's process is leaving") {
  for (const bool lost_leads : {true, false}) {
    CAPTURE(lost_leads);
    managed_cluster system(1, 3, 1);
    system.Start("d");
    system.RunFor(kCatchUp);
    system.Terminate("a");
    const std::string lost = PickHost(system, lost_leads, "a");
    system.Lose(lost == "d" ? "b" : lost);
    while (!system.HasStopped("a")) {
      system.RunFor(raft::kTickPeriodUs);
    }
    system.RunFor(3 * kSecond);
    CHECK(system.Decides());
  }
}

TEST_CASE("two of five hosts are replaced at the same time") {
  managed_cluster system(2, 5, 3);
  for (const char* name : {"f", "g"}) {
    system.Start(name);
  }
  system.RunFor(2 * kCatchUp);
  CHECK(system.VoterCount() == 7);
  system.Terminate("a");
  system.Terminate("b");
  while (!system.HasStopped("a") || !system.HasStopped("b")) {
    system.RunFor(raft::kTickPeriodUs);
  }
  system.Lose("c");
  system.Lose("d");
  system.RunFor(3 * kSecond);
  CHECK(system.Decides());
}

/** What a random schedule of replacements does. */
struct host_schedule {
  unsigned tolerated = 1;
  std::vector<std::uint32_t> choices;
};

/**
 * Replaces random hosts, planned or not, in series. A host counts as lost until
 * its successor has had kCatchUp; at most `tolerated` count at the same time.
 */
void ReplaceHosts(const host_schedule& schedule) {
  managed_cluster system(schedule.tolerated, 2 * schedule.tolerated + 1, 12);
  unsigned next = 2 * schedule.tolerated + 1;
  std::vector<base::time_us> counted_until;
  for (const std::uint32_t choice : schedule.choices) {
    if (next >= system.replicas.nodes.size()) {
      break;
    }
    std::erase_if(counted_until, [&](base::time_us until) {
      return until <= system.replicas.now_us;
    });
    const std::string successor = raft::cluster::Name(next++);
    const std::string target = PickHost(system, choice % 2 == 0, "");
    if (choice / 2 % 2 == 0) {
      system.Start(successor);
      system.RunFor(kCatchUp);
      system.TerminateAndWait(target);
    } else if (counted_until.size() < schedule.tolerated) {
      system.Lose(target);
      system.RunFor(kSecond * (choice / 4 % 3) / 2);
      system.Start(successor);
      counted_until.push_back(system.replicas.now_us + kCatchUp);
    }
    const bool wait = counted_until.size() == schedule.tolerated;
    system.RunFor(wait ? kCatchUp : kSecond * (choice / 16 % 8) / 4);
  }
  system.RunFor(3 * kSecond);
  RC_ASSERT(system.Decides());
  system.RunFor(2 * kCatchUp);
  // All live hosts vote, but for one of an even number beyond 2f + 2.
  const auto live = static_cast<std::size_t>(std::ranges::count_if(
      system.replicas.nodes, [](const auto& one) { return one.alive; }));
  RC_ASSERT(live >= 2 * schedule.tolerated + 1);
  RC_ASSERT(system.VoterCount() ==
            (live <= 2 * schedule.tolerated + 2 ? live : (live - 1) | 1U));
}

TEST_CASE("control survives any series of replaced hosts") {
  CHECK(rc::check("series of replaced hosts", [] {
    host_schedule schedule;
    schedule.tolerated = *rc::gen::inRange(1U, 3U);
    schedule.choices = *rc::gen::container<std::vector<std::uint32_t>>(
        8, rc::gen::noShrink(rc::gen::resize(
               rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>())));
    try {
      ReplaceHosts(schedule);
    } catch (const raft::violation& broken) {
      RC_FAIL(broken.what());
    }
  }));
}

}  // namespace
}  // namespace wisteriaroute::control
