#include "libwisteriaroute/policy/server_choice.h"

#include <limits>

namespace wisteriaroute::policy {

namespace {

// Load reports aren't precise enough to distinguish smaller differences.
constexpr double kLoadToleranceRequests = 0.75;

bool IsFull(const server_candidate& one) {
  return one.load + 1 > one.slots + one.queue;
}

}  // namespace

std::optional<std::size_t> ChooseServer(
    std::span<const server_candidate> candidates,
    std::uint64_t random) {
  double best = std::numeric_limits<double>::infinity();
  for (const server_candidate& one : candidates) {
    if (!IsFull(one) && one.load / one.slots < best) {
      best = one.load / one.slots;
    }
  }
  std::uint64_t near = 0;
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const server_candidate& one = candidates[i];
    if (IsFull(one) ||
        one.load / one.slots > best + kLoadToleranceRequests / one.slots) {
      continue;
    }
    // Reservoir sampling: each near-equal candidate is chosen with equal
    // probability.
    ++near;
    random = random * 6'364'136'223'846'793'005U + 1'442'695'040'888'963'407U;
    if ((random >> 33) % near == 0) {
      chosen = i;
    }
  }
  return chosen;
}

}  // namespace wisteriaroute::policy
