#include <doctest/doctest.h>

#include "tests/gateway/cold_servers_simulation.h"

namespace wisteriaroute::gateway {
namespace {

// Guards against entries without contact to control that don't notice that a
// server has started again: they send it as much as a warm one.
TEST_CASE("entries that are cut off from control keep to the rate, too") {
  for (const double per_s : {0.5, 8.0}) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      const world_options options{.entries = 7,
                                  .servers = 1 + static_cast<int>(seed % 3),
                                  .per_s = per_s,
                                  .demand = 10,
                                  .cut_off = true};
      simulation run(options, seed);
      run.Run();
      CAPTURE(per_s);
      CAPTURE(seed);
      CHECK(run.Worst() <= Bound(options));
    }
  }
}

}  // namespace
}  // namespace wisteriaroute::gateway
