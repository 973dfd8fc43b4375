#include "libwisteriaroute/policy/expert_layer.h"

#include <algorithm>
#include <numeric>

namespace wisteriaroute::policy {

namespace {

// Relative improvement below which a move is rounding error.
constexpr double kMinImprovement = 1e-9;
// Ranks tried as partners of the slowest one, if a move was found among them.
// The fastest ranks are tried first. Trying all 127 others of a large group
// made a decision four times as slow for the same skew.
constexpr std::uint32_t kMaxPartners = 32;

}  // namespace

expert_layer::expert_layer(std::span<const std::uint16_t> slots,
                           std::uint32_t slots_per_rank,
                           std::span<const double> share,
                           std::span<const double> speed,
                           std::span<std::uint32_t> copies_left,
                           std::uint32_t layer_copies)
    : slots_(slots.begin(), slots.end()),
      initial_slots_(slots.begin(), slots.end()),
      copies_left_(copies_left),
      layer_copies_left_(copies_left.size(), layer_copies),
      slots_per_rank_(slots_per_rank),
      ranks_(static_cast<std::uint32_t>(slots.size()) / slots_per_rank),
      share_(share),
      speed_(speed),
      replicas_(share.size(), 0),
      replica_share_(share.size(), 0) {
  for (const std::uint16_t expert : slots_) {
    ++replicas_[expert];
  }
  order_.resize(ranks_);
  std::iota(order_.begin(), order_.end(), 0);
  RebuildTimes();
}

void expert_layer::RebuildTimes() {
  for (std::size_t e = 0; e < replica_share_.size(); ++e) {
    replica_share_[e] = share_[e] / replicas_[e];
  }
  time_.assign(ranks_, 0);
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    time_[i / slots_per_rank_] += ReplicaShare(slots_[i]);
  }
  for (std::uint32_t r = 0; r < ranks_; ++r) {
    time_[r] /= speed_[r];
  }
  // Almost sorted after a move, so insertion sort is cheap.
  for (std::size_t i = 1; i < order_.size(); ++i) {
    for (std::size_t j = i; j > 0 && time_[order_[j]] < time_[order_[j - 1]];
         --j) {
      std::swap(order_[j], order_[j - 1]);
    }
  }
  slowest_ = order_.back();
}

double expert_layer::MaxTime() const {
  return time_[slowest_];
}

std::uint32_t expert_layer::SlowestRank() const {
  return slowest_;
}

bool expert_layer::Holds(std::uint32_t rank, std::uint16_t expert) const {
  const auto first = slots_.begin() + rank * slots_per_rank_;
  const auto last = first + slots_per_rank_;
  return std::find(first, last, expert) != last;
}

bool expert_layer::HeldInitially(std::uint32_t rank,
                                 std::uint16_t expert) const {
  const auto first = initial_slots_.begin() + rank * slots_per_rank_;
  const auto last = first + slots_per_rank_;
  return std::find(first, last, expert) != last;
}

bool expert_layer::MayReceive(std::uint32_t rank, std::uint16_t expert) const {
  return copies_left_.empty() ||
         (copies_left_[rank] > 0 && layer_copies_left_[rank] > 0) ||
         HeldInitially(rank, expert);
}

void expert_layer::CountReceived(std::uint32_t rank, std::uint16_t expert) {
  if (!copies_left_.empty() && !HeldInitially(rank, expert)) {
    --copies_left_[rank];
    --layer_copies_left_[rank];
  }
}

void expert_layer::ConsiderExchange(std::uint32_t slot,
                                    std::uint32_t other_rank,
                                    std::uint32_t other_slot,
                                    move& best) const {
  const std::uint16_t mine = slots_[slowest_ * slots_per_rank_ + slot];
  const std::uint16_t theirs =
      slots_[other_rank * slots_per_rank_ + other_slot];
  const double difference = ReplicaShare(mine) - ReplicaShare(theirs);
  const double touched =
      std::max(time_[slowest_] - difference / speed_[slowest_],
               time_[other_rank] + difference / speed_[other_rank]);
  // The time is the cheapest condition and few candidates meet it, so it is
  // checked first.
  if (touched < best.max_affected_time && !Holds(other_rank, mine) &&
      !Holds(slowest_, theirs) && MayReceive(other_rank, mine) &&
      MayReceive(slowest_, theirs)) {
    best = {slowest_, slot, other_rank, other_slot, false, touched};
  }
}

// Gives the other rank a replica of one of the slowest rank's experts, in
// place of an expert that has further replicas elsewhere.
void expert_layer::ConsiderReplica(std::uint32_t slot,
                                   std::uint32_t other_rank,
                                   std::uint32_t other_slot,
                                   move& best) const {
  const std::uint16_t mine = slots_[slowest_ * slots_per_rank_ + slot];
  const std::uint16_t theirs =
      slots_[other_rank * slots_per_rank_ + other_slot];
  if (replicas_[theirs] < 2) {
    return;
  }
  const double part = share_[mine] / (replicas_[mine] + 1);
  const double relief = ReplicaShare(mine) - part;
  const double pushed =
      share_[theirs] / (replicas_[theirs] - 1) - ReplicaShare(theirs);
  double touched = std::max(
      time_[slowest_] - relief / speed_[slowest_],
      time_[other_rank] + (part - ReplicaShare(theirs)) / speed_[other_rank]);
  if (touched >= best.max_affected_time || Holds(other_rank, mine) ||
      !MayReceive(other_rank, mine)) {
    return;
  }
  for (std::uint32_t r = 0; r < ranks_; ++r) {
    if (r != other_rank && Holds(r, theirs)) {
      const double relieved = r == slowest_ ? relief : 0;
      touched = std::max(touched, time_[r] + (pushed - relieved) / speed_[r]);
    }
  }
  if (touched < best.max_affected_time) {
    best = {slowest_, slot, other_rank, other_slot, true, touched};
  }
}

bool expert_layer::FindMove(move& best) const {
  best = {};
  best.max_affected_time = time_[slowest_] * (1 - kMinImprovement);
  const double limit = best.max_affected_time;
  std::uint32_t tried = 0;
  for (const std::uint32_t r : order_) {
    if (r == slowest_) {
      continue;
    }
    if (++tried > kMaxPartners && best.max_affected_time < limit) {
      break;
    }
    // At best a move equalizes the times of the two ranks. Ranks are tried
    // fastest first, so the remaining ones can't do better.
    const double equalized =
        (time_[slowest_] * speed_[slowest_] + time_[r] * speed_[r]) /
        (speed_[slowest_] + speed_[r]);
    if (equalized >= best.max_affected_time) {
      break;
    }
    for (std::uint32_t slot = 0; slot < slots_per_rank_; ++slot) {
      for (std::uint32_t other = 0; other < slots_per_rank_; ++other) {
        ConsiderExchange(slot, r, other, best);
        ConsiderReplica(slot, r, other, best);
      }
    }
  }
  return best.max_affected_time < limit;
}

void expert_layer::Apply(const move& chosen) {
  std::uint16_t& mine = slots_[chosen.rank * slots_per_rank_ + chosen.slot];
  std::uint16_t& theirs =
      slots_[chosen.other_rank * slots_per_rank_ + chosen.other_slot];
  CountReceived(chosen.other_rank, mine);
  if (!chosen.replicate) {
    CountReceived(chosen.rank, theirs);
  }
  if (chosen.replicate) {
    --replicas_[theirs];
    ++replicas_[mine];
    theirs = mine;
  } else {
    std::swap(mine, theirs);
  }
  RebuildTimes();
}

}  // namespace wisteriaroute::policy
