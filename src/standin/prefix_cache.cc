#include "standin/prefix_cache.h"

namespace wisteriaroute::standin {

namespace {

// Older events are dropped; a reader notices a gap in the sequence numbers.
constexpr std::size_t kMaxCacheEvents = 4'096;

}  // namespace

std::size_t prefix_cache::Match(const std::vector<std::uint64_t>& blocks) {
  std::size_t matched = 0;
  for (const std::uint64_t block : blocks) {
    const auto it = lru_positions_.find(block);
    if (it == lru_positions_.end()) {
      break;
    }
    lru_blocks_.splice(lru_blocks_.begin(), lru_blocks_, it->second);
    ++matched;
  }
  return matched;
}

void prefix_cache::Insert(const std::vector<std::uint64_t>& blocks,
                          base::time_us now_us) {
  for (const std::uint64_t block : blocks) {
    if (lru_positions_.contains(block)) {
      continue;
    }
    lru_blocks_.push_front(block);
    lru_positions_[block] = lru_blocks_.begin();
    RecordEvent(true, block, now_us);
    if (lru_positions_.size() > capacity_) {
      const std::uint64_t oldest = lru_blocks_.back();
      lru_blocks_.pop_back();
      lru_positions_.erase(oldest);
      RecordEvent(false, oldest, now_us);
    }
  }
}

std::vector<cache_event> prefix_cache::Events(std::uint64_t sequence,
                                              base::time_us now_us,
                                              base::time_us lag_us) const {
  std::vector<cache_event> selected;
  for (const cache_event& event : events_) {
    if (event.sequence > sequence && event.at_us + lag_us <= now_us) {
      selected.push_back(event);
    }
  }
  return selected;
}

void prefix_cache::RecordEvent(bool added,
                               std::uint64_t block,
                               base::time_us now_us) {
  events_.push_back({next_sequence_++, now_us, added, block});
  if (events_.size() > kMaxCacheEvents) {
    events_.pop_front();
  }
}

}  // namespace wisteriaroute::standin
