#include "libwisteriaroute/gateway/servers.h"

#include <algorithm>
#include <cmath>

namespace wisteriaroute::gateway {

namespace {

// The estimate of other entries' requests shifts from the last report of the
// server to the mean of its pool as the report ages. Both weigh the same after
// this time, which is about the duration of a request.
constexpr double kLoadHalfLifeUs = 2'000'000;
// Fewer load reports don't give a reliable mean.
constexpr double kMinLoadReports = 2;
// Consecutive failures after which a server is suspended. The duration doubles
// with each further failure, up to kMaxSuspendUs.
constexpr int kSuspendAfterFailures = 3;
constexpr base::time_us kSuspendUs = 1'000'000;
constexpr base::time_us kMaxSuspendUs = 4'000'000;
// Suspension of a server that refused a request because it is full.
constexpr base::time_us kBusyUs = 50'000;
// Suspension of a server that can't be connected to: it is gone or still
// starting.
constexpr base::time_us kUnreachableUs = 1'000'000;
// Bounds memory. Enough for all servers of the largest deployment that leave in
// an hour.
constexpr std::size_t kMaxLeavingIncarnations = 4'096;

}  // namespace

std::vector<const server*> server_table::Update(
    const wire::member_update& update,
    base::time_us now_us,
    base::time_us group_start_us) {
  std::vector<std::string> leaving;
  std::set<std::string, std::less<>> named;
  for (const wire::member_info& info : update.changed) {
    if (info.role != wire::member_role::kServer) {
      continue;
    }
    named.insert(info.name);
    const auto found = servers_.find(info.name);
    // A full list is what a leader knows that was just elected; an earlier one
    // may have numbered the runs higher.
    if (found != servers_.end() && !update.full &&
        found->second.info.incarnation > info.incarnation) {
      continue;
    }
    outages_.NoteRank(info, now_us, group_start_us);
    server& one = servers_[info.name];
    if (one.info.incarnation != info.incarnation) {
      // The load of a new incarnation is unknown; Load() uses the mean of the
      // pool.
      one = {};
    }
    const bool left = one.info.leaving;
    one.info = info;
    one.info.leaving =
        left || leaving_incarnations_.contains({info.name, info.incarnation});
    if (info.leaving && !one.info.leaving) {
      NoteLeaving(one);
      leaving.push_back(info.name);
    }
  }
  for (const std::string& name : update.removed) {
    servers_.erase(name);
  }
  if (update.full) {
    std::erase_if(servers_, [&](const auto& item) {
      return !named.contains(item.first);
    });
  }
  std::vector<const server*> kept;
  for (const std::string& name : leaving) {
    if (const server* one = Find(name)) {
      kept.push_back(one);
    }
  }
  return kept;
}

std::vector<server*> server_table::Usable(std::string_view service,
                                          base::time_us now_us) {
  std::vector<server*> usable;
  // If all groups are down, their ranks decide: they refuse requests, or run
  // those that they get while they start.
  const bool is_running = HasRunningGroup(service, now_us);
  for (auto& [id, one] : servers_) {
    if (one.info.backend.service == service && !one.info.leaving &&
        !IsEvacuated(one) && one.suspended_until_us <= now_us &&
        one.paused_until_us <= now_us &&
        (!is_running || outages_.IsRunning(one.info.backend.group, now_us))) {
      usable.push_back(&one);
    }
  }
  return usable;
}

bool server_table::HasAny(std::string_view service) const {
  return std::ranges::any_of(servers_, [&](const auto& item) {
    return item.second.info.backend.service == service &&
           !item.second.info.leaving && !IsEvacuated(item.second);
  });
}

bool server_table::HasEvacuated(std::string_view service) const {
  return std::ranges::any_of(servers_, [&](const auto& item) {
    return item.second.info.backend.service == service &&
           !item.second.info.leaving && IsEvacuated(item.second);
  });
}

std::optional<base::time_us> server_table::FirstPauseEnd(
    std::string_view service,
    base::time_us now_us) const {
  std::optional<base::time_us> first;
  for (const auto& [id, one] : servers_) {
    if (one.info.backend.service != service || one.info.leaving ||
        IsEvacuated(one)) {
      continue;
    }
    if (one.paused_until_us <= now_us) {
      return std::nullopt;
    }
    first = std::min(first.value_or(one.paused_until_us), one.paused_until_us);
  }
  return first;
}

bool server_table::HasRunningGroup(std::string_view service,
                                   base::time_us now_us) const {
  return std::ranges::any_of(servers_, [&](const auto& item) {
    const wire::member_info& info = item.second.info;
    return info.backend.service == service && !info.leaving &&
           !IsEvacuated(item.second) &&
           outages_.IsRunning(info.backend.group, now_us);
  });
}

server_table::total_load server_table::TotalLoad(std::string_view pool,
                                                 base::time_us now_us) const {
  total_load total;
  for (const auto& [id, one] : servers_) {
    // What still runs at evacuated servers takes no capacity of the others.
    if (PoolOf(one.info) == pool && !IsEvacuated(one)) {
      total.requests += Load(one, now_us);
      total.servers += one.info.leaving || one.paused_until_us > now_us ? 0 : 1;
    }
  }
  return total;
}

std::optional<double> server_table::MeanLoad(std::string_view pool,
                                             base::time_us now_us) const {
  const auto found = pools_.find(pool);
  if (found == pools_.end()) {
    return std::nullopt;
  }
  const pool_load& known = found->second;
  const double left = std::exp2(-static_cast<double>(now_us - known.at_us) /
                                static_cast<double>(kPoolHalfLifeUs));
  if (known.weight * left < kMinLoadReports) {
    return std::nullopt;
  }
  return known.requests_sum / known.weight;
}

double server_table::Load(const server& target, base::time_us now_us) const {
  const auto age = static_cast<double>(now_us - target.load_reported_us);
  const double report_weight = std::exp2(-age / kLoadHalfLifeUs);
  const auto own = static_cast<double>(target.in_flight);
  const double pool_mean =
      std::max(0.0, MeanLoad(PoolOf(target.info), now_us).value_or(0) - own);
  return own + target.other_requests * report_weight +
         pool_mean * (1 - report_weight);
}

server* server_table::Find(std::string_view id) {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

void server_table::NoteLoad(server& target,
                            const server_load& load,
                            base::time_us now_us) {
  target.other_requests = std::max(
      0.0, static_cast<double>(load.running + load.waiting - target.in_flight));
  target.load_reported_us = now_us;
  if (IsEvacuated(target)) {
    // Its falling load would lower the mean of the servers that remain.
    return;
  }
  pool_load& pool = pools_[PoolOf(target.info)];
  const double left = std::exp2(-static_cast<double>(now_us - pool.at_us) /
                                static_cast<double>(kPoolHalfLifeUs));
  // The reported load includes the request that this response answers, so one
  // is subtracted. The rest is a sample of the mean load of a server, because
  // requests arrive independently of each other.
  const auto found = static_cast<double>(load.running + load.waiting - 1);
  pool.requests_sum = pool.requests_sum * left + std::max(0.0, found);
  pool.weight = pool.weight * left + 1;
  pool.at_us = now_us;
}

void server_table::NoteVerdict(server& target,
                               attempt_verdict verdict,
                               base::time_us now_us) {
  const auto suspend = [&](base::time_us duration_us) {
    target.suspended_until_us =
        std::max(target.suspended_until_us, now_us + duration_us);
  };
  switch (verdict) {
    case attempt_verdict::kGood:
      target.failures = 0;
      return;
    case attempt_verdict::kBusy:
      suspend(kBusyUs);
      return;
    case attempt_verdict::kFailed:
      ++target.failures;
      if (target.failures >= kSuspendAfterFailures) {
        const int doublings = target.failures - kSuspendAfterFailures;
        suspend(std::min(kMaxSuspendUs, kSuspendUs << std::min(doublings, 2)));
      }
      return;
    case attempt_verdict::kUnreachable:
      ++target.failures;
      suspend(kUnreachableUs);
      return;
    case attempt_verdict::kReplaced:
      suspend(kMaxSuspendUs);
      return;
  }
}

void server_table::NoteLeaving(server& target) {
  target.info.leaving = true;
  if (leaving_incarnations_.size() < kMaxLeavingIncarnations) {
    leaving_incarnations_.emplace(target.info.name, target.info.incarnation);
  }
}

bool server_table::NoteCrash(std::string_view id,
                             std::uint64_t incarnation,
                             base::time_us now_us) {
  const server* crashed = Find(id);
  return crashed != nullptr && crashed->info.incarnation == incarnation &&
         outages_.NoteLost(crashed->info, now_us);
}

void server_table::NotePause(server& target, base::time_us until_us) {
  target.paused_until_us = std::max(target.paused_until_us, until_us);
  target.responses_after_pause = 0;
}

const std::string& PoolOf(const wire::member_info& server) {
  return server.backend.group.empty() ? server.backend.service
                                      : server.backend.group;
}

}  // namespace wisteriaroute::gateway
