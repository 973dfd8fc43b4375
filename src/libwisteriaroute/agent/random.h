#ifndef LIBWISTERIAROUTE_AGENT_RANDOM_H_
#define LIBWISTERIAROUTE_AGENT_RANDOM_H_

#include <cstdint>

namespace wisteriaroute::agent {

/** SplitMix64: advances `state` and returns the next number. */
constexpr std::uint64_t NextRandom(std::uint64_t& state) {
  state += 0x9E3779B97F4A7C15;
  std::uint64_t mixed = state;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EB;
  return mixed ^ (mixed >> 31);
}

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_RANDOM_H_
