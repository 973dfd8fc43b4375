#include "standin/prefix_cache.h"

namespace wisteriaroute::standin {

namespace {

// Older events are dropped; a reader notices a gap in the sequence numbers.
constexpr std::size_t kKeptEvents = 4'096;

}  // namespace

std::size_t prefix_cache::Match(const std::vector<std::uint64_t>& blocks) {
  std::size_t matched = 0;
  for (const std::uint64_t block : blocks) {
    const auto it = places_.find(block);
    if (it == places_.end()) {
      break;
    }
    order_.splice(order_.begin(), order_, it->second);
    ++matched;
  }
  return matched;
}

void prefix_cache::Insert(const std::vector<std::uint64_t>& blocks,
                          base::time_us now_us) {
  for (const std::uint64_t block : blocks) {
    if (places_.contains(block)) {
      continue;
    }
    order_.push_front(block);
    places_[block] = order_.begin();
    Record(true, block, now_us);
    if (places_.size() > capacity_) {
      const std::uint64_t oldest = order_.back();
      order_.pop_back();
      places_.erase(oldest);
      Record(false, oldest, now_us);
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

void prefix_cache::Record(bool added,
                          std::uint64_t block,
                          base::time_us now_us) {
  events_.push_back({next_sequence_++, now_us, added, block});
  if (events_.size() > kKeptEvents) {
    events_.pop_front();
  }
}

}  // namespace wisteriaroute::standin
