#include "tests/control/managed_cluster.h"
#include "tests/raft/schedules.h"

namespace wisteriaroute::raft {
namespace {

TEST_CASE("Raft's safety properties hold while disks are full") {
  SUBCASE("with three voters") {
    RunSchedules("full disks of 3", 3, 0, {.full_disks = true});
  }
  SUBCASE("with replica set changes and wiped disks") {
    RunSchedules("full disks and membership", 3, 2,
                 {.wipes = true, .membership = true, .full_disks = true});
  }
}

// Guards against a full disk that counts as a lost one: its voter must keep its
// vote, and a leader must hand over.
TEST_CASE("disks are full one after another") {
  for (const unsigned tolerated : {1U, 2U}) {
    for (const unsigned further : {0U, 1U}) {
      CAPTURE(tolerated);
      CAPTURE(further);
      const unsigned voters = 2 * tolerated + 1;
      control::managed_cluster system(tolerated, voters, further);
      for (unsigned i = 0; i < further; ++i) {
        system.Start(cluster::Name(voters + i));
      }
      system.RunFor(8 * control::kSecond);
      REQUIRE(system.VoterCount() == voters + further);
      for (int turn = 0; turn < 2; ++turn) {
        for (cluster::node& one : system.replicas.nodes) {
          CAPTURE(one.name);
          const bool led = system.replicas.Leader() == &one;
          system.replicas.SetDiskFull(one, true);
          CHECK(one.state.current_role != role::kLeader);
          // A leader hands over; others don't disturb it.
          system.RunFor(led ? control::kSecond / 2 : kTickPeriodUs);
          CHECK(system.Decides());
          system.RunFor(10 * control::kSecond);
          CHECK(system.Decides());
          CHECK(system.VoterCount() == voters + further);
          CHECK(one.state.current_role == role::kFollower);
          system.replicas.SetDiskFull(one, false);
          system.RunFor(control::kSecond);
          CHECK(system.Decides());
          CHECK(one.machine == system.replicas.Leader()->machine);
        }
      }
      CHECK(system.VoterCount() == voters + further);
    }
  }
}

TEST_CASE("a lone replica goes on once there is room") {
  cluster replicas(1, 0, {});
  replicas.RunFor(2'000'000);
  REQUIRE(replicas.Leader() != nullptr);
  replicas.SetDiskFull(replicas.Get("a"), true);
  replicas.RunFor(3'000'000);
  CHECK(replicas.Leader() == nullptr);
  replicas.SetDiskFull(replicas.Get("a"), false);
  replicas.RunFor(2'000'000);
  CHECK(replicas.Leader() != nullptr);
}

}  // namespace
}  // namespace wisteriaroute::raft
