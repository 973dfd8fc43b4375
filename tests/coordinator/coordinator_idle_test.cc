#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

#include "libwisteriaroute/coordinator/coordinator.h"

namespace wisteriaroute::coordinator {
namespace {

constexpr std::uint32_t kRanks = 2;
constexpr std::uint16_t kExperts = 8;
constexpr base::time_us kTickUs = 100'000;

/** A coordinator of a group whose ranks report every 100 ms. */
struct group_fixture {
  coordinator_state state;
  base::time_us now_us = 1'000'000;
  std::uint64_t formation = 1;

  group_fixture() {
    Step(state,
         coordination_granted{
             {.group = "g",
              .term = 1,
              .shape = wire::placement_shape{.sets = 1,
                                             .experts = kExperts,
                                             .slots = 6,
                                             .spare_slots = 2,
                                             .copy_us = 400'000}}},
         now_us);
  }

  /** Runs for `duration_us` and returns the number of orders of the kind. */
  int CountOrders(wire::rank_order_kind kind,
                  base::time_us duration_us,
                  std::uint32_t tokens) {
    int count = 0;
    for (const base::time_us end = now_us + duration_us; now_us < end;
         now_us += kTickUs) {
      for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
        count += CountSent(kind, rank_reported{rank + 1, Status(rank, tokens)});
      }
      count += CountSent(kind, coordinator_tick{});
    }
    return count;
  }

  int CountSent(wire::rank_order_kind kind, const coordinator_event& event) {
    int count = 0;
    for (const coordinator_effect& effect : Step(state, event, now_us)) {
      const auto* sent = std::get_if<send_order>(&effect);
      count += sent != nullptr && sent->order.kind == kind ? 1 : 0;
    }
    return count;
  }

  wire::rank_status Status(std::uint32_t rank, std::uint32_t tokens) const {
    wire::rank_status status{.service = "model",
                             .group = "g",
                             .formation = formation,
                             .rank = rank,
                             .ranks = kRanks,
                             .group_running = true,
                             .step = 5,
                             .term = 1};
    wire::expert_list& held = status.experts.emplace_back();
    for (std::uint16_t e = 0; e < kExperts; ++e) {
      if (e % kRanks == rank) {
        held.push_back(e);
      }
    }
    status.expert_tokens.assign(kExperts, tokens);
    return status;
  }
};

TEST_CASE("experts are replicated in advance only while the group is idle") {
  group_fixture w;
  using enum wire::rank_order_kind;

  SUBCASE("a group is idle only after a second without tokens") {
    CHECK(w.CountOrders(kPrepare, 900'000, 0) == 0);
    CHECK(w.CountOrders(kPrepare, 1'000'000, 0) > 0);
  }

  SUBCASE("a group that runs requests prepares no replicas") {
    CHECK(w.CountOrders(kPrepare, 3'000'000, 5'000) == 0);
  }

  SUBCASE("a group that has just formed again isn't idle yet") {
    CHECK(w.CountOrders(kPrepare, 3'000'000, 5'000) == 0);
    w.formation = 2;
    CHECK(w.CountOrders(kPrepare, 900'000, 0) == 0);
  }
}

}  // namespace
}  // namespace wisteriaroute::coordinator
