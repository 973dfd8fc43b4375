#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

#include "libwisteriaroute/control/rank_group_drive.h"

namespace wisteriaroute::control {
namespace {

constexpr std::uint32_t kRanks = 2;
constexpr std::uint16_t kExperts = 8;
constexpr base::time_us kTickUs = 100'000;

std::optional<config::traffic_set> Decode(std::string_view, base::findings&) {
  return config::traffic_set{
      .services = {{.name = "model",
                    .engine = config::engine_shape{.expert_sets = 1,
                                                   .experts = kExperts,
                                                   .expert_slots = 6,
                                                   .spare_slots = 2}}}};
}

/** A leader with a group whose ranks report every 100 ms. */
struct world {
  replica_state state;
  base::time_us now_us = 1'000'000;
  std::uint64_t formation = 1;

  world() {
    state.options.decode_traffic = &Decode;
    state.leading.emplace();
    state.leading->term = 1;
  }

  /** Orders of the kind within `duration_us`. */
  int Orders(wire::rank_order_kind kind,
             base::time_us duration_us,
             std::uint32_t tokens) {
    int count = 0;
    for (const base::time_us end = now_us + duration_us; now_us < end;
         now_us += kTickUs) {
      replica_effects out;
      for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
        HandleRankStatus(state, rank + 1, Status(rank, tokens), {now_us, 0},
                         out);
      }
      DriveRankGroups(state, {now_us, 0}, out);
      for (const replica_effect& effect : out) {
        const auto* sent = std::get_if<send_to_links>(&effect);
        const auto* order = sent == nullptr
                                ? nullptr
                                : std::get_if<wire::rank_order>(&sent->message);
        count += order != nullptr && order->kind == kind ? 1 : 0;
      }
    }
    return count;
  }

  wire::rank_status Status(std::uint32_t rank, std::uint32_t tokens) const {
    wire::rank_status status{.service = "model",
                             .group = "g",
                             .formation = formation,
                             .rank = rank,
                             .ranks = kRanks,
                             .open = true,
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

TEST_CASE("a group copies ahead only while it is idle") {
  world w;
  using enum wire::rank_order_kind;

  SUBCASE("which isn't known in its first second") {
    CHECK(w.Orders(kPrepare, 900'000, 0) == 0);
    CHECK(w.Orders(kPrepare, 1'000'000, 0) > 0);
  }

  SUBCASE("not while it runs requests") {
    CHECK(w.Orders(kPrepare, 3'000'000, 5'000) == 0);
  }

  SUBCASE("not when it has just formed again") {
    CHECK(w.Orders(kPrepare, 3'000'000, 5'000) == 0);
    w.formation = 2;
    CHECK(w.Orders(kPrepare, 900'000, 0) == 0);
  }
}

}  // namespace
}  // namespace wisteriaroute::control
