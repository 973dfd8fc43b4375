#ifndef TESTS_POLICY_NAIVE_EXPERT_MAP_H_
#define TESTS_POLICY_NAIVE_EXPERT_MAP_H_

#include <algorithm>
#include <numeric>
#include <span>
#include <vector>

#include "libwisteriaroute/policy/expert_plan.h"

namespace wisteriaroute::policy::naive {

/** Step time of a map: the sum over layers of the slowest rank's time. */
inline double StepTime(const wire::expert_map& map,
                       std::span<const double> share,
                       std::span<const double> speed) {
  double total = 0;
  for (std::uint32_t l = 0; l < map.layers; ++l) {
    std::vector<std::uint32_t> replicas(map.experts, 0);
    const std::size_t per_layer =
        static_cast<std::size_t>(map.ranks) * map.slots_per_rank;
    const auto slots = std::span(map.slots).subspan(l * per_layer, per_layer);
    for (const auto expert : slots) {
      ++replicas[expert];
    }
    double slowest = 0;
    for (std::uint32_t r = 0; r < map.ranks; ++r) {
      double time = 0;
      for (std::uint32_t s = 0; s < map.slots_per_rank; ++s) {
        const auto expert = slots[r * map.slots_per_rank + s];
        time += share[l * map.experts + expert] / replicas[expert];
      }
      slowest = std::max(slowest, time / speed[r]);
    }
    total += slowest;
  }
  return total;
}

/** Lower bound of the step time: all tokens divided among all ranks by their
 * speed. */
inline double StepTimeBound(std::uint32_t layers,
                            std::span<const double> speed) {
  return layers / std::accumulate(speed.begin(), speed.end(), 0.0);
}

/** Replicas of one layer: each spare slot goes to the expert with the largest
 * share per replica. */
inline std::vector<std::uint32_t> ChooseReplicas(std::span<const double> share,
                                                 std::uint32_t slots,
                                                 std::uint32_t ranks) {
  std::vector<std::uint32_t> replicas(share.size(), 1);
  for (std::size_t spare = slots - share.size(); spare > 0; --spare) {
    std::size_t best = 0;
    double largest = -1;
    for (std::size_t e = 0; e < share.size(); ++e) {
      if (replicas[e] < ranks && share[e] / replicas[e] > largest) {
        largest = share[e] / replicas[e];
        best = e;
      }
    }
    ++replicas[best];
  }
  return replicas;
}

/** Places all experts from scratch: replicas by popularity, then the largest
 * share first, each to the rank with the least load. */
inline wire::expert_map Repack(const wire::expert_map& shape,
                               std::span<const double> share,
                               std::span<const double> speed) {
  wire::expert_map map = shape;
  const std::uint32_t per_rank = map.slots_per_rank;
  for (std::uint32_t l = 0; l < map.layers; ++l) {
    const auto layer = share.subspan(l * map.experts, map.experts);
    const auto replicas =
        ChooseReplicas(layer, map.ranks * per_rank, map.ranks);
    std::vector<std::uint16_t> parts;
    for (std::uint32_t e = 0; e < map.experts; ++e) {
      parts.insert(parts.end(), replicas[e], static_cast<std::uint16_t>(e));
    }
    std::stable_sort(parts.begin(), parts.end(), [&](auto a, auto b) {
      return layer[a] / replicas[a] > layer[b] / replicas[b];
    });
    std::vector<double> time(map.ranks, 0);
    std::vector<std::vector<std::uint16_t>> held(map.ranks);
    for (const auto expert : parts) {
      const double part = layer[expert] / replicas[expert];
      std::uint32_t best = map.ranks;
      for (int pass = 0; pass < 2 && best == map.ranks; ++pass) {
        for (std::uint32_t r = 0; r < map.ranks; ++r) {
          const bool twice = std::find(held[r].begin(), held[r].end(),
                                       expert) != held[r].end();
          // The second pass allows a repeated expert when nothing else fits.
          if (held[r].size() < per_rank && (pass == 1 || !twice) &&
              (best == map.ranks || (time[r] + part) / speed[r] <
                                        (time[best] + part) / speed[best])) {
            best = r;
          }
        }
      }
      held[best].push_back(expert);
      time[best] += part;
    }
    for (std::uint32_t r = 0; r < map.ranks; ++r) {
      std::copy(
          held[r].begin(), held[r].end(),
          map.slots.begin() +
              static_cast<std::ptrdiff_t>(
                  (static_cast<std::size_t>(l) * map.ranks + r) * per_rank));
    }
  }
  return map;
}

}  // namespace wisteriaroute::policy::naive

#endif  // TESTS_POLICY_NAIVE_EXPERT_MAP_H_
