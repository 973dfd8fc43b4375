#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {
namespace {

constexpr net::link_id kLink = 7;
constexpr step_time kNow{.now_us = 50'000'000};

/** Names of the leaders that are announced on the link. */
std::vector<std::string> AnnouncedLeaders(const replica_effects& effects) {
  std::vector<std::string> names;
  for (const replica_effect& effect : effects) {
    const auto* send = std::get_if<send_to_links>(&effect);
    if (send == nullptr) {
      continue;
    }
    CHECK(send->links == std::vector<net::link_id>{kLink});
    names.push_back(std::get<wire::not_leader>(send->message).leader_name);
  }
  return names;
}

std::vector<std::string> Hello(replica_state& state, wire::member_role role) {
  return AnnouncedLeaders(Step(
      state,
      link_received{kLink, wire::session_hello{{.name = "m", .role = role}, 0}},
      kNow));
}

const std::vector<std::string> kNoLeaders;

TEST_CASE("an entry that found no leader is notified of the next one") {
  replica_state state;
  state.self_name = "c1";
  REQUIRE(Hello(state, wire::member_role::kEntry) ==
          std::vector<std::string>{""});

  SUBCASE("if it is this replica") {
    CHECK(AnnouncedLeaders(Step(state, became_leader{2}, kNow)) ==
          std::vector<std::string>{"c1"});
  }
  SUBCASE("if it is another replica, and only once") {
    CHECK(AnnouncedLeaders(Step(state, became_follower{}, kNow)) == kNoLeaders);
    CHECK(AnnouncedLeaders(Step(state, became_follower{"c2", "c2:1"}, kNow)) ==
          std::vector<std::string>{"c2"});
    CHECK(AnnouncedLeaders(Step(state, became_follower{"c3", "c3:1"}, kNow)) ==
          kNoLeaders);
  }
  SUBCASE("unless its link was closed") {
    Step(state, link_closed{kLink}, kNow);
    CHECK(AnnouncedLeaders(Step(state, became_leader{2}, kNow)) == kNoLeaders);
  }
}

TEST_CASE("a sidecar that found no leader isn't notified of the next one") {
  replica_state state;
  Hello(state, wire::member_role::kSidecar);
  CHECK(AnnouncedLeaders(Step(state, became_leader{2}, kNow)) == kNoLeaders);
}

}  // namespace
}  // namespace wisteriaroute::control
