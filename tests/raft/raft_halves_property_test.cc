#include "tests/raft/schedules.h"

namespace wisteriaroute::raft {
namespace {

TEST_CASE("Raft's safety properties hold while half of the disks are lost") {
  SUBCASE("with four voters, of which half may lose their disks") {
    RunSchedules("wipes of 4", 4, 0, {.wipes = true, .halves = true});
  }
  SUBCASE("with six voters, of which half may lose their disks") {
    RunSchedules("wipes of 6", 6, 0, {.wipes = true, .halves = true});
  }
  SUBCASE("with replica set changes and half of the disks lost") {
    RunSchedules("membership with halves", 4, 2,
                 {.wipes = true, .membership = true, .halves = true});
  }
}

}  // namespace
}  // namespace wisteriaroute::raft
