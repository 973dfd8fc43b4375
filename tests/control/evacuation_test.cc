#include <capnp/message.h>
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "libwisteriaroute/control/record_fields.h"
#include "libwisteriaroute/control/replica.h"
#include "libwisteriaroute/wire/common.h"

namespace wisteriaroute::control {
namespace {

constexpr net::link_id kEntryLink = 5;
constexpr std::uint64_t kCall = 77;
constexpr step_time kNow{.now_us = 50'000'000, .wall_ms = 1'000'000};

wire::evacuation_order Start(const std::string& data_center) {
  return {.data_center = data_center, .evacuated = true};
}
wire::evacuation_order End(const std::string& data_center) {
  return {.data_center = data_center, .evacuated = false};
}

/** A replica with one entry, and its log. */
struct replica_world {
  replica_state state;
  step_time now = kNow;
  std::uint64_t index = 10;

  replica_world() { Lead(); }

  void Lead() {
    Step(state, became_leader{2}, now);
    Hello();
  }
  replica_effects Hello() {
    return Step(
        state,
        link_received{kEntryLink,
                      wire::session_hello{{.name = "entry",
                                           .role = wire::member_role::kEntry,
                                           .incarnation = 1},
                                          0}},
        now);
  }
  replica_effects Order(const wire::evacuation_order& order) {
    return Step(state,
                link_received{kHttpLink, wire::admin_request{kCall, order}},
                now);
  }
  /** Commits the command that was proposed in `effects`. */
  replica_effects Commit(const replica_effects& effects) {
    for (const replica_effect& effect : effects) {
      if (const auto* proposed = std::get_if<propose_command>(&effect)) {
        return Step(state, entry_committed{++index, proposed->payload}, now);
      }
    }
    return {};
  }
};

std::vector<wire::admin_reply> Replies(const replica_effects& effects) {
  std::vector<wire::admin_reply> replies;
  for (const replica_effect& effect : effects) {
    const auto* send = std::get_if<send_to_links>(&effect);
    if (send != nullptr &&
        std::holds_alternative<wire::admin_reply>(send->message)) {
      replies.push_back(std::get<wire::admin_reply>(send->message));
    }
  }
  return replies;
}

/** The lists that the entry is sent, up to the reply to the operator. */
std::vector<wire::evacuation_list> ListsBeforeReply(
    const replica_effects& effects) {
  std::vector<wire::evacuation_list> lists;
  for (const replica_effect& effect : effects) {
    const auto* send = std::get_if<send_to_links>(&effect);
    if (send == nullptr) {
      continue;
    }
    if (std::holds_alternative<wire::admin_reply>(send->message)) {
      break;
    }
    if (const auto* update = std::get_if<wire::member_update>(&send->message)) {
      CHECK(send->links == std::vector<net::link_id>{kEntryLink});
      lists.push_back(update->evacuations);
    }
  }
  return lists;
}

using names = std::vector<std::string>;

// Guards against an acknowledgement that a leader gives before the order is
// durable or before the entries are told: requests would go on past the limit.
TEST_CASE("an order is acknowledged once it is committed and sent") {
  replica_world w;
  const replica_effects proposed = w.Order(Start("east"));
  CHECK(Replies(proposed).empty());
  CHECK(ListsBeforeReply(proposed).empty());

  SUBCASE("to the entries before the operator") {
    const replica_effects done = w.Commit(proposed);
    const auto lists = ListsBeforeReply(done);
    REQUIRE(lists.size() == 1);
    CHECK(lists[0].data_centers == names{"east"});
    CHECK(lists[0].index == 11);
    REQUIRE(Replies(done).size() == 1);
    CHECK(Replies(done)[0].result == wire::admin_result::kOk);
    CHECK(Replies(done)[0].correlation == kCall);
  }
  SUBCASE("and isn't refused when the leader changes before that") {
    const auto replies =
        Replies(Step(w.state, became_follower{"c2", "10.0.0.2:1"}, w.now));
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].result == wire::admin_result::kUnavailable);
  }
}

// Guards against an operator that gets no definite answer when it repeats an
// order, and against an entry that missed the list of the first one.
TEST_CASE("an order may be repeated") {
  replica_world w;
  SUBCASE("a second start is acknowledged, sent and changes nothing") {
    w.Commit(w.Order(Start("east")));
    const control_state before = w.state.durable;
    const auto done = w.Commit(w.Order(Start("east")));
    REQUIRE(Replies(done).size() == 1);
    CHECK(Replies(done)[0].result == wire::admin_result::kOk);
    REQUIRE(ListsBeforeReply(done).size() == 1);
    CHECK(ListsBeforeReply(done)[0].index == 11);
    CHECK(w.state.durable.evacuations == before.evacuations);
  }
  SUBCASE("an end without a start is acknowledged and changes nothing") {
    const auto done = w.Commit(w.Order(End("east")));
    REQUIRE(Replies(done).size() == 1);
    CHECK(Replies(done)[0].result == wire::admin_result::kOk);
    CHECK(w.state.durable.evacuations == evacuation_table{});
  }
  SUBCASE("eight orders may be in progress at once") {
    std::vector<replica_effects> proposed;
    for (int i = 0; i < 8; ++i) {
      proposed.push_back(w.Order(Start("dc" + std::to_string(i))));
    }
    for (const replica_effects& effects : proposed) {
      const auto replies = Replies(w.Commit(effects));
      REQUIRE(replies.size() == 1);
      CHECK(replies[0].result == wire::admin_result::kOk);
    }
    CHECK(w.state.durable.evacuations.data_centers.size() == 8);
  }
}

// Guards against a mistyped name that is acknowledged, and against the refusal
// of an order that was accepted before the settings changed.
TEST_CASE("only data centres of the settings are evacuated") {
  replica_world w;
  const auto code = [](const replica_effects& effects) {
    const auto replies = Replies(effects);
    return replies.empty() ? std::string() : replies[0].code;
  };
  SUBCASE("any, if the settings list none") {
    CHECK(code(w.Order(Start("anything"))).empty());
  }
  SUBCASE("no other") {
    w.state.options.data_centers = {"east", "west"};
    CHECK(code(w.Order(Start("north"))) == "not_found");
    CHECK(code(w.Order(End("north"))) == "not_found");
    CHECK(code(w.Order(Start("east"))).empty());
  }
  SUBCASE("except those that were accepted before") {
    w.Commit(w.Order(Start("north")));
    w.state.options.data_centers = {"east", "west"};
    CHECK(code(w.Order(Start("north"))).empty());
    w.Commit(w.Order(End("north")));
    CHECK(code(w.Order(End("north"))).empty());
  }
  SUBCASE("and the names and their number are bounded") {
    CHECK(code(w.Order(Start(""))) == "invalid_data_center");
    CHECK(code(w.Order(Start(std::string(256, 'x')))) == "invalid_data_center");
    for (std::size_t i = 0; i < kMaxEvacuatedDataCenters; ++i) {
      w.Commit(w.Order(Start("dc" + std::to_string(i))));
    }
    CHECK(code(w.Order(Start("one more"))) == "too_many");
    CHECK(code(w.Order(Start("dc7"))).empty());
    CHECK(code(w.Order(End("dc7"))).empty());
  }
}

TEST_CASE("a replica that doesn't lead names the leader") {
  replica_world w;
  Step(w.state, became_follower{"c2", "10.0.0.2:1"}, w.now);
  const auto replies = Replies(w.Order(Start("east")));
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].result == wire::admin_result::kNotLeader);
  CHECK(replies[0].message == "10.0.0.2:1");
}

// Guards against entries that use evacuated servers after their restart, or
// after a change of the leader.
TEST_CASE("an entry receives the list with its first message") {
  replica_world w;
  w.Commit(w.Order(Start("east")));
  Step(w.state, became_follower{}, w.now);
  Step(w.state, became_leader{3}, w.now);
  const auto lists = ListsBeforeReply(w.Hello());
  REQUIRE(lists.size() == 1);
  CHECK(lists[0].data_centers == names{"east"});
  CHECK(lists[0].index == 11);
}

// Guards against an entry that was away at the end of an evacuation and sends
// cold servers their full load.
TEST_CASE("the end of an evacuation is announced with its age") {
  replica_world w;
  w.Commit(w.Order(Start("east")));
  w.Commit(w.Order(End("east")));
  w.now.wall_ms += 7'000;
  Step(w.state, link_closed{kEntryLink}, w.now);
  const auto lists = ListsBeforeReply(w.Hello());
  REQUIRE(lists.size() == 1);
  CHECK(lists[0].data_centers.empty());
  CHECK(lists[0].index == 12);
  REQUIRE(lists[0].ended.size() == 1);
  CHECK(lists[0].ended[0] == wire::ended_evacuation{"east", 12, 7'000});

  SUBCASE("for an hour") {
    const command tick{.wall_ms = kNow.wall_ms + kEvacuationEndKeptMs,
                       .body = clock_tick{1'000}};
    Step(w.state, entry_committed{13, EncodeCommand(tick)}, w.now);
    CHECK(w.state.durable.evacuations == evacuation_table{.index = 12});
  }
  SUBCASE("unless the data centre is evacuated again") {
    w.Commit(w.Order(Start("east")));
    CHECK(w.state.durable.evacuations.ended.empty());
  }
}

// Guards against replicas that refuse to start after an upgrade.
TEST_CASE("a snapshot of an earlier version loads") {
  capnp::MallocMessageBuilder builder;
  builder.initRoot<proto::ControlState>().setTimeMs(9);
  const control_state state = DecodeState(wire::Serialize(builder));
  CHECK(state.time_ms == 9);
  CHECK(state.evacuations == evacuation_table{});
}

TEST_CASE("a snapshot holds the evacuations") {
  replica_world w;
  w.Commit(w.Order(Start("east")));
  w.Commit(w.Order(Start("west")));
  w.Commit(w.Order(End("west")));
  const control_state loaded = DecodeState(EncodeState(w.state.durable));
  CHECK(loaded == w.state.durable);
  CHECK(loaded.evacuations.data_centers.contains("east"));
  CHECK(loaded.evacuations.ended.at("west").index == 13);
}

}  // namespace
}  // namespace wisteriaroute::control
