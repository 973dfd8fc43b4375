#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "tests/gateway/cold_servers_simulation.h"

namespace wisteriaroute::gateway {
namespace {

world_options DrawOptions() {
  return {.entries = *rc::gen::inRange(1, 20),
          .servers = *rc::gen::inRange(1, 4),
          .per_s = *rc::gen::inRange(1, 80) / 2.0,
          .demand = *rc::gen::inRange(10, 60) * 1.0};
}

// Guards against servers that crash because they start: the entries together
// sent a cold one more than it sustains.
TEST_CASE("a cold server gets at most its rate and the margin") {
  CHECK(rc::check([] {
    const world_options options = DrawOptions();
    simulation run(options, *rc::gen::arbitrary<std::uint64_t>());
    run.Run();
    RC_LOG() << "entries " << options.entries << " servers " << options.servers
             << " rate " << options.per_s << " demand " << options.demand
             << " worst " << run.Worst();
    RC_ASSERT(run.Worst() <= Bound(options));
  }));
}

// Guards against a property that would hold without the limit, and a limit that
// holds because cold servers get nothing.
TEST_CASE("the same world without the limit exceeds it") {
  world_options options{.entries = 14, .servers = 2, .per_s = 8, .demand = 20};
  simulation limited(options, 1);
  limited.Run();
  CHECK(limited.Worst() <= Bound(options));
  CHECK(limited.ColdRequests() >= 60);
  options.limits = false;
  simulation unlimited(options, 1);
  unlimited.Run();
  CHECK(unlimited.Worst() > 2 * Bound(options));
}

}  // namespace
}  // namespace wisteriaroute::gateway
