#include "libwisteriaroute/control/replica_membership.h"

#include <algorithm>

namespace wisteriaroute::control {

namespace {

// Longer than an election and a restart, so that a restarting voter isn't
// removed from the replica set.
constexpr base::time_ms kRemovalSilenceMs = 4'000;
// A live voter answers every heartbeat, sent each 100 ms.
constexpr base::time_ms kMaxLiveSilenceMs = 1'000;

// Ticks that are later than this many periods show a pause.
constexpr base::time_us kLatePeriods = 2;

}  // namespace

void silence_clock::Tick(base::time_us now_us, base::time_us period_us) {
  if (now_us - last_tick_us_ > kLatePeriods * period_us) {
    running_since_us_ = now_us;
  }
  last_tick_us_ = now_us;
}

base::time_ms silence_clock::SilentMs(base::time_us last_reply_us,
                                      base::time_us now_us) const {
  return (now_us - std::max(last_reply_us, running_since_us_)) / 1'000;
}

std::optional<raft::change_replicas> NextReplicaChange(
    std::span<const replica_view> replicas,
    std::span<const replica_address> connected,
    std::string_view self,
    std::size_t target_voters) {
  for (const replica_address& one : connected) {
    const bool known = std::ranges::any_of(
        replicas, [&](const replica_view& r) { return r.name == one.name; });
    if (!known && !one.address.empty()) {
      return raft::change_replicas{.change = raft::replica_change::kAddLearner,
                                   .name = one.name,
                                   .address = one.address,
                                   .promote_when_ready = true};
    }
  }
  const auto live =
      std::ranges::count_if(replicas, [&](const replica_view& one) {
        return one.voter &&
               (one.name == self || one.silent_ms <= kMaxLiveSilenceMs);
      });
  if (static_cast<std::size_t>(live) < target_voters) {
    return std::nullopt;
  }
  for (const replica_view& one : replicas) {
    if (one.name != self && one.silent_ms > kRemovalSilenceMs) {
      return raft::change_replicas{.change = raft::replica_change::kRemove,
                                   .name = one.name};
    }
  }
  return std::nullopt;
}

}  // namespace wisteriaroute::control
