#include "libwisteriaroute/gateway/group_outages.h"

#include <algorithm>

namespace wisteriaroute::gateway {

namespace {

// After this time without news of the lost ranks, the group gets requests
// again, in case the news has been missed.
constexpr base::time_us kMaxOutageUs = 10'000'000;

}  // namespace

void group_outages::NoteRank(const wire::member_info& rank,
                             base::time_us now_us,
                             base::time_us start_us) {
  if (rank.backend.group.empty()) {
    return;
  }
  group& target = groups_[rank.backend.group];
  const auto [known, is_new] =
      target.ranks.try_emplace(rank.backend.rank, rank.incarnation);
  if (is_new || known->second >= rank.incarnation) {
    return;
  }
  known->second = rank.incarnation;
  target.lost_ranks.erase(rank.backend.rank);
  if (target.lost_ranks.empty() || target.down_until_us <= now_us) {
    target.lost_ranks.clear();
    SetDown(target, now_us + start_us);
  }
}

bool group_outages::NoteLost(const wire::member_info& rank,
                             base::time_us now_us) {
  const auto found = groups_.find(rank.backend.group);
  if (found == groups_.end()) {
    return false;
  }
  group& target = found->second;
  const auto known = target.ranks.find(rank.backend.rank);
  if (known == target.ranks.end() || known->second > rank.incarnation) {
    return false;
  }
  const bool was_running = target.down_until_us <= now_us;
  if (was_running) {
    target.lost_ranks.clear();
  }
  target.lost_ranks.insert(rank.backend.rank);
  SetDown(target, now_us + kMaxOutageUs);
  return was_running;
}

bool group_outages::IsRunning(std::string_view name,
                              base::time_us now_us) const {
  if (now_us >= all_run_us_) {
    return true;
  }
  const auto found = groups_.find(name);
  return found == groups_.end() || found->second.down_until_us <= now_us;
}

void group_outages::SetDown(group& target, base::time_us until_us) {
  target.down_until_us = until_us;
  all_run_us_ = std::max(all_run_us_, until_us);
}

}  // namespace wisteriaroute::gateway
