#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <iostream>

#include "tests/agent/agent_world.h"

namespace wisteriaroute::agent {
namespace {

constexpr int kSchedules = 1'500;
constexpr int kFullSize = 100;

}  // namespace

void showValue(const action& shown, std::ostream& out) {
  out << "{" << shown.kind << "," << shown.which << "," << shown.how << "}";
}

namespace {

rc::Gen<action> AnyAction() {
  const auto number = rc::gen::resize(kFullSize, rc::gen::inRange(0, 840));
  return rc::gen::build<action>(rc::gen::set(&action::kind, number),
                                rc::gen::set(&action::which, number),
                                rc::gen::set(&action::how, number));
}

template <typename Property>
bool Holds(Property property) {
  auto params = rc::detail::configuration().testParams;
  params.maxSuccess = kSchedules;
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << "\n";
  return result.template is<rc::detail::SuccessResult>();
}

// Messages between entry and agent are repeated, lost and reordered while both
// the agent and the backend server restart. Guards against attempts that start
// twice or run after they were reported as never run, and against responses
// with gaps, repeated parts or parts of other responses.
TEST_CASE("attempts run at most once and responses are complete") {
  CHECK(Holds([] {
    const auto schedule = *rc::gen::scale(
        3.0, rc::gen::container<std::vector<action>>(AnyAction()));
    agent_world world;
    for (const action& next : schedule) {
      world.Run(next);
    }
    world.Settle();
  }));
}

}  // namespace
}  // namespace wisteriaroute::agent
