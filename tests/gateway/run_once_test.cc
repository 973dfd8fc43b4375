#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>
#include <string>

#include "tests/gateway/world.h"

namespace wisteriaroute::gateway {
namespace {

// Guards against review/1: a silent stream that may run once was sent to a
// second server, because its attempt in progress didn't count as a run.
TEST_CASE("a stream that may run once stays at its server") {
  world w;
  w.Ask(1, "/letter/1");

  SUBCASE("when it is silent after events") {
    w.Head(200, true, true);
    w.Data("id: 1\ndata: a\n\n");
    w.now_us += 1'900'000;
    w.Do(gateway_tick{});
    CHECK(w.All<cancel_attempt>().empty());
    SUBCASE("and goes on when the server does") {
      w.Data("id: 2\ndata: b\n\n");
      w.End(true);
      CHECK(w.Written() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      CHECK(w.All<end_stream>().size() == 1);
    }
    SUBCASE("and breaks off when its time is over") {
      w.now_us += 8'000'000;
      w.Do(gateway_tick{});
      CHECK(w.All<abort_stream>().size() == 1);
    }
  }

  SUBCASE("when it is silent before its head") {
    w.now_us += 1'900'000;
    w.Do(gateway_tick{});
    CHECK(w.All<cancel_attempt>().empty());
  }

  SUBCASE("when its connection breaks before its first event") {
    w.Head(200, true, true);
    w.End(false);
    CHECK(w.All<refuse>().at(0).status == 502);
  }

  SUBCASE("when its connection breaks after events") {
    w.Head(200, true, true);
    w.Data("id: 1\ndata: a\n\n");
    w.End(false);
    CHECK(w.All<abort_stream>().size() == 1);
  }

  SUBCASE("when an event is missing") {
    w.Head(200, true, true);
    w.Data("id: 1\ndata: a\n\n");
    w.Data("id: 3\ndata: c\n\n");
    CHECK(w.All<abort_stream>().size() == 1);
  }

  SUBCASE("when its server leaves") {
    wire::member_info leaving = Server(w.LastAttempt().terms.expected_server);
    leaving.leaving = true;
    w.Do(members_updated{{.changed = {leaving}}});
    w.now_us += 1'900'000;
    w.Do(gateway_tick{});
    CHECK(w.All<cancel_attempt>().empty());
  }

  CHECK(w.All<start_attempt>().size() == 1);
}

// The events of two runs can be told apart only by their ids.
TEST_CASE("a stream without event ids isn't continued by a second run") {
  world w;
  w.Ask(1, "/draft/1");
  w.Head(200, true, true);
  SUBCASE("once the caller has an event without an id") {
    w.Data("data: a\n\n");
    SUBCASE("whose connection breaks") {
      w.End(false);
      CHECK(w.All<abort_stream>().size() == 1);
    }
    SUBCASE("and is silent") {
      w.now_us += 1'900'000;
      w.Do(gateway_tick{});
      CHECK(w.All<cancel_attempt>().empty());
    }
    CHECK(w.All<start_attempt>().size() == 1);
  }
  SUBCASE("but comments are no events") {
    w.Data(": begins\n\nid: 1\ndata: a\n\n");
    w.End(false);
    CHECK(w.All<start_attempt>().size() == 2);
  }
}

/** What became of each attempt, by the server's own account. */
struct attempt_ledger {
  std::set<attempt_id> not_run;
  std::set<attempt_id> ended;
};

/** A server answers, fails or falls silent, or the caller's time passes. */
void DoAnything(world& w, attempt_ledger& ledger) {
  const attempt_id attempt = w.LastAttempt().attempt;
  const bool open = w.state.attempts.contains(attempt);
  const bool has_head =
      open && w.state.requests.begin()->second.head.has_value();
  switch (*rc::gen::inRange(0, 9)) {
    case 0:
      w.now_us += *rc::gen::inRange(10, 3'000) * 1'000;
      w.Do(gateway_tick{});
      return;
    case 1:
      if (open && !has_head) {
        ledger.not_run.insert(attempt);
        w.Do(attempt_head{attempt, {.status = 503, .not_run = true}});
      }
      return;
    case 2:
      if (open && !has_head) {
        w.Head(*rc::gen::element(200U, 204U, 404U, 500U, 503U),
               *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
      }
      return;
    case 3:
    case 4:
      if (has_head) {
        w.Data("id: " + std::to_string(*rc::gen::inRange(1, 4)) +
               "\ndata: a\n\n");
      }
      return;
    case 5:
      if (open && !has_head) {
        ledger.not_run.insert(attempt);
        w.End(false, true);
      }
      return;
    case 6:
      if (open) {
        w.End(false);
      }
      return;
    case 7:
      if (has_head) {
        w.End(true);
      }
      return;
    default: {
      wire::member_info info =
          Server(*rc::gen::element<std::string>("a", "b", "c"));
      info.leaving = *rc::gen::arbitrary<bool>();
      w.Do(members_updated{{.changed = {info}}});
    }
  }
}

TEST_CASE("what may run once is never sent on after it may have run") {
  CHECK(rc::check("calls and streams, in any order of events", [] {
    world w;
    w.state.random = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    w.Ask(1, *rc::gen::element<std::string>("/pay/1", "/letter/1"));
    attempt_ledger ledger;
    for (int step = 0; step < 12 && !w.state.requests.empty(); ++step) {
      DoAnything(w, ledger);
    }
    std::size_t may_have_run = 0;
    for (const start_attempt& attempt : w.All<start_attempt>()) {
      may_have_run += ledger.not_run.contains(attempt.attempt) ? 0 : 1;
    }
    RC_ASSERT(may_have_run <= 1);
    for (const refuse& answer : w.All<refuse>()) {
      const bool promises = answer.status == 503 || answer.status == 429;
      RC_ASSERT(!promises || may_have_run == 0);
    }
  }));
}

}  // namespace
}  // namespace wisteriaroute::gateway
