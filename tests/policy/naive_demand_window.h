#ifndef TESTS_POLICY_NAIVE_DEMAND_WINDOW_H_
#define TESTS_POLICY_NAIVE_DEMAND_WINDOW_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/** Baseline that sums all counts of consecutive fixed windows. */
struct naive_demand_window {
  static constexpr base::time_us kWindowUs = 200'000;

  std::vector<std::uint64_t> tokens;
  base::time_us start_us = 0;

  void Note(std::uint32_t,
            const std::vector<std::uint32_t>& counts,
            base::time_us) {
    tokens.resize(counts.size());
    for (std::size_t i = 0; i < counts.size(); ++i) {
      tokens[i] += counts[i];
    }
  }

  std::optional<std::vector<std::uint64_t>> Settled(base::time_us now_us) {
    if (now_us - start_us < kWindowUs || tokens.empty()) {
      return std::nullopt;
    }
    start_us = now_us;
    return std::exchange(tokens, {});
  }
};

}  // namespace wisteriaroute::policy

#endif  // TESTS_POLICY_NAIVE_DEMAND_WINDOW_H_
