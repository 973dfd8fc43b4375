#include "libwisteriaroute/entry/queue.h"

#include <algorithm>

#include "libwisteriaroute/entry/attempts.h"
#include "libwisteriaroute/entry/claims.h"
#include "libwisteriaroute/entry/quarantine.h"
#include "libwisteriaroute/policy/routing.h"

namespace wisteriaroute::entry {

namespace {

// Requests that can't be dispatched, for instance suspects that wait for a
// server without suspects, don't block those behind them. This bounds the
// search.
constexpr int kMaxSkipped = 32;
// A server that refused or failed a request may get it again after this time
// if no other server is available.
constexpr base::time_us kAvoidUs = 250'000;
// Blocks have 64 bytes; a token counts as 4 bytes.
constexpr std::uint32_t kTokensPerBlock = 16;

bool IsAllowed(const step_context& step,
               const agent& candidate,
               const request_state& request,
               bool include_avoided) {
  return IsEligible(candidate, step.now_us) &&
         (!request.suspect || MayIsolate(step, request, candidate)) &&
         (include_avoided ||
          !request.avoided_agents.contains(candidate.member.name));
}

std::uint32_t CachedTokens(const agent& peer, const request_state& request) {
  const auto missing = std::find_if(
      request.prefix_blocks.begin(), request.prefix_blocks.end(),
      [&](std::uint64_t hash) { return !peer.cached_blocks.contains(hash); });
  return static_cast<std::uint32_t>(missing - request.prefix_blocks.begin()) *
         kTokensPerBlock;
}

policy::routing_candidate Describe(const entry_state& state,
                                   const agent& candidate,
                                   const request_state& request) {
  return {.reported_queued = candidate.load.queued,
          .reported_running = candidate.load.running,
          .slots = candidate.load.slots,
          .step_time_us = candidate.load.step_time_us,
          .in_flight = candidate.in_flight,
          .sent_since_report = candidate.sent_since_report,
          .same_data_center = candidate.member.data_center == state.data_center,
          .same_region = candidate.member.region == state.region,
          .failures = candidate.failures,
          .cached_tokens = CachedTokens(candidate, request)};
}

agent* ChooseAgent(step_context& step,
                   const pool& source,
                   const request_state& request) {
  std::vector<policy::routing_candidate> candidates;
  std::vector<agent*> agents;
  const bool allow_avoided = step.now_us - request.phase_since_us >= kAvoidUs;
  for (const bool include_avoided : {false, true}) {
    if (include_avoided && !allow_avoided) {
      break;
    }
    for (agent* candidate : source.agents) {
      if (IsAllowed(step, *candidate, request, include_avoided)) {
        candidates.push_back(Describe(step.state, *candidate, request));
        agents.push_back(candidate);
      }
    }
    if (!agents.empty()) {
      break;
    }
  }
  const auto chosen = policy::Choose(candidates,
                                     {.prompt_tokens = request.prompt_tokens,
                                      .expected_tokens = request.max_tokens},
                                     NextRandom(step.state));
  return chosen ? agents[*chosen] : nullptr;
}

void Dispatch(step_context& step, request_state& request, agent& to) {
  Dequeue(step, request);
  if (request.non_repeatable) {
    RequestClaim(step, request, to);
    return;
  }
  Submit(step, request, to,
         {.attempt = {step.state.incarnation, step.state.next_attempt++},
          .agent = to.member.name,
          .backend_incarnation = to.state->backend_incarnation,
          .window = to.state->window});
}

void DispatchPool(step_context& step, pool& source) {
  std::vector<std::uint64_t> numbers;
  int skipped = 0;
  auto it = source.waiting.begin();
  while (it != source.waiting.end() && skipped < kMaxSkipped) {
    const auto position = *it++;
    request_state* next = FindRequest(step.state, std::get<2>(position));
    if (next == nullptr) {
      source.waiting.erase(position);
      continue;
    }
    agent* to = ChooseAgent(step, source, *next);
    if (to == nullptr) {
      ++skipped;
      if (!next->suspect && next->avoided_agents.empty()) {
        return;
      }
      continue;
    }
    source.virtual_time = std::max(source.virtual_time, next->fair_tag);
    Dispatch(step, *next, *to);
  }
}

}  // namespace

bool IsEligible(const agent& candidate, base::time_us now_us) {
  if (!candidate.is_member || candidate.drained || candidate.evacuated ||
      candidate.member.leaving || candidate.link == 0 || !candidate.state ||
      now_us < candidate.suspended_until_us) {
    return false;
  }
  const wire::agent_state& state = *candidate.state;
  const std::uint64_t registered = candidate.member.backend.incarnation;
  return state.accepting && state.healthy && !state.leaving &&
         (registered == 0 || registered == state.backend_incarnation);
}

void Enqueue(step_context& step, request_state& request) {
  SetPhase(step, request, request_phase::kQueued);
  pool& target = step.state.pools[request.pool];
  double share = 1;
  const auto found =
      step.state.configuration->workspaces.find(request.workspace);
  if (found != step.state.configuration->workspaces.end()) {
    share = std::max(found->second.share, 0.001);
  }
  // Fair queueing: each request advances the tag of its workspace by cost over
  // share, and a workspace that was idle starts at the pool's virtual time.
  // Retries keep their position.
  if (request.attempts == 0 && request.fair_tag == 0) {
    const double cost = 1 + request.prompt_tokens + request.max_tokens;
    double& last_tag = target.last_tags[request.workspace];
    last_tag = std::max(last_tag, target.virtual_time) + cost / share;
    request.fair_tag = last_tag;
  }
  if (target.waiting.emplace(request.priority, request.fair_tag, request.number)
          .second) {
    ++step.state.queued;
  }
}

void Dequeue(step_context& step, request_state& request) {
  const auto found = step.state.pools.find(request.pool);
  if (found != step.state.pools.end() &&
      found->second.waiting.erase(
          {request.priority, request.fair_tag, request.number}) > 0) {
    --step.state.queued;
  }
}

void DispatchQueued(step_context& step) {
  if (step.state.queued == 0 || step.now_us >= step.state.lease_until_us) {
    return;
  }
  for (auto& [name, source] : step.state.pools) {
    DispatchPool(step, source);
  }
}

bool HasCandidate(const step_context& step, const request_state& request) {
  const auto found = step.state.pools.find(request.pool);
  return found != step.state.pools.end() &&
         std::any_of(found->second.agents.begin(), found->second.agents.end(),
                     [&](const agent* candidate) {
                       return IsEligible(*candidate, step.now_us);
                     });
}

}  // namespace wisteriaroute::entry
