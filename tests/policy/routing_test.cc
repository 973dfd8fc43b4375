#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

#include "tests/policy/naive_routing.h"

namespace wisteriaroute::policy {

namespace {

std::vector<routing_candidate> AnyCandidates() {
  const auto size = *rc::gen::inRange<std::size_t>(0, 60);
  std::vector<routing_candidate> out(size);
  for (auto& of : out) {
    of.slots = *rc::gen::inRange(0U, 5U);
    of.reported_running = *rc::gen::inRange(0U, 6U);
    of.reported_queued = *rc::gen::inRange(0U, 3U);
    of.step_time_us = *rc::gen::element(0U, 10'000U, 20'000U, 80'000U);
    of.same_region = *rc::gen::arbitrary<bool>();
    of.same_data_center = of.same_region && *rc::gen::arbitrary<bool>();
    of.failures = *rc::gen::inRange(0U, 3U);
    of.cached_tokens = *rc::gen::inRange(0U, 3'000U);
  }
  return out;
}

}  // namespace

TEST_CASE("the chosen server has room and nearly the shortest expected wait") {
  // Guards against choosing a full server, overlooking a candidate with room,
  // and waits far above the shortest one.
  CHECK(rc::check([] {
    const auto candidates = AnyCandidates();
    const routing_request request{
        .prompt_tokens = *rc::gen::inRange(0U, 4'000U),
        .expected_tokens = *rc::gen::inRange(0U, 500U)};
    const auto chosen =
        Choose(candidates, request, *rc::gen::arbitrary<std::uint64_t>());
    const std::size_t least = naive::LeastWait(candidates, request);
    RC_ASSERT(chosen.has_value() == (least < candidates.size()));
    if (chosen) {
      RC_ASSERT(*chosen < candidates.size());
      RC_ASSERT(HasRoom(candidates[*chosen]));
      RC_ASSERT(ExpectedWaitUs(candidates[*chosen], request) <=
                ExpectedWaitUs(candidates[least], request) * 1.1 + 2'001);
    }
  }));
}

}  // namespace wisteriaroute::policy
