#include "libwisteriaroute/policy/routing.h"

#include <algorithm>
#include <limits>
#include <memory>

namespace wisteriaroute::policy {

namespace {

// Requests that may wait at an engine, to keep its batch full until the next
// load report arrives.
constexpr std::uint32_t kEngineQueueRequests = 2;
// Requests that one entry sends to a server that has not reported its slots.
constexpr std::uint32_t kDefaultSlots = 64;
constexpr double kDefaultStepUs = 20'000;
constexpr double kPrefillUsPerToken = 50;
constexpr double kOtherDataCenterUs = 1'000;
constexpr double kOtherRegionUs = 100'000;
// Network delay, indexed by same region and same data centre.
constexpr double kNetworkDelayUs[2][2] = {{kOtherRegionUs, kOtherRegionUs},
                                          {kOtherDataCenterUs, 0}};
constexpr double kFailurePenaltyUs = 250'000;
// A caller does not notice smaller differences between waits. Choosing at
// random among such candidates keeps several entries from picking the same
// server.
constexpr double kWaitToleranceUs = 2'000;
constexpr double kWaitToleranceFactor = 1.1;

std::uint32_t Slots(const routing_candidate& candidate) {
  return candidate.slots == 0 ? kDefaultSlots : candidate.slots;
}

}  // namespace

std::uint32_t Occupancy(const routing_candidate& candidate) {
  return std::max(candidate.in_flight, candidate.reported_queued +
                                           candidate.reported_running +
                                           candidate.sent_since_report);
}

bool HasRoom(const routing_candidate& candidate) {
  return Occupancy(candidate) < Slots(candidate) + kEngineQueueRequests;
}

double ExpectedWaitUs(const routing_candidate& candidate,
                      const routing_request& request) {
  const double step = candidate.step_time_us == 0
                          ? kDefaultStepUs
                          : static_cast<double>(candidate.step_time_us);
  const double occupied = Occupancy(candidate);
  const double slots = Slots(candidate);
  // A request beyond the slots waits until a slot is free.
  const double tokens = std::max<double>(request.expected_tokens, 1);
  const double queued = std::max(0.0, occupied + 1 - slots);
  const double per_slot = step / slots;
  const double wait = queued * tokens * per_slot;
  const std::uint32_t cached =
      std::min(candidate.cached_tokens, request.prompt_tokens);
  const double prefill = (request.prompt_tokens - cached) * kPrefillUsPerToken;
  // A table lookup avoids a branch that would often be mispredicted.
  const double network_delay =
      kNetworkDelayUs[candidate.same_region][candidate.same_data_center];
  return wait + step + occupied * per_slot + prefill + network_delay +
         candidate.failures * kFailurePenaltyUs;
}

std::optional<std::size_t> Choose(std::span<const routing_candidate> candidates,
                                  const routing_request& request,
                                  std::uint64_t random) {
  constexpr double kNever = std::numeric_limits<double>::infinity();
  constexpr double kRoomUs[2] = {kNever, 0};
  const auto waits =
      std::make_unique_for_overwrite<double[]>(candidates.size());
  double least = kNever;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    waits[i] = ExpectedWaitUs(candidates[i], request) +
               kRoomUs[HasRoom(candidates[i])];
    least = std::min(least, waits[i]);
  }
  if (least == kNever) {
    return std::nullopt;
  }
  const double limit = least * kWaitToleranceFactor + kWaitToleranceUs;
  // Branch-free filter: stores each index, and keeps it only if its wait is
  // within the limit.
  const auto near =
      std::make_unique_for_overwrite<std::uint32_t[]>(candidates.size());
  std::size_t count = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    near[count] = static_cast<std::uint32_t>(i);
    count += waits[i] <= limit ? 1 : 0;
  }
  return near[random % count];
}

}  // namespace wisteriaroute::policy
