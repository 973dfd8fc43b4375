#include "libwisteriaroute/entry/state.h"

namespace wisteriaroute::entry {

// SplitMix64: good enough for sampling; reproducible from the events' seeds.
std::uint64_t NextRandom(entry_state& state) {
  state.random += 0x9e3779b97f4a7c15ULL;
  std::uint64_t z = state.random;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

bool IsReady(const entry_state& state, base::time_us now_us) {
  return state.configuration != nullptr && now_us < state.lease_until_us &&
         !state.stopping;
}

void SetPhase(step_context& step, request_state& request, request_phase phase) {
  request.phase = phase;
  request.phase_since_us = step.now_us;
}

request_state* FindRequest(entry_state& state, std::uint64_t number) {
  const auto it = state.requests.find(number);
  return it == state.requests.end() ? nullptr : &it->second;
}

request_state* FindByAttempt(entry_state& state, const wire::attempt_id& id) {
  const auto it = state.request_of_attempt.find(id);
  return it == state.request_of_attempt.end() ? nullptr
                                              : FindRequest(state, it->second);
}

agent* FindAgent(entry_state& state, std::string_view name) {
  const auto it = state.agents.find(name);
  return it == state.agents.end() ? nullptr : &it->second;
}

}  // namespace wisteriaroute::entry
