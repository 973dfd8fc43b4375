#include "libwisteriaroute/control/coordinators.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace wisteriaroute::control {
namespace {

constexpr std::uint32_t kRanks = 3;

std::optional<config::traffic_set> Decode(std::string_view document,
                                          base::findings&) {
  return config::traffic_set{
      .services = {{.name = "model",
                    .engine = config::engine_shape{
                        .expert_sets = 2,
                        .experts = document == "more" ? 16 : 8,
                        .expert_slots = 4,
                        .spare_slots = 1}}}};
}

/** A leader with the sidecars of one group; its proposals are committed. */
struct world {
  replica_state state;
  step_time now{.now_us = 100'000'000};
  std::uint64_t index = 40;
  std::vector<wire::coordinator_grant> told;

  world() {
    state.options.decode_traffic = &Decode;
    Elect();
  }

  void Elect() {
    state.leading.emplace();
    state.leading->term = 1;
    state.leading->elected_us = now.now_us;
    for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
      member_session& session = state.leading->sessions[Name(rank)];
      session.link = rank + 1;
      session.heard_us = now.now_us;
      session.info = {.name = Name(rank),
                      .role = wire::member_role::kSidecar,
                      .address = Name(rank) + ":7340"};
      state.leading->session_links[rank + 1] = Name(rank);
    }
  }

  static std::string Name(std::uint32_t rank) {
    return "side-" + std::to_string(rank);
  }

  void Take(const replica_event& event) {
    for (const replica_effect& effect : Step(state, event, now)) {
      if (const auto* proposal = std::get_if<propose_command>(&effect)) {
        Take(entry_committed{++index, proposal->payload});
      } else if (const auto* sent = std::get_if<send_to_links>(&effect)) {
        if (const auto* grant =
                std::get_if<wire::coordinator_grant>(&sent->message)) {
          told.push_back(*grant);
        }
      }
    }
  }

  void Present(std::uint32_t rank, std::uint64_t term = 0, bool served = true) {
    Take(link_received{rank + 1,
                       wire::rank_presence{.service = "model",
                                           .group = "g",
                                           .rank = rank,
                                           .ranks = kRanks,
                                           .term = term,
                                           .coordinator_linked = served}});
  }

  void PresentAll(std::uint64_t term = 0, bool served = true) {
    for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
      Present(rank, term, served);
    }
  }

  /** Ticks; sidecars keep their sessions and stay present. */
  void Run(base::time_us duration_us) {
    for (const base::time_us end = now.now_us + duration_us;
         now.now_us < end;) {
      now.now_us += kReplicaTickUs;
      for (auto& [name, session] : state.leading->sessions) {
        session.heard_us = now.now_us;
      }
      for (auto& [name, group] : state.leading->platform_groups) {
        for (auto& [rank, one] : group.ranks) {
          one.heard_us = now.now_us;
        }
      }
      Take(replica_tick{});
    }
  }

  const granted_coordinator& Held() { return state.durable.coordinators["g"]; }
};

TEST_CASE("a group of the platform gets a coordinator") {
  world w;

  SUBCASE("as soon as all its ranks are there") {
    w.Present(0);
    w.Present(1);
    w.Run(200'000);
    CHECK(w.told.empty());
    w.Present(2);
    w.Run(200'000);
    REQUIRE(w.told.size() == 1);
    CHECK(w.Held().name == "side-0");
    CHECK(w.told[0].term == w.Held().term);
    REQUIRE(w.told[0].shape);
    CHECK(w.told[0].shape->experts == 8);
  }

  SUBCASE("without those that don't come") {
    w.Present(1);
    w.Run(4'000'000);
    CHECK(w.Held().name == "side-1");
  }
}

TEST_CASE("a grant") {
  world w;
  w.PresentAll();
  w.Run(200'000);
  const std::uint64_t term = w.Held().term;
  REQUIRE(term != 0);
  w.PresentAll(term);
  w.told.clear();

  SUBCASE("stays while the coordinator serves its ranks") {
    w.Run(30'000'000);
    CHECK(w.Held().term == term);
  }

  SUBCASE("moves on when the coordinator's link is gone for a second") {
    w.Run(5'000'000);
    w.Take(link_closed{1});
    w.Run(900'000);
    CHECK(w.Held().term == term);
    w.Run(2'700'000);
    CHECK(w.Held().term > term);
    CHECK(w.Held().name == "side-1");
  }

  SUBCASE("moves on when the coordinator's process is another run") {
    // Orders of the run before may still be carried out.
    w.state.leading->sessions[world::Name(0)].info.incarnation = 2;
    w.Run(3'000'000);
    w.Present(0, term);
    w.Run(200'000);
    CHECK(w.Held().term > term);
    CHECK(w.Held().name == "side-1");
  }

  SUBCASE("moves on at once when a new holder's process is another run, too") {
    w.state.leading->sessions[world::Name(0)].info.incarnation = 2;
    w.Present(0, term);
    w.Run(400'000);
    REQUIRE(w.Held().name == "side-1");
    const std::uint64_t second = w.Held().term;
    w.state.leading->sessions[world::Name(1)].info.incarnation = 2;
    w.Present(1, second);
    w.Run(400'000);
    CHECK(w.Held().term > second);
    CHECK(w.Held().name == "side-2");
  }

  SUBCASE("moves on when most ranks can't reach the coordinator") {
    w.Run(5'000'000);
    w.Present(1, term, false);
    w.Run(200'000);
    CHECK(w.Held().term == term);
    w.Present(2, term, false);
    w.Run(200'000);
    CHECK(w.Held().name == "side-1");
  }

  SUBCASE("is told to a sidecar that knows an older one") {
    w.Present(2, term - 1);
    REQUIRE(w.told.size() == 1);
    CHECK(w.told[0].term == term);
  }

  SUBCASE("outlives a change of leader, and a snapshot") {
    w.state.durable = DecodeState(EncodeState(w.state.durable));
    w.Elect();
    w.PresentAll(term);
    w.Run(6'000'000);
    CHECK(w.Held().term == term);
  }

  SUBCASE("stays when its holder finds a new leader later than others") {
    w.Elect();
    w.Present(1, term);
    w.Present(2, term);
    // It waited for a leader that stood still.
    w.Run(9'500'000);
    CHECK(w.Held().term == term);
    w.Present(0, term);
    w.Run(6'000'000);
    CHECK(w.Held().term == term);
  }

  SUBCASE("moves on at once under a new leader, too, if ranks can't reach it") {
    w.Elect();
    w.Present(1, term, false);
    w.Present(2, term, false);
    w.Run(3'000'000);
    CHECK(w.Held().name == "side-1");
  }

  SUBCASE("isn't changed by a command that replaces another one") {
    Apply(w.state.durable,
          {.body = grant_command{.group = "g", .name = "x", .replaces = 1}},
          900);
    CHECK(w.Held().term == term);
  }

  SUBCASE("is told again when a configuration changes the engines") {
    w.Take(entry_committed{
        ++w.index,
        EncodeCommand({.body = wire::publish_document{
                           w.state.durable.config.revision + 1, "more"}})});
    REQUIRE(w.told.size() == 1);
    CHECK(w.told[0].shape->experts == 16);
  }
}

}  // namespace
}  // namespace wisteriaroute::control
