#ifndef STANDIN_PREFIX_CACHE_H_
#define STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::standin {

/** A block was added to the cache or evicted from it. */
struct cache_event {
  /** Counts from 1. */
  std::uint64_t sequence = 0;
  base::time_us at_us = 0;
  /** False: evicted. */
  bool added = false;
  std::uint64_t block = 0;
};

/** A cache of prompt prefix blocks with LRU eviction and a log of changes. */
class prefix_cache {
 public:
  explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

  /** Returns how many leading blocks are cached and marks them as used. */
  std::size_t Match(const std::vector<std::uint64_t>& blocks);
  /** Adds the blocks that aren't cached, evicting beyond the capacity. */
  void Insert(const std::vector<std::uint64_t>& blocks, base::time_us now_us);

  /** Returns the kept events after `sequence` that are `lag_us` old or more. */
  std::vector<cache_event> Events(std::uint64_t sequence,
                                  base::time_us now_us,
                                  base::time_us lag_us) const;

  std::size_t size() const { return lru_positions_.size(); }

 private:
  void RecordEvent(bool added, std::uint64_t block, base::time_us now_us);

  std::size_t capacity_;
  std::list<std::uint64_t> lru_blocks_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      lru_positions_;
  std::deque<cache_event> events_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace wisteriaroute::standin

#endif  // STANDIN_PREFIX_CACHE_H_
