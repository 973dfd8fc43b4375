#include "libwisteriaroute/sidecar/sidecar.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "libwisteriaroute/wire/placement_edits.h"

namespace wisteriaroute::sidecar {
namespace {

constexpr std::uint32_t kRanks = 4;
constexpr base::time_us kPassUs = 100'000;

wire::coordinator_grant GrantTo(const std::string& name, std::uint64_t term) {
  return {.group = "g",
          .term = term,
          .name = name,
          .address = "10.0.0." + std::to_string(term) + ":7340",
          .incarnation = 3};
}

/** A sidecar whose rank answers at once. */
struct sidecar_fixture {
  sidecar_state state{.name = "me",
                      .incarnation = 3,
                      .service = "model",
                      .server = "10.0.0.9:80"};
  base::time_us now_us = 1'000'000;
  std::string group = "g";
  std::uint32_t pace_permille = wire::kHealthyPace;
  std::vector<sidecar_effect> effects;

  void Handle(const sidecar_event& event) {
    for (const sidecar_effect& effect : Step(state, event, now_us)) {
      effects.push_back(effect);
      if (std::holds_alternative<poll_status>(effect)) {
        Handle(status_polled{.ok = true,
                             .status = {.group = group,
                                        .formation = 1,
                                        .rank = 1,
                                        .ranks = kRanks,
                                        .group_running = true,
                                        .pace_permille = pace_permille}});
      } else if (std::holds_alternative<poll_lists>(effect)) {
        Handle(lists_polled{.ok = true,
                            .lists = {.formation = 1, .experts = {{1}}}});
      } else if (std::holds_alternative<poll_counts>(effect)) {
        Handle(counts_polled{
            .ok = true,
            .counts = {1,
                       static_cast<std::uint64_t>(now_us / kPassUs),
                       {static_cast<std::uint64_t>(now_us), 2, 3}}});
      }
    }
  }

  void Run(base::time_us duration_us) {
    for (const base::time_us end = now_us + duration_us; now_us < end;) {
      now_us += kSidecarTickUs;
      Handle(sidecar_tick{});
    }
  }

  template <typename Effect>
  std::vector<Effect> EffectsOfType() const {
    std::vector<Effect> found;
    for (const sidecar_effect& effect : effects) {
      if (const auto* one = std::get_if<Effect>(&effect)) {
        found.push_back(*one);
      }
    }
    return found;
  }
};

TEST_CASE("a sidecar without a grant") {
  sidecar_fixture w;
  w.Run(500'000);

  SUBCASE("reports the presence of its rank to control") {
    REQUIRE_FALSE(w.EffectsOfType<send_presence>().empty());
    CHECK(w.EffectsOfType<send_presence>().back().presence.group == "g");
    CHECK(w.EffectsOfType<send_presence>().back().presence.rank == 1);
  }

  SUBCASE("forwards no orders, since it can't tell which terms are outdated") {
    w.Handle(order_received{{.kind = wire::rank_order_kind::kArm, .term = 9}});
    CHECK(w.EffectsOfType<forward_order>().empty());
  }
}

TEST_CASE("a sidecar connects to the coordinator that control has granted") {
  sidecar_fixture w;
  w.Run(500'000);
  w.Handle(grant_received{GrantTo("other", 5)});
  REQUIRE(w.EffectsOfType<follow_coordinator>().size() == 1);
  CHECK(w.EffectsOfType<follow_coordinator>().back().address ==
        "10.0.0.5:7340");

  SUBCASE("reports the status and the counts of a window once the link is up") {
    w.Run(300'000);
    CHECK(w.EffectsOfType<send_status>().empty());
    w.Handle(coordinator_link_changed{true});
    w.Run(1'000'000);
    const auto sent = w.EffectsOfType<send_status>();
    int windows = 0;
    for (const send_status& one : sent) {
      if (one.status.expert_tokens.empty()) {
        continue;
      }
      // A window of several passes may mix counts from before and after a shift
      // of demand.
      ++windows;
      CHECK(one.status.expert_tokens[0] > 0);
      CHECK(one.status.expert_tokens[0] <= kPassUs);
      CHECK(one.status.expert_tokens[1] == 0);
      CHECK(one.status.last_count_step == one.status.first_count_step + 1);
    }
    CHECK(windows >= 5);
    CHECK(sent.back().status.term == 5);
  }

  // If every status went to control, the counts and states of 72 ranks would
  // use all of the control leader's processor time.
  SUBCASE("sends status to the coordinator often, but presence only rarely") {
    w.Handle(coordinator_link_changed{true});
    w.Run(1'000'000);
    w.effects.clear();
    w.Run(20'000'000);
    CHECK(w.EffectsOfType<send_status>().size() > 40);
    CHECK(w.EffectsOfType<send_presence>().size() <= 5);
  }

  SUBCASE("sends the experts of the rank repeatedly") {
    // A coordinator drops a status that arrives before its own grant. When the
    // experts weren't sent again, such a coordinator couldn't complete a
    // change, and the group stayed held for 27 s.
    w.Handle(coordinator_link_changed{true});
    w.Run(5'000'000);
    const auto sent = w.EffectsOfType<send_status>();
    CHECK(std::ranges::count_if(sent, [](const send_status& one) {
            return !one.status.experts.empty();
          }) >= 4);
  }

  SUBCASE(
      "forwards orders of the current term and refuses those of older terms") {
    w.Handle(order_received{{.kind = wire::rank_order_kind::kHold, .term = 4}});
    CHECK(w.EffectsOfType<forward_order>().empty());
    w.Handle(order_received{{.kind = wire::rank_order_kind::kHold, .term = 5}});
    CHECK(w.EffectsOfType<forward_order>().size() == 1);
  }

  SUBCASE("sends a new pace at once, but not each small difference") {
    w.Handle(coordinator_link_changed{true});
    w.Run(1'000'000);
    w.effects.clear();
    w.Run(2'000'000);
    const std::size_t usual = w.EffectsOfType<send_status>().size();
    w.effects.clear();
    for (int i = 0; i < 20; ++i) {
      w.pace_permille = wire::kHealthyPace + (i % 2 == 0 ? 10 : 0);
      w.Run(100'000);
    }
    CHECK(w.EffectsOfType<send_status>().size() <= usual + 1);
    w.pace_permille = 2 * wire::kHealthyPace;
    w.Run(250'000);
    CHECK(w.EffectsOfType<send_status>().back().status.pace_permille ==
          w.pace_permille);
  }

  // The coordinator's host takes 300 ms to send whole placements to 63 ranks.
  SUBCASE("expands orders that contain only the changes of a placement") {
    const wire::expert_placement base = {{{1, 2}, {3}}};
    const wire::expert_placement next = {{{1}, {3, 2}}};
    wire::rank_order edited{.kind = wire::rank_order_kind::kPrepare,
                            .term = 5,
                            .version = 2,
                            .base_version = 1,
                            .edits = wire::DiffPlacement(base, next),
                            .placement_digest = wire::PlacementDigest(next)};

    // A rank that prepared another placement than the others under the same
    // version would route tokens to ranks without the expert.
    w.Handle(order_received{edited});
    CHECK(w.EffectsOfType<forward_order>().empty());

    w.Handle(order_received{{.kind = wire::rank_order_kind::kPrepare,
                             .term = 5,
                             .version = 1,
                             .placement = base}});
    w.Handle(order_received{edited});
    REQUIRE(w.EffectsOfType<forward_order>().size() == 2);
    CHECK(w.EffectsOfType<forward_order>().back().order.placement ==
          wire::expert_placement{{{1}, {2, 3}}});

    // A rank that got the whole placement lists the experts in another order;
    // the group takes that for another map.
    w.Handle(order_received{{.kind = wire::rank_order_kind::kPrepare,
                             .term = 5,
                             .version = 4,
                             .placement = next}});
    CHECK(w.EffectsOfType<forward_order>().back().order.placement ==
          wire::expert_placement{{{1}, {2, 3}}});
    edited.version = 5;
    w.Handle(order_received{edited});
    CHECK(w.EffectsOfType<forward_order>().back().order.placement ==
          wire::expert_placement{{{1}, {2, 3}}});
    REQUIRE(w.EffectsOfType<forward_order>().size() == 4);

    edited.version = 6;
    edited.placement_digest += 1;
    w.Handle(order_received{edited});
    CHECK(w.EffectsOfType<forward_order>().size() == 4);
  }

  SUBCASE("follows a later grant and ignores an earlier one after that") {
    w.Handle(grant_received{GrantTo("third", 7)});
    w.Handle(grant_received{GrantTo("other", 5)});
    CHECK(w.EffectsOfType<follow_coordinator>().back().address ==
          "10.0.0.7:7340");
  }

  SUBCASE("tells control if the coordinator is unreachable for over a second") {
    w.Handle(coordinator_link_changed{true});
    w.Run(2'000'000);
    CHECK(w.EffectsOfType<send_presence>().back().presence.coordinator_linked);
    w.Handle(coordinator_link_changed{false});
    w.Run(900'000);
    CHECK(w.EffectsOfType<send_presence>().back().presence.coordinator_linked);
    w.Run(300'000);
    CHECK_FALSE(
        w.EffectsOfType<send_presence>().back().presence.coordinator_linked);
  }

  SUBCASE("disconnects and drops the grant if the rank joins another group") {
    w.group = "h";
    w.Run(300'000);
    CHECK(w.EffectsOfType<follow_coordinator>().back().address.empty());
    w.Handle(order_received{{.kind = wire::rank_order_kind::kHold, .term = 9}});
    CHECK(w.EffectsOfType<forward_order>().empty());
  }
}

TEST_CASE("a sidecar coordinates its group if it has the grant") {
  sidecar_fixture w;
  w.Run(500'000);
  w.Handle(grant_received{GrantTo("me", 5)});
  CHECK(w.EffectsOfType<start_coordinating>().size() == 1);
  w.Run(500'000);
  CHECK_FALSE(w.EffectsOfType<send_status>().empty());

  SUBCASE("not under a grant to an earlier incarnation of the process") {
    sidecar_fixture later;
    later.state.incarnation = 4;
    later.Run(500'000);
    later.Handle(grant_received{GrantTo("me", 5)});
    later.Run(1'500'000);
    CHECK(later.EffectsOfType<start_coordinating>().empty());
    CHECK_FALSE(later.EffectsOfType<send_presence>()
                    .back()
                    .presence.coordinator_linked);
  }

  SUBCASE("until control grants coordination to another sidecar") {
    w.Handle(grant_received{GrantTo("other", 6)});
    CHECK(w.EffectsOfType<stop_coordinating>().size() == 1);
    w.Handle(order_received{{.kind = wire::rank_order_kind::kArm, .term = 5}});
    CHECK(w.EffectsOfType<forward_order>().empty());
  }
}

}  // namespace
}  // namespace wisteriaroute::sidecar
