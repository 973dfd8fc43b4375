// Guards against a planned stop that takes requests it can't finish and then
// cuts them with no answer, among them some that may run only once.

#include <doctest/doctest.h>

#include "tests/gateway/world.h"

namespace wisteriaroute::gateway {
namespace {

constexpr base::time_us kMs = 1'000;

/** A gateway that was told to stop: it settles for 2.5 s and ends after 7.4 s.
 */
struct stopping_world : world {
  stopping_world() {
    Do(stop_requested{.settled_us = kStartUs + 2'500 * kMs,
                      .end_us = kStartUs + 7'400 * kMs});
  }
  void At(base::time_ms after_ms) { now_us = kStartUs + after_ms * kMs; }
};

TEST_CASE("requests that arrive during a planned stop") {
  stopping_world w;
  SUBCASE("are taken while the platform may still send new callers") {
    w.At(2'400);
    w.Ask(1, "/letter/1");
    CHECK(w.All<start_attempt>().size() == 1);
  }
  SUBCASE("are taken afterwards if they end in time") {
    w.At(5'300);
    w.Ask(1, "/pay/1");
    CHECK(w.All<start_attempt>().size() == 1);
  }
  SUBCASE("are refused at once if they may not end in time") {
    w.At(5'500);
    w.Ask(1, "/pay/1");
    w.Ask(2, "/draft/1");
    CHECK(w.All<start_attempt>().empty());
    REQUIRE(w.All<refuse>().size() == 2);
    for (const refuse& answer : w.All<refuse>()) {
      CHECK(answer.status == 503);
      CHECK(answer.code == "stopping");
    }
    CHECK(w.state.requests.empty());
  }
  SUBCASE("of unknown routes get the same answer as ever") {
    w.At(7'000);
    w.Ask(1, "/nowhere/1");
    CHECK(w.All<refuse>().front().status == 404);
  }
}

TEST_CASE("requests in progress when a planned stop ends are answered") {
  stopping_world w;
  w.At(1'000);
  SUBCASE("which may have run") {
    w.Ask(1, "/pay/1");
    w.Do(stop_due{});
    REQUIRE(w.All<refuse>().size() == 1);
    CHECK(w.All<refuse>().front().status == 502);
  }
  SUBCASE("whose stream has begun") {
    w.Ask(1, "/draft/1");
    w.Head(200, true, true);
    w.Data("id: 1\ndata: a\n\n");
    w.Do(stop_due{});
    CHECK(w.All<abort_stream>().size() == 1);
  }
  CHECK(w.All<cancel_attempt>().size() == 1);
  CHECK(w.state.requests.empty());
}

}  // namespace
}  // namespace wisteriaroute::gateway
