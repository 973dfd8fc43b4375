#ifndef TESTS_POLICY_NAIVE_ROUTING_H_
#define TESTS_POLICY_NAIVE_ROUTING_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "libwisteriaroute/policy/routing.h"

namespace wisteriaroute::policy::naive {

/** Baselines that choose among all candidates; at least one is required. */
inline std::size_t ChooseAtRandom(std::span<const routing_candidate> candidates,
                                  std::uint64_t random) {
  return random % candidates.size();
}

/** Least reported load without correction for requests sent since the report;
 * the first one from a random position wins a tie. */
inline std::size_t ChooseLeastReported(
    std::span<const routing_candidate> candidates,
    std::uint64_t random) {
  std::size_t best = random % candidates.size();
  for (std::size_t n = 1; n < candidates.size(); ++n) {
    const std::size_t i = (random + n) % candidates.size();
    if (candidates[i].reported_queued + candidates[i].reported_running <
        candidates[best].reported_queued + candidates[best].reported_running) {
      best = i;
    }
  }
  return best;
}

/** Rendezvous hashing: the same prefix always goes to the same candidate. */
inline std::size_t ChooseByPrefix(std::span<const routing_candidate> candidates,
                                  std::uint64_t prefix) {
  std::size_t best = 0;
  std::uint64_t highest = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    std::uint64_t hash = (prefix * 1'000'003 + i) * 0x9E3779B97F4A7C15U;
    hash = (hash ^ (hash >> 29U)) * 0xBF58476D1CE4E5B9U;
    hash ^= hash >> 32U;
    if (hash >= highest) {
      highest = hash;
      best = i;
    }
  }
  return best;
}

/** Index of the candidate with room and the shortest expected wait; the number
 * of candidates if none has room. */
inline std::size_t LeastWait(std::span<const routing_candidate> candidates,
                             const routing_request& request) {
  std::size_t best = candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (HasRoom(candidates[i]) &&
        (best == candidates.size() ||
         ExpectedWaitUs(candidates[i], request) <
             ExpectedWaitUs(candidates[best], request))) {
      best = i;
    }
  }
  return best;
}

}  // namespace wisteriaroute::policy::naive

#endif  // TESTS_POLICY_NAIVE_ROUTING_H_
