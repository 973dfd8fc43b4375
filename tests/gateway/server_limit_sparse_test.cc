// Guards against a limit that is far from the real one because each of many
// entries sees few responses of a server.

#include <doctest/doctest.h>

#include "tests/gateway/server_limit_replay.h"

namespace wisteriaroute::gateway {
namespace {

TEST_CASE("19 entries find the limit of a server that slows down at 3 of 10") {
  replay_plan plan;
  plan.servers = {{.slots = 10, .speed = 2, .knee = 3},
                  {.slots = 10, .speed = 1, .knee = 10},
                  {.slots = 10, .speed = 2, .knee = 10},
                  {.slots = 10, .speed = 4, .knee = 10}};
  plan.entries = 19;
  plan.requests_per_s = 450;
  const replay_result before = Replay(plan);
  plan.limits = true;
  const replay_result after = Replay(plan);
  plan.limits = false;
  plan.servers[0].knee = 10;
  const double peer = Replay(plan).MeanStretchAt(2, 4, 16);
  MESSAGE("mean stretch: declared slots ", before.MeanStretchAt(0, 4, 16),
          ", estimated limits ", after.MeanStretchAt(0, 4, 16),
          ", peer of the same speed ", peer);
  CHECK(after.MeanStretchAt(0, 4, 16) <= 1.5 * peer);
}

TEST_CASE("19 entries with two requests a second each see a slow server") {
  for (const double factor : {4.0, 12.0}) {
    CAPTURE(factor);
    replay_plan plan;
    plan.servers.resize(6);
    plan.entries = 19;
    plan.requests_per_s = 38;
    plan.changes = {
        {10, [factor](auto& servers) { servers[0].speed = 1 / factor; }}};
    const replay_result before = Replay(plan);
    plan.limits = true;
    const replay_result after = Replay(plan);
    MESSAGE("slower by ", factor, ": declared slots: mean ",
            before.MeanMs(12, 18), " ms, share of the server ",
            before.Share(0, 12, 18), ", p95 of stretch ",
            before.Stretch(0.95, 12, 18), "; estimated limits: mean ",
            after.MeanMs(12, 18), " ms, share ", after.Share(0, 12, 18),
            ", p95 ", after.Stretch(0.95, 12, 18));
    CHECK(after.MeanMs(12, 18) <= before.MeanMs(12, 18));
    CHECK(after.Stretch(0.95, 12, 18) <= 1.5);
  }
}

}  // namespace
}  // namespace wisteriaroute::gateway
