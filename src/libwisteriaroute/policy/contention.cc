#include "libwisteriaroute/policy/contention.h"

#include <algorithm>
#include <cmath>

namespace wisteriaroute::policy {

namespace {

// Follows a burst within its first second, and still averages over some dozen
// requests of an entry.
constexpr base::time_us kDemandHalfLifeUs = 1'500'000;
// Covers several periods of a wave, so that a kind that has just been favoured
// isn't favoured again at once.
constexpr base::time_us kShareHalfLifeUs = 4'000'000;
// Without a request that finds the service full, all requests compete again
// within seconds, so capacity isn't left unused.
constexpr base::time_us kTightnessHalfLifeUs = 1'000'000;
// Admits slightly more than in the last seconds, because the rate that the
// servers can take may have grown.
constexpr double kGrowth = 1.1;
constexpr double kMaxCredit = 1.5;
// A kind or workspace that is admitted less often than this fraction of all
// requests isn't thinned. The lower bound that callers
// are owed is a quarter.
constexpr double kFairFraction = 0.4;
constexpr double kMinOffered = 4;
constexpr std::size_t kMaxShares = 4'096;
constexpr double kForgottenShare = 0.05;

constexpr base::time_ms kMinReturnMs = 300;
// Capacity that returning callers may count on; the rest is for new ones.
constexpr double kReturnFraction = 0.5;
constexpr std::size_t kMaxReturns = 1'024;
constexpr int kRoutePriorities = 16;

using share_map = std::map<std::string, admission_share, std::less<>>;

admission_share& ShareOf(share_map& shares,
                         std::string_view name,
                         base::time_us now_us) {
  const auto found = shares.find(name);
  if (found != shares.end()) {
    return found->second;
  }
  if (shares.size() >= kMaxShares) {
    std::erase_if(shares, [&](const auto& item) {
      return item.second.offered.Value(kShareHalfLifeUs, now_us) <
             kForgottenShare;
    });
  }
  return shares[std::string(name)];
}

double AdmittedRatio(const admission_share& share, base::time_us now_us) {
  return share.admitted.Value(kShareHalfLifeUs, now_us) /
         std::max(share.offered.Value(kShareHalfLifeUs, now_us), 1.0);
}

bool IsUnderserved(const contention& state,
                   const share_map& shares,
                   std::string_view name,
                   base::time_us now_us) {
  const auto found = shares.find(name);
  return found != shares.end() &&
         found->second.offered.Value(kShareHalfLifeUs, now_us) >= kMinOffered &&
         AdmittedRatio(found->second, now_us) <
             kFairFraction * AdmittedRatio(state.all, now_us);
}

/** Requests a second that a decayed sum of requests stands for. */
double PerSecond(const decayed_sum& sum, base::time_us now_us) {
  constexpr double kUsPerSecond = 1e6;
  return sum.Value(kDemandHalfLifeUs, now_us) * std::log(2.0) * kUsPerSecond /
         static_cast<double>(kDemandHalfLifeUs);
}

}  // namespace

void decayed_sum::Add(double amount,
                      base::time_us half_life_us,
                      base::time_us now_us) {
  sum_ = Value(half_life_us, now_us) + amount;
  at_us_ = now_us;
}

double decayed_sum::Value(base::time_us half_life_us,
                          base::time_us now_us) const {
  return sum_ * std::exp2(-static_cast<double>(now_us - at_us_) /
                          static_cast<double>(half_life_us));
}

int UrgencyOf(int priority, int route_priority) {
  return priority * kRoutePriorities +
         std::clamp(route_priority, 0, kRoutePriorities - 1);
}

void NoteDemand(contention& state,
                const contender& request,
                base::time_us now_us) {
  state.levels[request.urgency].demand.Add(1, kDemandHalfLifeUs, now_us);
  state.all.offered.Add(1, kShareHalfLifeUs, now_us);
  ShareOf(state.kinds, request.kind, now_us)
      .offered.Add(1, kShareHalfLifeUs, now_us);
  ShareOf(state.workspaces, request.workspace, now_us)
      .offered.Add(1, kShareHalfLifeUs, now_us);
}

void NoteAdmitted(contention& state,
                  const contender& request,
                  base::time_us now_us) {
  state.admitted.Add(1, kDemandHalfLifeUs, now_us);
  state.all.admitted.Add(1, kShareHalfLifeUs, now_us);
  ShareOf(state.kinds, request.kind, now_us)
      .admitted.Add(1, kShareHalfLifeUs, now_us);
  ShareOf(state.workspaces, request.workspace, now_us)
      .admitted.Add(1, kShareHalfLifeUs, now_us);
}

void NoteFull(contention& state, base::time_us now_us) {
  state.last_full_us = now_us;
}

bool MayCompete(contention& state,
                const contender& request,
                base::time_us now_us) {
  if (state.last_full_us == 0 || state.levels.size() < 2) {
    return true;
  }
  const double tightness =
      std::exp2(-static_cast<double>(now_us - state.last_full_us) /
                static_cast<double>(kTightnessHalfLifeUs));
  double left = kGrowth * state.admitted.Value(kDemandHalfLifeUs, now_us);
  for (const auto& [urgency, level] : state.levels) {
    if (urgency >= request.urgency) {
      break;
    }
    left -= level.demand.Value(kDemandHalfLifeUs, now_us);
  }
  urgency_level& level = state.levels[request.urgency];
  const double wanted =
      std::max(level.demand.Value(kDemandHalfLifeUs, now_us), 1.0);
  const double fraction = std::clamp(left / wanted, 0.0, 1.0);
  level.credit =
      std::min(level.credit + 1 - tightness * (1 - fraction), kMaxCredit);
  if (level.credit >= 1 ||
      IsUnderserved(state, state.kinds, request.kind, now_us) ||
      IsUnderserved(state, state.workspaces, request.workspace, now_us)) {
    level.credit = std::max(level.credit - 1, 0.0);
    return true;
  }
  return false;
}

base::time_ms ReturnDelayMs(contention& state,
                            const contender& request,
                            base::time_ms remaining_ms,
                            std::uint64_t random,
                            base::time_us now_us) {
  std::deque<base::time_us>& times = state.return_times[request.urgency];
  while (!times.empty() && times.front() < now_us) {
    times.pop_front();
  }
  const double per_s =
      std::max(kReturnFraction * PerSecond(state.admitted, now_us), 1.0);
  const auto spacing_us = static_cast<base::time_us>(1e6 / per_s);
  const base::time_us earliest_us = now_us + kMinReturnMs * 1'000;
  const base::time_us latest_us =
      std::max(earliest_us, now_us + remaining_ms * 1'000 / 3);
  base::time_us at_us = std::max(
      earliest_us, times.empty() ? earliest_us : times.back() + spacing_us);
  if (at_us > latest_us || times.size() >= kMaxReturns) {
    const auto span = static_cast<std::uint64_t>(latest_us - earliest_us + 1);
    at_us = earliest_us + static_cast<base::time_us>(random % span);
  } else {
    times.push_back(at_us);
  }
  return (at_us - now_us) / 1'000;
}

}  // namespace wisteriaroute::policy
