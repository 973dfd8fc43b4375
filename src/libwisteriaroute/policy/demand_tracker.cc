#include "libwisteriaroute/policy/demand_tracker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <set>
#include <utility>

namespace wisteriaroute::policy {

namespace {

// In a shorter period a rank counts too few tokens.
constexpr base::time_us kMinPeriodUs = 50'000;
// Bound of the counts sent by all ranks of a group to its coordinator. The
// slowest hosts have 6 Mbit/s for all traffic.
constexpr std::uint64_t kMaxCountBytesPerSecond = 250'000;
// Older reports are ignored; a shift removes them earlier.
constexpr base::time_us kMaxReportAgeUs = 600'000;
// Part of the ranks whose reports must be present; some ranks, such as idle
// ones, send none.
constexpr double kMinReportFraction = 0.75;
// After a shift a sample of the ranks suffices: all serve the same mix.
constexpr std::uint32_t kSampledPartOfRanks = 5;
constexpr std::uint32_t kMinSampledRanks = 4;
// Tokens per expert with which a map is planned at once after a shift, and with
// which it is planned after kMaxCollectUs.
constexpr std::uint64_t kEnoughTokensPerExpert = 12;
constexpr std::uint64_t kMinTokensPerExpert = 4;
constexpr base::time_us kMaxCollectUs = 120'000;
// A shift without enough reports by then is forgotten together with the
// baseline: the group runs hardly any requests.
constexpr base::time_us kAbandonUs = 1'500'000;
// With fewer tokens the shares are mostly noise.
constexpr std::uint64_t kMinTokens = 10'000;

// The sequential test adds up, over the reports, the part of the demand that
// seems to have moved, less kMovedSlack, and detects a shift at
// kEvidenceThreshold. kMaxEvidence bounds what one report adds, so that one
// rank with unusual requests isn't taken for a shift.
constexpr double kMovedSlack = 0.15;
constexpr double kMaxEvidence = 0.2;
constexpr double kEvidenceThreshold = 0.3;
// A report with at least this part shows a shift by itself.
constexpr double kSuspiciousPart = 0.25;
// Reports count less if they have fewer tokens than this.
constexpr double kFullReportTokens = 500;
// Reports that show less than this part of what the others show contain counts
// from before the shift.
constexpr double kPureFraction = 0.75;

// Weight that the baseline keeps at each report.
constexpr double kBaselineDecay = 0.98;
constexpr base::time_us kScorePeriodUs = 100'000;
// Tokens added to those of each expert in the baseline, since rare experts are
// seen seldom. Without them a baseline of few tokens takes the next reports for
// another shift (28 false alarms in 60 s, replay of 24 ranks).
constexpr double kPriorTokens = 2;
// A set with a smaller difference has no popular experts that could change.
constexpr double kMinScoreRange = 0.05;

/** Updates the scores: the logarithm of how much more likely a choice of an
 * expert is if half of the demand has moved to random experts. */
void UpdateScores(demand_tracker& tracker, base::time_us now_us) {
  const std::size_t experts = tracker.experts;
  const std::size_t sets = tracker.baseline.size() / experts;
  tracker.scored_us = now_us;
  tracker.score.assign(tracker.baseline.size(), 0);
  tracker.baseline_score.assign(sets, 0);
  tracker.unrelated_score.assign(sets, 0);
  const double even = 1 / static_cast<double>(experts);
  for (std::size_t set = 0; set < sets; ++set) {
    const auto counts =
        std::span(tracker.baseline).subspan(set * experts, experts);
    const double total = std::accumulate(counts.begin(), counts.end(), 0.0);
    for (std::size_t e = 0; e < experts; ++e) {
      const double share =
          (counts[e] + kPriorTokens) /
          (total + kPriorTokens * static_cast<double>(experts));
      const double score = std::log(0.5 + 0.5 * even / share);
      tracker.score[set * experts + e] = score;
      tracker.baseline_score[set] += share * score;
      tracker.unrelated_score[set] += even * score;
    }
  }
}

/** Estimated part of the demand of a report that moved to other experts. */
double MovedPart(const demand_tracker& tracker,
                 std::span<const std::uint32_t> tokens) {
  double moved = 0;
  double weight = 0;
  for (std::size_t set = 0; set < tracker.baseline_score.size(); ++set) {
    const double range =
        tracker.unrelated_score[set] - tracker.baseline_score[set];
    if (range < kMinScoreRange) {
      continue;
    }
    double score = 0;
    double total = 0;
    for (std::size_t i = set * tracker.experts; i < (set + 1) * tracker.experts;
         ++i) {
      score += tracker.score[i] * tokens[i];
      total += tokens[i];
    }
    moved += (score - total * tracker.baseline_score[set]) / range;
    weight += total;
  }
  return weight > 0 ? moved / weight : 0;
}

void RemoveReport(demand_tracker& tracker, std::size_t index) {
  const auto report =
      tracker.reports.begin() + static_cast<std::ptrdiff_t>(index);
  for (std::size_t i = 0; i < tracker.sum.size(); ++i) {
    tracker.sum[i] -= report->counts.tokens[i];
  }
  tracker.reports.erase(report);
}

template <typename Test>
void RemoveReportsIf(demand_tracker& tracker, Test&& test) {
  for (std::size_t i = tracker.reports.size(); i > 0; --i) {
    if (test(tracker.reports[i - 1])) {
      RemoveReport(tracker, i - 1);
    }
  }
}

void RemoveOldReports(demand_tracker& tracker, base::time_us now_us) {
  while (!tracker.reports.empty() &&
         tracker.reports.front().at_us < now_us - kMaxReportAgeUs) {
    RemoveReport(tracker, 0);
  }
}

/** Whether counts from `report` on are from after the suspected shift. A rank
 * may count the choices of a pass at its beginning or at its end. */
bool IsAfterShift(const demand_tracker& tracker, const count_report& report) {
  return report.first_step + 1 >= tracker.suspected_step;
}

/** Adds the evidence of a report; a shift is detected at the threshold. */
void TestForShift(demand_tracker& tracker,
                  const demand_tracker::recent_report& report,
                  base::time_us now_us) {
  const double tokens = std::accumulate(report.counts.tokens.begin(),
                                        report.counts.tokens.end(), 0.0);
  const double weight = std::min(tokens / kFullReportTokens, 1.0);
  const double before = tracker.evidence;
  tracker.evidence = std::max(
      0.0,
      before + weight * std::min(report.moved - kMovedSlack, kMaxEvidence));
  if (before == 0) {
    tracker.suspected_step = std::numeric_limits<std::uint64_t>::max();
  }
  if (report.moved >= kSuspiciousPart) {
    tracker.suspected_step =
        std::min(tracker.suspected_step, report.counts.last_step);
  }
  if (tracker.evidence >= kEvidenceThreshold) {
    tracker.evidence = 0;
    tracker.suspected_step =
        std::min(tracker.suspected_step, report.counts.last_step);
    tracker.shift_detected_us = tracker.last_shift_us = now_us;
    ++tracker.shifts;
    RemoveReportsIf(tracker, [&](const auto& one) {
      return !IsAfterShift(tracker, one.counts);
    });
  }
}

void Reset(demand_tracker& tracker, std::size_t numbers) {
  tracker.reports.clear();
  tracker.sum.assign(numbers, 0);
  tracker.baseline.clear();
  tracker.evidence = 0;
  tracker.shift_detected_us = 0;
}

/** Removes reports that still contain counts from before the shift. */
void RemoveMixedReports(demand_tracker& tracker) {
  std::vector<double> moved;
  for (const auto& one : tracker.reports) {
    moved.push_back(one.moved);
  }
  const auto upper =
      moved.begin() + static_cast<std::ptrdiff_t>(moved.size() * 3 / 4);
  std::ranges::nth_element(moved, upper);
  const double limit = *upper * kPureFraction;
  RemoveReportsIf(tracker, [&](const auto& one) { return one.moved < limit; });
}

bool HasEnough(const demand_tracker& tracker,
               std::uint32_t ranks,
               base::time_us now_us) {
  std::set<std::uint32_t> heard;
  for (const auto& one : tracker.reports) {
    heard.insert(one.counts.rank);
  }
  const std::uint64_t total =
      std::accumulate(tracker.sum.begin(), tracker.sum.end(), std::uint64_t{0});
  if (tracker.shift_detected_us == 0) {
    return heard.size() >= ranks * kMinReportFraction && total >= kMinTokens;
  }
  const std::uint32_t needed =
      std::max(std::min(ranks, kMinSampledRanks), ranks / kSampledPartOfRanks);
  const bool waited = now_us - tracker.shift_detected_us >= kMaxCollectUs;
  const std::uint64_t per_expert =
      waited ? kMinTokensPerExpert : kEnoughTokensPerExpert;
  return heard.size() >= needed && total >= per_expert * tracker.sum.size();
}

}  // namespace

base::time_us CountPeriodUs(std::uint32_t ranks, std::size_t report_bytes) {
  return std::max(kMinPeriodUs, static_cast<base::time_us>(
                                    std::uint64_t{ranks} * report_bytes *
                                    1'000'000 / kMaxCountBytesPerSecond));
}

bool NoteCounts(demand_tracker& tracker,
                count_report report,
                std::uint32_t experts,
                base::time_us now_us) {
  const bool counted = std::ranges::any_of(
      report.tokens, [](std::uint32_t count) { return count > 0; });
  if (!counted || experts == 0 || report.tokens.size() % experts != 0) {
    return counted;
  }
  if (tracker.experts != experts ||
      tracker.sum.size() != report.tokens.size()) {
    tracker.experts = experts;
    Reset(tracker, report.tokens.size());
  }
  RemoveOldReports(tracker, now_us);
  demand_tracker::recent_report recent{.counts = std::move(report),
                                       .at_us = now_us};
  if (!tracker.baseline.empty()) {
    if (tracker.shift_detected_us == 0 &&
        now_us - tracker.scored_us >= kScorePeriodUs && tracker.evidence == 0) {
      UpdateScores(tracker, now_us);
    }
    recent.moved = MovedPart(tracker, recent.counts.tokens);
  }
  if (tracker.shift_detected_us != 0 && !IsAfterShift(tracker, recent.counts)) {
    return true;
  }
  for (std::size_t i = 0; i < tracker.sum.size(); ++i) {
    tracker.sum[i] += recent.counts.tokens[i];
  }
  tracker.reports.push_back(std::move(recent));
  if (!tracker.baseline.empty() && tracker.shift_detected_us == 0) {
    const auto& last = tracker.reports.back();
    TestForShift(tracker, last, now_us);
    if (tracker.shift_detected_us == 0 && tracker.evidence == 0) {
      for (std::size_t i = 0; i < tracker.baseline.size(); ++i) {
        tracker.baseline[i] =
            tracker.baseline[i] * kBaselineDecay + last.counts.tokens[i];
      }
    }
  }
  return true;
}

std::optional<std::vector<std::uint64_t>> SettledDemand(demand_tracker& tracker,
                                                        std::uint32_t ranks,
                                                        base::time_us now_us) {
  RemoveOldReports(tracker, now_us);
  if (tracker.shift_detected_us != 0 &&
      now_us - tracker.shift_detected_us > kAbandonUs) {
    Reset(tracker, tracker.sum.size());
  }
  if (tracker.reports.empty() || !HasEnough(tracker, ranks, now_us)) {
    return std::nullopt;
  }
  if (tracker.shift_detected_us != 0) {
    RemoveMixedReports(tracker);
    if (!HasEnough(tracker, ranks, now_us)) {
      return std::nullopt;
    }
  }
  if (tracker.shift_detected_us != 0 || tracker.baseline.empty()) {
    tracker.baseline.assign(tracker.sum.begin(), tracker.sum.end());
    UpdateScores(tracker, now_us);
    tracker.last_settled_us = now_us;
  }
  tracker.shift_detected_us = 0;
  return tracker.sum;
}

}  // namespace wisteriaroute::policy
