#include "libwisteriaroute/member/session.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace wisteriaroute::member {
namespace {

constexpr base::time_us kLeaseUs = 2'500'000;

template <typename Message>
std::vector<Message> SentTo(net::link_id link,
                            const std::vector<session_effect>& effects) {
  std::vector<Message> found;
  for (const session_effect& effect : effects) {
    const auto* send = std::get_if<send_control>(&effect);
    if (send != nullptr && send->link == link) {
      if (const auto* message = std::get_if<Message>(&send->message)) {
        found.push_back(*message);
      }
    }
  }
  return found;
}

TEST_CASE("a member holds a session with the control leader") {
  session_state state;
  state.info.name = "entry-1";
  auto effects = Step(state, control_up{1, "c1"}, 0);
  REQUIRE(SentTo<wire::session_hello>(1, effects).size() == 1);
  const auto first = SentTo<wire::session_heartbeat>(1, effects).at(0);

  SUBCASE("whose lease starts when the heartbeat is sent") {
    Step(state,
         control_received{1,
                          wire::session_ack{first.sequence, {1, 1}, 2'500, 0}},
         900'000);
    CHECK(state.lease_until_us == kLeaseUs);
  }

  SUBCASE("which grants no lease while the member lacks an accepted revision") {
    Step(state,
         control_received{1,
                          wire::session_ack{first.sequence, {1, 1}, 2'500, 8}},
         1'000);
    CHECK(state.lease_until_us == 0);
    effects = Step(state, member_changed{state.info, 8, true}, 2'000);
    const auto next = SentTo<wire::session_heartbeat>(1, effects).at(0);
    CHECK(next.revision == 8);
    Step(
        state,
        control_received{1, wire::session_ack{next.sequence, {1, 1}, 2'500, 8}},
        3'000);
    CHECK(state.lease_until_us == 2'000 + kLeaseUs);
  }

  // Guards against an entry that never hears of a departure: it had turned to
  // another replica as the leader told of it, and came back on the same link.
  SUBCASE("which asks for what it dropped of a link when it returns to it") {
    Step(state, control_up{2, "c2"}, 0);
    effects = Step(state, session_tick{}, 1'000'000);
    REQUIRE(state.session_link == 2);
    CHECK_FALSE(SentTo<wire::session_hello>(2, effects).at(0).resend);
    Step(state, control_received{1, wire::member_update{}}, 1'010'000);
    effects = Step(state, session_tick{}, 3'000'000);
    REQUIRE(state.session_link == 1);
    CHECK(SentTo<wire::session_hello>(1, effects).at(0).resend);
    Step(state, session_tick{}, 5'000'000);
    effects = Step(state, session_tick{}, 7'000'000);
    REQUIRE(state.session_link == 1);
    CHECK_FALSE(SentTo<wire::session_hello>(1, effects).at(0).resend);
  }

  SUBCASE("which moves to the leader that a replica names") {
    Step(state, control_up{2, "c2"}, 0);
    Step(state, control_up{3, "c3"}, 0);
    effects = Step(
        state, control_received{1, wire::not_leader{"c3", "127.0.0.1:3"}}, 10);
    CHECK(SentTo<wire::session_hello>(3, effects).size() == 1);
    CHECK(state.session_link == 3);

    SUBCASE("and ignores acknowledgements from the first replica") {
      Step(state,
           control_received{
               1, wire::session_ack{first.sequence, {1, 1}, 2'500, 0}},
           20);
      CHECK(state.lease_until_us == 0);
    }
  }

  SUBCASE(
      "which it opens as soon as a replica reports the winner of an election") {
    Step(state, control_up{2, "c2"}, 0);
    Step(state, control_received{1, wire::not_leader{}}, 10);
    Step(state, control_received{2, wire::not_leader{}}, 20);
    REQUIRE(state.session_link == 0);

    SUBCASE("which is the replica itself") {
      effects =
          Step(state, control_received{2, wire::not_leader{"c2", ""}}, 30);
    }
    SUBCASE("which is another replica") {
      effects =
          Step(state, control_received{1, wire::not_leader{"c2", ""}}, 30);
    }
    CHECK(SentTo<wire::session_hello>(2, effects).size() == 1);
    CHECK(state.session_link == 2);
  }

  SUBCASE("which moves to another replica when its link is lost") {
    Step(state, control_up{2, "c2"}, 0);
    effects = Step(state, control_down{1}, 10);
    CHECK(SentTo<wire::session_hello>(2, effects).size() == 1);
  }

  SUBCASE("which tries another replica when the first doesn't answer") {
    Step(state, control_up{2, "c2"}, 0);
    effects = Step(state, session_tick{}, 400'000);
    CHECK(SentTo<wire::session_hello>(2, effects).size() == 1);
  }

  SUBCASE("and releases its lease when it stops") {
    Step(state,
         control_received{1,
                          wire::session_ack{first.sequence, {1, 1}, 2'500, 0}},
         100);
    effects = Step(state, session_stop{}, 200);
    CHECK(state.lease_until_us == 0);
    CHECK(SentTo<wire::session_goodbye>(1, effects).size() == 1);
  }
}

TEST_CASE(
    "a member that lost the leader tries replicas with exponential backoff") {
  session_state state;
  state.info = {.name = "side-1", .role = wire::member_role::kSidecar};
  for (net::link_id link = 1; link <= 3; ++link) {
    Step(state, control_up{link, "c" + std::to_string(link)}, 0);
  }
  std::size_t hellos = 0;
  for (base::time_us now = 0; now < 10'000'000; now += 100'000) {
    const auto effects = Step(state, session_tick{}, now);
    for (net::link_id link = 1; link <= 3; ++link) {
      hellos += SentTo<wire::session_hello>(link, effects).size();
    }
  }
  // Without backoff, one attempt per 300 ms would send 33.
  CHECK(hellos >= 3);
  CHECK(hellos <= 9);
}

TEST_CASE("a sidecar sends at most one heartbeat per 2 s") {
  session_state state;
  state.info = {.name = "side-1", .role = wire::member_role::kSidecar};
  Step(state, control_up{1, "c1"}, 0);
  Step(state,
       control_received{1, wire::session_ack{.sequence = 1, .lease_ms = 1}},
       1'000);
  std::size_t heartbeats = 0;
  for (base::time_us now = 0; now < 10'000'000; now += 100'000) {
    heartbeats +=
        SentTo<wire::session_heartbeat>(1, Step(state, session_tick{}, now))
            .size();
  }
  CHECK(heartbeats <= 5);
}

// Guards against a lease that lasts longer than the leader assumes. Whatever is
// lost, delayed or repeated, and whichever replica answers, the lease ends at
// most 2.5 s after the sending of a heartbeat that was acknowledged.
TEST_CASE("a lease ends at most 2.5 s after the last acknowledged heartbeat") {
  CHECK(rc::check("over random losses, delays and repetitions", [] {
    session_state state;
    base::time_us now = 0;
    std::map<std::uint64_t, base::time_us> sent;
    std::vector<std::pair<net::link_id, std::uint64_t>> in_flight;
    base::time_us allowed = 0;
    const auto record = [&](const std::vector<session_effect>& effects) {
      for (net::link_id link = 1; link <= 3; ++link) {
        for (const auto& beat :
             SentTo<wire::session_heartbeat>(link, effects)) {
          sent[beat.sequence] = now;
          in_flight.emplace_back(link, beat.sequence);
        }
      }
    };
    for (net::link_id link = 1; link <= 3; ++link) {
      record(Step(state, control_up{link, "c" + std::to_string(link)}, now));
    }
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      now += *rc::gen::inRange(1, 400'000);
      const int what = *rc::gen::inRange(0, 10);
      if (what < 4) {
        record(Step(state, session_tick{}, now));
      } else if (what < 9 && !in_flight.empty()) {
        const auto [link, sequence] =
            in_flight[*rc::gen::inRange<std::size_t>(0, in_flight.size())];
        allowed = std::max(allowed, sent[sequence] + kLeaseUs);
        record(Step(state,
                    control_received{
                        link, wire::session_ack{sequence, {1, 1}, 2'500, 0}},
                    now));
      } else {
        record(Step(state,
                    control_received{state.session_link,
                                     wire::not_leader{"c2", "127.0.0.1:2"}},
                    now));
      }
      RC_ASSERT(state.lease_until_us <= allowed);
      RC_ASSERT(state.lease_until_us <= now + kLeaseUs);
    }
  }));
}

}  // namespace
}  // namespace wisteriaroute::member
