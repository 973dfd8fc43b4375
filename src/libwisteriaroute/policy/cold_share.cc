#include "libwisteriaroute/policy/cold_share.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "libwisteriaroute/base/digest.h"

namespace wisteriaroute::policy {

namespace {

constexpr double kSecondUs = 1e6;
// Keeps the window of a tiny rate within the range of a time.
constexpr double kMaxWindowS = 86'400;

std::uint64_t Weight(std::string_view server, std::uint64_t entry) {
  return base::Hash64(server, entry);
}

}  // namespace

// A window of ceil(rate) / rate seconds keeps a rate of 1.5 at 3 requests in 2
// seconds, where whole requests per second would make it 1. A window of one
// second then has at most ceil(rate) requests.
cold_rate ColdRate(double per_s) {
  const double requests = std::ceil(per_s);
  return {.requests = static_cast<int>(requests),
          .window_us = static_cast<base::time_us>(
              std::ceil(std::min(requests / per_s, kMaxWindowS) * kSecondUs))};
}

std::uint64_t EntryId(std::string_view name) {
  return base::Hash64(name);
}

int ColdShare(int total,
              std::string_view server,
              std::uint64_t own,
              std::span<const std::uint64_t> entries) {
  const int count = std::max(1, static_cast<int>(entries.size()));
  const std::uint64_t weight = Weight(server, own);
  const auto before = std::ranges::count_if(entries, [&](std::uint64_t other) {
    const std::uint64_t other_weight = Weight(server, other);
    return other_weight > weight || (other_weight == weight && other > own);
  });
  return total / count + (before < total % count ? 1 : 0);
}

int ColdShareAlone(int total, std::string_view server, std::uint64_t own) {
  const double drawn =
      static_cast<double>(Weight(server, own)) /
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double mean = static_cast<double>(total) / kAssumedEntries;
  const double whole = std::floor(mean);
  return static_cast<int>(whole) + (drawn < mean - whole ? 1 : 0);
}

void recent_sends::Note(base::time_us now_us, base::time_us window_us) {
  std::erase_if(times_us_, [&](base::time_us time_us) {
    return time_us + window_us <= now_us;
  });
  times_us_.push_back(now_us);
}

std::optional<base::time_us> recent_sends::NextUs(int allowed,
                                                  base::time_us window_us,
                                                  base::time_us now_us) const {
  if (allowed <= 0) {
    return std::nullopt;
  }
  const auto count = static_cast<std::size_t>(allowed);
  if (times_us_.size() < count) {
    return now_us;
  }
  return std::max(now_us, times_us_[times_us_.size() - count] + window_us);
}

void recent_sends::Delay(base::time_us from_us, base::time_us to_us) {
  for (base::time_us& time_us : times_us_) {
    if (time_us >= from_us) {
      time_us = std::max(time_us, to_us);
    }
  }
}

}  // namespace wisteriaroute::policy
