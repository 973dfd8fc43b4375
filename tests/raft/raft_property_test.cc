#include "tests/raft/schedules.h"

namespace wisteriaroute::raft {
namespace {

TEST_CASE("Raft's safety properties hold under random schedules") {
  SUBCASE("with three voters, lost messages, crashes and partitions") {
    RunSchedules("crashes", 3, 0, {});
  }
  SUBCASE("with three voters and wiped disks") {
    RunSchedules("wipes of 3", 3, 0, {.wipes = true});
  }
  SUBCASE("with five voters and wiped disks") {
    RunSchedules("wipes of 5", 5, 0, {.wipes = true});
  }
  SUBCASE("with replica set changes and wiped disks") {
    RunSchedules("membership", 3, 2, {.wipes = true, .membership = true});
  }
}

}  // namespace
}  // namespace wisteriaroute::raft
