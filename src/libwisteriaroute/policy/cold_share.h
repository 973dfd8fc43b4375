#ifndef LIBWISTERIAROUTE_POLICY_COLD_SHARE_H_
#define LIBWISTERIAROUTE_POLICY_COLD_SHARE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::policy {

/** Rate of a cold server as a number of requests in any sliding window. */
struct cold_rate {
  int requests = 0;
  base::time_us window_us = 0;

  bool operator==(const cold_rate&) const = default;
};

/**
 * The rate `per_s`, which must be above 0, without loss by rounding: its
 * requests are whole, and its window is at least a second.
 */
cold_rate ColdRate(double per_s);

/** Identifies an entry in rendezvous hashing. */
std::uint64_t EntryId(std::string_view name);

/**
 * Requests of `total` that the entry `own` may send to the server. The shares
 * of all `entries` (including `own`) add up to `total`: each has the whole
 * quotient, and the entries that rendezvous hashing ranks first for the server
 * have one more.
 */
int ColdShare(int total,
              std::string_view server,
              std::uint64_t own,
              std::span<const std::uint64_t> entries);

/**
 * Share of an entry that doesn't know the other entries. The shares of up to
 * kAssumedEntries entries add up to `total` or less on average.
 */
int ColdShareAlone(int total, std::string_view server, std::uint64_t own);

/** More entries than any deployment is planned with. */
inline constexpr int kAssumedEntries = 1'024;

/** Times of the latest requests sent to a server. */
class recent_sends {
 public:
  /** Records a request, and forgets those that `window_us` has left behind. */
  void Note(base::time_us now_us, base::time_us window_us);
  /**
   * When the next request may be sent so that no window of `window_us` has more
   * than `allowed` of them, at the earliest `now_us`. Nothing if `allowed` is
   * 0.
   */
  std::optional<base::time_us> NextUs(int allowed,
                                      base::time_us window_us,
                                      base::time_us now_us) const;
  /** Counts requests that were sent at `from_us` or later as sent at `to_us`.
   */
  void Delay(base::time_us from_us, base::time_us to_us);

 private:
  std::vector<base::time_us> times_us_;
};

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_COLD_SHARE_H_
