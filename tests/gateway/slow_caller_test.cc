// Guards against running a request again, or blaming its server, because of a
// caller that reads slowly.

#include <doctest/doctest.h>

#include "tests/gateway/world.h"

namespace wisteriaroute::gateway {
namespace {

constexpr base::time_us kLongerThanSilenceUs = 1'900'000;

TEST_CASE("a stream whose caller doesn't read isn't run again") {
  world w;
  w.Ask(1, "/draft/1");
  w.Head(200, true, true);
  w.Data("id: 1\ndata: a\n\n");
  w.Do(stream_blocked{1, true});
  w.now_us += kLongerThanSilenceUs;
  w.Do(gateway_tick{});
  CHECK(w.All<start_attempt>().size() == 1);

  SUBCASE("when it reads again") {
    w.Do(stream_blocked{1, false});
    w.Do(gateway_tick{});
    CHECK(w.All<start_attempt>().size() == 1);
    w.Data("id: 2\ndata: b\n\n");
    w.End(true);
    CHECK(w.Written() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(w.All<end_stream>().size() == 1);
  }
  SUBCASE("but its server is left if that is silent afterwards") {
    w.Do(stream_blocked{1, false});
    w.now_us += kLongerThanSilenceUs;
    w.Do(gateway_tick{});
    CHECK(w.All<start_attempt>().size() == 2);
  }
  SUBCASE("when it is disconnected") {
    w.Do(caller_left{1});
    CHECK(w.All<cancel_attempt>().size() == 1);
    CHECK(w.All<start_attempt>().size() == 1);
    CHECK(w.state.requests.empty());
  }
}

TEST_CASE("an answer that there is no memory for is given up") {
  world w;
  w.Ask(1, "/lookup/1");
  w.Head(200);
  w.Data("part of an answer");
  w.Do(answer_shed{1});
  CHECK(w.All<cancel_attempt>().size() == 1);
  CHECK(w.All<start_attempt>().size() == 1);
  REQUIRE(w.All<refuse>().size() == 1);
  // The server may have run the request, so 503 must not be used.
  CHECK(w.All<refuse>().front().status == 502);
  CHECK(w.state.requests.empty());
}

}  // namespace
}  // namespace wisteriaroute::gateway
