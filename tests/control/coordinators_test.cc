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

/** A leader and the sidecars of one group. Commits all proposals at once. */
struct world {
  replica_state state;
  step_time now{.now_us = 100'000'000};
  std::uint64_t index = 40;
  std::vector<wire::coordinator_grant> sent_grants;

  world() {
    state.options.decode_traffic = &Decode;
    Elect();
  }

  void Elect() {
    state.leadership.emplace();
    state.leadership->term = 1;
    state.leadership->elected_us = now.now_us;
    for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
      member_session& session = state.leadership->sessions[Name(rank)];
      session.link = rank + 1;
      session.last_message_us = now.now_us;
      session.info = {.name = Name(rank),
                      .role = wire::member_role::kSidecar,
                      .address = Name(rank) + ":7340"};
      state.leadership->session_links[rank + 1] = Name(rank);
    }
  }

  static std::string Name(std::uint32_t rank) {
    return "side-" + std::to_string(rank);
  }

  void Handle(const replica_event& event) {
    for (const replica_effect& effect : Step(state, event, now)) {
      if (const auto* proposal = std::get_if<propose_command>(&effect)) {
        Handle(entry_committed{++index, proposal->payload});
      } else if (const auto* sent = std::get_if<send_to_links>(&effect)) {
        if (const auto* grant =
                std::get_if<wire::coordinator_grant>(&sent->message)) {
          sent_grants.push_back(*grant);
        }
      }
    }
  }

  void ReportPresence(std::uint32_t rank,
                      std::uint64_t term = 0,
                      bool served = true) {
    Handle(link_received{rank + 1,
                         wire::rank_presence{.service = "model",
                                             .group = "g",
                                             .rank = rank,
                                             .ranks = kRanks,
                                             .term = term,
                                             .coordinator_linked = served}});
  }

  void ReportAllPresent(std::uint64_t term = 0, bool served = true) {
    for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
      ReportPresence(rank, term, served);
    }
  }

  /** Advances the time; all sessions and ranks stay alive. */
  void Run(base::time_us duration_us) {
    for (const base::time_us end = now.now_us + duration_us;
         now.now_us < end;) {
      now.now_us += kReplicaTickUs;
      for (auto& [name, session] : state.leadership->sessions) {
        session.last_message_us = now.now_us;
      }
      for (auto& [name, group] : state.leadership->platform_groups) {
        for (auto& [rank, one] : group.ranks) {
          one.last_message_us = now.now_us;
        }
      }
      Handle(replica_tick{});
    }
  }

  const granted_coordinator& Granted() {
    return state.durable.coordinators["g"];
  }
};

TEST_CASE("a group that the platform forms is granted a coordinator") {
  world w;

  SUBCASE("as soon as all its ranks are present") {
    w.ReportPresence(0);
    w.ReportPresence(1);
    w.Run(200'000);
    CHECK(w.sent_grants.empty());
    w.ReportPresence(2);
    w.Run(200'000);
    REQUIRE(w.sent_grants.size() == 1);
    CHECK(w.Granted().name == "side-0");
    CHECK(w.sent_grants[0].term == w.Granted().term);
    REQUIRE(w.sent_grants[0].shape);
    CHECK(w.sent_grants[0].shape->experts == 8);
  }

  SUBCASE("after a waiting time if ranks are missing") {
    w.ReportPresence(1);
    w.Run(4'000'000);
    CHECK(w.Granted().name == "side-1");
  }
}

TEST_CASE("a coordinator's grant") {
  world w;
  w.ReportAllPresent();
  w.Run(200'000);
  const std::uint64_t term = w.Granted().term;
  REQUIRE(term != 0);
  w.ReportAllPresent(term);
  w.sent_grants.clear();

  SUBCASE("is kept while the coordinator serves its ranks") {
    w.Run(30'000'000);
    CHECK(w.Granted().term == term);
  }

  SUBCASE("is replaced when the coordinator is disconnected for a second") {
    w.Run(5'000'000);
    w.Handle(link_closed{1});
    w.Run(900'000);
    CHECK(w.Granted().term == term);
    w.Run(2'700'000);
    CHECK(w.Granted().term > term);
    CHECK(w.Granted().name == "side-1");
  }

  SUBCASE("is replaced when the coordinator's process was restarted") {
    // Orders of the earlier incarnation may still be carried out.
    w.state.leadership->sessions[world::Name(0)].info.incarnation = 2;
    w.Run(3'000'000);
    w.ReportPresence(0, term);
    w.Run(200'000);
    CHECK(w.Granted().term > term);
    CHECK(w.Granted().name == "side-1");
  }

  SUBCASE("is replaced immediately if the next coordinator restarts, too") {
    w.state.leadership->sessions[world::Name(0)].info.incarnation = 2;
    w.ReportPresence(0, term);
    w.Run(400'000);
    REQUIRE(w.Granted().name == "side-1");
    const std::uint64_t second = w.Granted().term;
    w.state.leadership->sessions[world::Name(1)].info.incarnation = 2;
    w.ReportPresence(1, second);
    w.Run(400'000);
    CHECK(w.Granted().term > second);
    CHECK(w.Granted().name == "side-2");
  }

  SUBCASE("is replaced when most ranks can't reach the coordinator") {
    w.Run(5'000'000);
    w.ReportPresence(1, term, false);
    w.Run(200'000);
    CHECK(w.Granted().term == term);
    w.ReportPresence(2, term, false);
    w.Run(200'000);
    CHECK(w.Granted().name == "side-1");
  }

  SUBCASE("is sent to a sidecar that knows an older one") {
    w.ReportPresence(2, term - 1);
    REQUIRE(w.sent_grants.size() == 1);
    CHECK(w.sent_grants[0].term == term);
  }

  SUBCASE("survives a change of leader and a snapshot") {
    w.state.durable = DecodeState(EncodeState(w.state.durable));
    w.Elect();
    w.ReportAllPresent(term);
    w.Run(6'000'000);
    CHECK(w.Granted().term == term);
  }

  SUBCASE("is kept if the coordinator finds a new leader later than others") {
    w.Elect();
    w.ReportPresence(1, term);
    w.ReportPresence(2, term);
    // The coordinator was waiting for a stalled leader.
    w.Run(9'500'000);
    CHECK(w.Granted().term == term);
    w.ReportPresence(0, term);
    w.Run(6'000'000);
    CHECK(w.Granted().term == term);
  }

  SUBCASE("is replaced soon after an election if most ranks can't reach it") {
    w.Elect();
    w.ReportPresence(1, term, false);
    w.ReportPresence(2, term, false);
    w.Run(3'000'000);
    CHECK(w.Granted().name == "side-1");
  }

  SUBCASE("isn't changed by a command that replaces another grant") {
    Apply(w.state.durable,
          {.body = grant_command{.group = "g", .name = "x", .replaces = 1}},
          900);
    CHECK(w.Granted().term == term);
  }

  SUBCASE("is sent again when a configuration changes the engine shapes") {
    w.Handle(entry_committed{
        ++w.index,
        EncodeCommand({.body = wire::publish_document{
                           w.state.durable.config.revision + 1, "more"}})});
    REQUIRE(w.sent_grants.size() == 1);
    CHECK(w.sent_grants[0].shape->experts == 16);
  }
}

}  // namespace
}  // namespace wisteriaroute::control
