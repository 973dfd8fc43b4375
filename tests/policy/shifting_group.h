#ifndef TESTS_POLICY_SHIFTING_GROUP_H_
#define TESTS_POLICY_SHIFTING_GROUP_H_

#include <cmath>
#include <numeric>
#include <random>
#include <utility>
#include <vector>

#include "libwisteriaroute/policy/demand_tracker.h"

namespace wisteriaroute::policy {

inline constexpr std::uint32_t kRanks = 12;
inline constexpr std::uint32_t kExperts = 96;
inline constexpr base::time_us kReportUs = 100'000;
inline constexpr base::time_us kTickUs = 10'000;
inline constexpr base::time_us kStepUs = 50'000;
inline constexpr double kTokensPerUs = 2;

/** Shares of the experts: the n-th most popular one gets a share proportional
 * to n^-1.3, and `first` is the most popular one. */
inline std::vector<double> Demand(std::uint32_t first) {
  std::vector<double> shares(kExperts);
  double sum = 0;
  for (std::uint32_t place = 0; place < kExperts; ++place) {
    shares[(first + place * 7) % kExperts] = std::pow(place + 1, -1.3);
    sum += std::pow(place + 1, -1.3);
  }
  for (double& share : shares) {
    share /= sum;
  }
  return shares;
}

/** When a rank adds the choices of a pass to its counts. */
enum class counting {
  kAtBegin,
  kAtEnd,
  /** As its requests make them, so a shift may fall into a pass. */
  kWithin,
};

/**
 * A group whose demand shifts at given times, in passes of kStepUs that all
 * ranks run together. Each rank reports its counts every 100 ms, one after the
 * other.
 */
class shifting_group {
 public:
  shifting_group(std::vector<base::time_us> shifts, counting counted)
      : shifts_(std::move(shifts)), counted_(counted), reported_us_(kRanks) {
    for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
      reported_us_[rank] = rank * kReportUs / kRanks;
    }
  }

  /** Ranks and counts of the reports that arrive at `now_us`. */
  std::vector<std::pair<std::uint32_t, std::vector<std::uint32_t>>> Reports(
      base::time_us now_us) {
    std::vector<std::pair<std::uint32_t, std::vector<std::uint32_t>>> all;
    for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
      if (now_us - reported_us_[rank] < kReportUs) {
        continue;
      }
      std::vector<std::uint32_t> counts(kExperts);
      const base::time_us slice_us =
          counted_ == counting::kWithin ? kTickUs : kStepUs;
      for (base::time_us at =
               reported_us_[rank] / slice_us * slice_us + slice_us;
           at <= now_us; at += slice_us) {
        const std::vector<double> shares =
            At(counted_ == counting::kAtBegin ? at : at - slice_us);
        for (std::uint32_t e = 0; e < kExperts; ++e) {
          counts[e] += static_cast<std::uint32_t>(
              shares[e] * kTokensPerUs * slice_us / kRanks *
              std::uniform_real_distribution<>(0.8, 1.2)(random_));
        }
      }
      reported_us_[rank] = now_us;
      all.emplace_back(rank, std::move(counts));
    }
    return all;
  }

  std::vector<double> At(base::time_us at) const {
    std::uint32_t first = 0;
    for (std::size_t i = 0; i < shifts_.size(); ++i) {
      first =
          at >= shifts_[i] ? static_cast<std::uint32_t>(31 * (i + 1)) : first;
    }
    return Demand(first);
  }

 private:
  std::vector<base::time_us> shifts_;
  counting counted_;
  std::vector<base::time_us> reported_us_;
  std::mt19937 random_{20261204};
};

/** Part of `tokens` that deviates from `shares`. */
inline double Deviation(const std::vector<std::uint64_t>& tokens,
                        const std::vector<double>& shares) {
  const auto sum = static_cast<double>(
      std::accumulate(tokens.begin(), tokens.end(), std::uint64_t{0}));
  double off = 0;
  for (std::size_t i = 0; i < tokens.size(); ++i) {
    off += std::abs(static_cast<double>(tokens[i]) / sum - shares[i]);
  }
  return off / 2;
}

/** Delay until the first demand after a shift is returned, and its error. */
struct outcome {
  base::time_us delay_us = 0;
  double mixed = 0;
};

template <typename Tracker>
outcome FirstDemandAfter(base::time_us shift_us,
                         counting counted,
                         Tracker&& tracker) {
  shifting_group group({shift_us}, counted);
  const std::vector<double> before = group.At(0);
  for (base::time_us now = 0; now < shift_us + 2'000'000; now += kTickUs) {
    for (const auto& [rank, counts] : group.Reports(now)) {
      tracker.Note(rank, counts, now);
    }
    const auto demand = tracker.Settled(now);
    // Demand that is still close to the former one causes no change.
    if (demand && now > shift_us && Deviation(*demand, before) > 0.25) {
      return {now - shift_us, Deviation(*demand, group.At(now))};
    }
  }
  return {2'000'000, 1};
}

inline count_report Report(std::uint32_t rank,
                           std::vector<std::uint32_t> counts,
                           base::time_us window_us,
                           base::time_us now) {
  return {.rank = rank,
          .first_step = static_cast<std::uint64_t>((now - window_us) / kStepUs),
          .last_step = static_cast<std::uint64_t>(now / kStepUs),
          .tokens = std::move(counts)};
}

struct tracked {
  demand_tracker state;

  void Note(std::uint32_t rank,
            const std::vector<std::uint32_t>& counts,
            base::time_us now) {
    NoteCounts(state, Report(rank, counts, kReportUs, now), kExperts, now);
  }
  auto Settled(base::time_us now) { return SettledDemand(state, kRanks, now); }
};

}  // namespace wisteriaroute::policy

#endif  // TESTS_POLICY_SHIFTING_GROUP_H_
