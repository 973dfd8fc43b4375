#include <doctest/doctest.h>

#include "tests/gateway/world.h"

namespace wisteriaroute::gateway {
namespace {

/** A stream whose first server broke off after event 1. */
void BreakOff(world& w) {
  w.Ask(1, "/draft/1");
  w.Head(200, true, true);
  w.Data("id: 1\ndata: a\n\n");
  w.End(false);
  REQUIRE(w.All<start_attempt>().size() == 2);
}

// Guards against streams that never end, and against an error's text in the
// middle of a stream.
TEST_CASE("a stream is continued only by events") {
  world w;
  BreakOff(w);

  SUBCASE("not by an error") {
    w.Head(500);
    w.Data("the model is gone");
    w.End(true);
  }
  SUBCASE("not by an error in the shape of a stream") {
    w.Head(500, true, true);
    w.Data("id: 2\ndata: the model is gone\n\n");
    w.End(true);
  }
  SUBCASE("not by a success that isn't a stream") {
    w.Head(200);
    w.Data("{\"error\": \"the model is gone\"}");
    CHECK(w.All<cancel_attempt>().size() == 1);
  }
  SUBCASE("not by a success without a body") {
    w.Head(204);
    CHECK(w.All<cancel_attempt>().size() == 1);
  }
  SUBCASE("not by an event without an id") {
    w.Head(200, true, true);
    w.Data("event: error\ndata: the model is gone\n\n");
    CHECK(w.All<cancel_attempt>().size() == 1);
  }
  SUBCASE("not by a run that begins again") {
    w.Head(200, true, true);
    w.Data("id: 1\ndata: b\n\nid: 2\ndata: c\n\n");
    CHECK(w.All<cancel_attempt>().size() == 1);
  }
  SUBCASE("not by the end of an empty stream") {
    w.Head(200, true, true);
    w.End(true);
  }

  CHECK(w.Written() == "id: 1\ndata: a\n\n");
  CHECK(w.All<start_stream>().size() == 1);
  CHECK(w.All<relay>().empty());
  CHECK(w.All<refuse>().empty());
  CHECK(w.All<end_stream>().empty());
  CHECK(w.All<abort_stream>().size() == 1);
  CHECK(w.state.requests.empty());
}

TEST_CASE("a continued stream may begin with a comment") {
  world w;
  BreakOff(w);
  w.Head(200, true, true);
  w.Data(": resumed\n\nid: 2\ndata: b\n\n");
  w.End(true);
  CHECK(w.Written() == "id: 1\ndata: a\n\n: resumed\n\nid: 2\ndata: b\n\n");
  CHECK(w.All<end_stream>().size() == 1);
}

// Guards against an event that is written before the head of the response: the
// stream began and broke in one piece.
TEST_CASE("events before a gap are sent with the head") {
  world w;
  w.Ask(1, "/draft/1");
  w.Head(200, true, true);
  w.Data("id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
  CHECK(w.All<start_stream>().size() == 1);
  CHECK(w.Written() == "id: 1\ndata: a\n\n");
  REQUIRE(w.All<start_attempt>().size() == 2);
  CHECK(w.LastAttempt().terms.last_event_id == 1);
  w.Head(200, true, true);
  w.Data("id: 2\ndata: b\n\n");
  w.End(true);
  CHECK(w.Written() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(w.All<end_stream>().size() == 1);
  CHECK(w.All<refuse>().empty());
}

}  // namespace
}  // namespace wisteriaroute::gateway
