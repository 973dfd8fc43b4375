#include "libwisteriaroute/policy/expert_spread.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace wisteriaroute::policy {
namespace {

constexpr std::uint32_t kExperts = 96;
constexpr std::uint32_t kRanks = 12;
constexpr std::uint32_t kSlots = 11;
constexpr std::size_t kSets = 3;

const spread_limits kLimits{.experts = kExperts,
                            .slots_per_rank = kSlots,
                            .max_copies_per_rank = 2};

/** Initial placement of a group: each rank holds every twelfth expert. */
wire::expert_placement FirstPlacement() {
  wire::expert_placement placement(kSets);
  for (auto& ranks : placement) {
    ranks.resize(kRanks);
    for (std::uint32_t e = 0; e < kExperts; ++e) {
      ranks[e % kRanks].push_back(static_cast<std::uint16_t>(e));
    }
  }
  return placement;
}

/**
 * Demand as the platform's engines generate it: the n-th most popular expert of
 * a set gets a share proportional to n^-1.3; `orders_` lists the experts by
 * popularity.
 */
class shifting_demand {
 public:
  explicit shifting_demand(std::uint32_t seed) : random_(seed) {
    for (auto& order : orders_) {
      order.resize(kExperts);
      for (std::uint32_t e = 0; e < kExperts; ++e) {
        order[e] = e;
      }
      std::shuffle(order.begin(), order.end(), random_);
    }
  }

  /** Swaps a part of the experts in each order with random others. */
  void Shift(double share) {
    for (auto& order : orders_) {
      for (std::uint32_t& expert : order) {
        if (std::uniform_real_distribution<>()(random_) < share) {
          std::swap(expert, order[random_() % kExperts]);
        }
      }
    }
  }

  std::vector<std::uint64_t> Tokens() const {
    std::vector<std::uint64_t> tokens(kSets * kExperts);
    for (std::size_t set = 0; set < kSets; ++set) {
      for (std::uint32_t place = 0; place < kExperts; ++place) {
        tokens[set * kExperts + orders_[set][place]] =
            static_cast<std::uint64_t>(1e6 * std::pow(place + 1, -1.3));
      }
    }
    return tokens;
  }

 private:
  std::mt19937 random_;
  std::vector<std::uint32_t> orders_[kSets];
};

std::uint32_t MaxNewPerRank(const wire::expert_placement& from,
                            const wire::expert_placement& to) {
  std::uint32_t most = 0;
  for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
    std::uint32_t sum = 0;
    for (std::size_t set = 0; set < kSets; ++set) {
      for (const std::uint16_t expert : to[set][rank]) {
        sum += std::ranges::count(from[set][rank], expert) == 0 ? 1 : 0;
      }
    }
    most = std::max(most, sum);
  }
  return most;
}

TEST_CASE("demand of a few experts is spread over the ranks") {
  const wire::expert_placement first = FirstPlacement();
  shifting_demand demand(20261204);
  const auto change = PlanSpread(first, demand.Tokens(), kLimits);
  REQUIRE(change);

  SUBCASE("and one change removes most of the skew") {
    CHECK(change->skew_before > 2.5);
    CHECK(change->skew_after < 1.5);
    CHECK(MeanSkew(change->placement, demand.Tokens(), kExperts) ==
          doctest::Approx(change->skew_after));
  }

  SUBCASE("and every expert keeps a slot, and no rank exceeds its limits") {
    for (const auto& ranks : change->placement) {
      std::vector<int> replicas(kExperts);
      for (const wire::expert_list& held : ranks) {
        CHECK(held.size() <= kSlots);
        for (const std::uint16_t expert : held) {
          ++replicas[expert];
        }
      }
      CHECK(std::ranges::min(replicas) >= 1);
    }
    CHECK(MaxNewPerRank(first, change->placement) <=
          kLimits.max_copies_per_rank);
  }

  SUBCASE("and a second change for the same demand reaches the minimum gain") {
    const auto again = PlanSpread(change->placement, demand.Tokens(), kLimits);
    if (again) {
      CHECK(again->skew_before - again->skew_after >= kLimits.min_gain);
    }
  }
}

TEST_CASE("one change follows each shift of demand") {
  wire::expert_placement placement = FirstPlacement();
  shifting_demand demand(7);
  double fixed = 0;
  double followed = 0;
  constexpr int kShifts = 20;
  for (int i = 0; i < kShifts; ++i) {
    const auto tokens = demand.Tokens();
    if (const auto change = PlanSpread(placement, tokens, kLimits)) {
      placement = change->placement;
    }
    fixed += MeanSkew(FirstPlacement(), tokens, kExperts);
    followed += MeanSkew(placement, tokens, kExperts);
    demand.Shift(0.65);
  }
  MESSAGE("mean skew of the first map ", fixed / kShifts, ", after a change ",
          followed / kShifts);
  CHECK(followed < 0.5 * fixed);
}

TEST_CASE("an idle group replicates experts before they are in demand") {
  const wire::expert_placement first = FirstPlacement();
  const spread_limits limits{
      .experts = kExperts, .slots_per_rank = kSlots, .max_copies_per_rank = 4};
  const auto idle_change = PlanIdleReplication(first, limits);
  REQUIRE(idle_change);

  SUBCASE("into all free slots, and no expert twice on a rank") {
    for (std::size_t set = 0; set < kSets; ++set) {
      std::vector<int> replicas(kExperts);
      for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
        wire::expert_list held = idle_change->placement[set][rank];
        CHECK(held.size() == kSlots);
        std::ranges::sort(held);
        CHECK(std::ranges::adjacent_find(held) == held.end());
        for (const std::uint16_t expert : held) {
          ++replicas[expert];
        }
      }
      // Each free slot holds the second replica of a different expert.
      CHECK(std::ranges::count(replicas, 2) == kRanks * (kSlots - 8));
      CHECK(std::ranges::max(replicas) == 2);
    }
    CHECK(idle_change->copies == kSets * kRanks * (kSlots - 8));
    CHECK_FALSE(PlanIdleReplication(idle_change->placement, limits));
  }

  SUBCASE("and the mean skew after a shift is lower") {
    double plain = 0;
    double replicated = 0;
    constexpr int kDemands = 200;
    for (int i = 0; i < kDemands; ++i) {
      const auto tokens =
          shifting_demand(static_cast<std::uint32_t>(i)).Tokens();
      plain += MeanSkew(first, tokens, kExperts);
      replicated += MeanSkew(idle_change->placement, tokens, kExperts);
    }
    MESSAGE("mean skew without ", plain / kDemands, ", with ",
            replicated / kDemands);
    CHECK(replicated < 0.92 * plain);
  }
}

}  // namespace
}  // namespace wisteriaroute::policy
