#include <algorithm>
#include <limits>
#include <vector>

#include "libwisteriaroute/gateway/step_context.h"

namespace wisteriaroute::gateway {

namespace {

// Assumed for servers that don't declare their slots.
constexpr double kDefaultSlots = 8;
// An attempt that has run for this multiple of the usual time is a sample of
// its server before it ends; then again at each doubling.
constexpr double kOverdueFactor = 3;

/** Whether the server's limit is estimated. The ranks of a group run all passes
 * in lockstep, so there the pass determines the speed, not the server. */
bool IsEstimated(const step_context& step, const server& one) {
  return step.state.options.server_limits && one.info.backend.group.empty();
}

double SlotsNow(const step_context& step, const server& one) {
  const double slots = DeclaredSlots(one);
  return IsEstimated(step, one)
             ? SlotsHandledWell(one.capacity, slots, step.now_us)
             : slots;
}

void UpdateMedian(step_context& step,
                  std::string_view service,
                  policy::peer_capacity& peers) {
  std::vector<double> slowness;
  for (const auto& [id, one] : step.state.servers.all()) {
    if (one.info.backend.service == service && IsEstimated(step, one)) {
      if (const auto known = Slowness(one.capacity, step.now_us)) {
        slowness.push_back(*known);
      }
    }
  }
  SetMedian(peers, slowness, step.now_us);
}

void LogChange(step_context& step, server& of, std::string_view cause) {
  const double slots = DeclaredSlots(of);
  if (!TakeChange(of.capacity, slots, step.now_us)) {
    return;
  }
  const policy::peer_capacity& peers =
      step.state.peer_capacities[of.info.backend.service];
  const double slowness =
      Slowness(of.capacity, step.now_us).value_or(peers.median) - peers.median;
  step.Note("server_limit_changed",
            {{"server", of.info.name},
             {"limit", std::to_string(SlotsNow(step, of))},
             {"slots", std::to_string(slots)},
             {"slowness", std::to_string(std::exp(slowness))},
             {"samples", std::to_string(of.capacity.weight)},
             {"cause", std::string(cause)}});
}

/** Records the time that the attempt has taken until now. */
void NoteElapsed(step_context& step,
                 const request_state& request,
                 bool in_progress) {
  server* target = step.state.servers.Find(request.server);
  if (target == nullptr || !IsEstimated(step, *target) ||
      target->info.incarnation != request.server_incarnation) {
    return;
  }
  policy::peer_capacity& peers = step.state.peer_capacities[request.service];
  if (IsMedianDue(peers, step.now_us)) {
    UpdateMedian(step, request.service, peers);
  }
  NoteSample(
      target->capacity, peers,
      {.route = request.route->name,
       .elapsed_ms =
           static_cast<double>(step.now_us - request.attempt_started_us) /
           1'000,
       .load = std::max(1.0, step.state.servers.Load(*target, step.now_us)),
       .slots = DeclaredSlots(*target),
       .in_progress = in_progress},
      step.now_us);
  LogChange(step, *target, in_progress ? "in_progress" : "response_time");
}

/** A candidate that is due for a probe and has a slot; nothing if none is. */
std::optional<std::size_t> FindProbe(
    const step_context& step,
    const request_state& request,
    std::span<server* const> servers,
    std::span<const std::size_t> indexes,
    std::span<const policy::server_candidate> candidates) {
  const auto peers = step.state.peer_capacities.find(request.service);
  // A request that has been sent to another server has less time left.
  if (peers == step.state.peer_capacities.end() || request.attempts > 0 ||
      !MayProbe(peers->second)) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const server& one = *servers[indexes[i]];
    const policy::server_candidate& slot = candidates[i];
    if (one.in_flight == 0 && slot.load + 1 <= slot.slots + slot.queue &&
        IsEstimated(step, one) &&
        IsProbeDue(one.capacity, peers->second, step.now_us)) {
      return i;
    }
  }
  return std::nullopt;
}

/** Whether the server is expected to respond too late. */
bool IsTooSlow(const step_context& step,
               const request_state& request,
               const server& one) {
  const auto peers = step.state.peer_capacities.find(request.service);
  if (peers == step.state.peer_capacities.end()) {
    return false;
  }
  const std::optional<double> expected_ms =
      ExpectedMs(one.capacity, peers->second, request.route->name, step.now_us);
  return expected_ms &&
         *expected_ms * 1'000 >
             static_cast<double>(request.deadline_us - step.now_us);
}

}  // namespace

double DeclaredSlots(const server& one) {
  return one.info.backend.slots > 0
             ? static_cast<double>(one.info.backend.slots)
             : kDefaultSlots;
}

std::optional<std::size_t> ChooseWithinLimits(
    step_context& step,
    const request_state& request,
    std::span<server* const> servers,
    std::span<const std::size_t> indexes,
    std::span<policy::server_candidate> candidates) {
  const std::uint64_t random = step.Random();
  const double queue = step.state.options.server_queue;
  if (const auto probe =
          FindProbe(step, request, servers, indexes, candidates)) {
    return probe;
  }
  bool is_limited = false;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double slots = SlotsNow(step, *servers[indexes[i]]);
    if (slots < candidates[i].slots) {
      is_limited = true;
      // Half of the slots leave nothing to wait for.
      candidates[i].queue = std::min(
          queue, queue * std::max(0.0, 2 * slots / candidates[i].slots - 1));
      candidates[i].slots = slots;
    }
  }
  const auto chosen = policy::ChooseServer(candidates, random);
  if (chosen || !is_limited) {
    return chosen;
  }
  // A slow response is better than a refusal, unless it comes too late.
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const server& one = *servers[indexes[i]];
    candidates[i].slots = DeclaredSlots(one);
    candidates[i].queue = IsTooSlow(step, request, one)
                              ? -std::numeric_limits<double>::infinity()
                              : queue;
  }
  return policy::ChooseServer(candidates, random);
}

void BeginMeasurement(step_context& step, request_state& request, server& to) {
  request.overdue_us = 0;
  if (!IsEstimated(step, to)) {
    return;
  }
  policy::peer_capacity& peers = step.state.peer_capacities[request.service];
  if (to.capacity.limit > 0) {
    const bool is_probe = IsProbeDue(to.capacity, peers, step.now_us);
    NoteSent(to.capacity, peers, is_probe, step.Random(), step.now_us);
  }
  if (const auto usual_ms = UsualMs(peers, request.route->name)) {
    request.overdue_us = step.now_us + static_cast<base::time_us>(
                                           kOverdueFactor * *usual_ms * 1'000);
  }
}

void NoteResponseTime(step_context& step, request_state& request) {
  NoteElapsed(step, request, false);
  request.overdue_us = 0;
}

void NoteOverdue(step_context& step, request_state& request) {
  if (request.overdue_us == 0 || request.overdue_us > step.now_us ||
      request.attempt == 0) {
    return;
  }
  request.overdue_us = step.now_us + (step.now_us - request.attempt_started_us);
  NoteElapsed(step, request, true);
}

void NoteVerdictForLimit(step_context& step,
                         server& target,
                         attempt_verdict verdict,
                         const request_state& request) {
  if (!IsEstimated(step, target) ||
      target.info.incarnation != request.server_incarnation) {
    return;
  }
  const double slots = DeclaredSlots(target);
  if (verdict == attempt_verdict::kBusy) {
    const std::optional<server_load>& load = request.head->load;
    NoteRefusal(
        target.capacity,
        load ? std::optional(static_cast<double>(load->running + load->waiting))
             : std::nullopt,
        slots, step.now_us);
  } else if (verdict == attempt_verdict::kFailed) {
    NoteFailure(target.capacity, slots, step.now_us);
  } else {
    return;
  }
  LogChange(step, target,
            verdict == attempt_verdict::kBusy ? "refusal" : "failure");
}

}  // namespace wisteriaroute::gateway
