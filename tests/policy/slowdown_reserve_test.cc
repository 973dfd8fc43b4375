#include "libwisteriaroute/policy/slowdown_reserve.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "libwisteriaroute/policy/stream_limit.h"

namespace wisteriaroute::policy {
namespace {

constexpr pass_time kPass{.fixed_ms = 18.2, .ms_per_stream = 3.62};
constexpr double kObjectiveMs = 120;
constexpr double kSlots = 12;
constexpr double kRanks = 12;
constexpr double kEventsPerStream = 24;

/** A stream, its events so far, and whether all of them met the objective. */
struct stream {
  double events = 0;
  bool in_pace = true;
};

struct result {
  int in_pace = 0;
  int late = 0;
  int refused = 0;
};

/**
 * Simulates a group whose passes take 2.4 times as long for 0.8 s after each
 * shift, every 3.2 s, and 1.3 times as long otherwise. Streams arrive evenly, a
 * few more than the group can run between two shifts. `allowed` returns how
 * many streams a rank may run.
 */
template <typename Allowed, typename Note>
result Simulate(double streams_per_s, Allowed&& allowed, Note&& note) {
  std::vector<stream> running;
  result sum;
  double now_ms = 0;
  double arrived = 0;
  constexpr double kDurationMs = 60'000;
  while (now_ms < kDurationMs) {
    const double since_shift =
        now_ms - 3'200 * static_cast<int>(now_ms / 3'200);
    const double slowdown = since_shift < 800 ? 2.4 : 1.3;
    const double per_rank = static_cast<double>(running.size()) / kRanks;
    const double pass_ms = kPass.DurationMs(per_rank) * slowdown;
    now_ms += pass_ms;
    const auto now_us = static_cast<base::time_us>(now_ms * 1'000);
    for (stream& one : running) {
      one.in_pace = one.in_pace && pass_ms <= kObjectiveMs;
      one.events += 1;
      note(pass_ms, per_rank, now_us);
    }
    std::erase_if(running, [&](const stream& one) {
      const bool ended = one.events >= kEventsPerStream;
      sum.in_pace += ended && one.in_pace ? 1 : 0;
      sum.late += ended && !one.in_pace ? 1 : 0;
      return ended;
    });
    arrived += pass_ms / 1'000 * streams_per_s;
    for (; arrived >= 1; arrived -= 1) {
      if (static_cast<double>(running.size() + 1) > allowed() * kRanks) {
        ++sum.refused;
      } else {
        running.push_back({});
      }
    }
  }
  return sum;
}

TEST_CASE("the reserve lets more streams meet the objective across shifts") {
  constexpr double kStreamsPerS = 75;
  slowdown_reserve reserve;
  const result with = Simulate(
      kStreamsPerS,
      [&] { return StreamsWithReserve(reserve, kPass, kObjectiveMs, kSlots); },
      [&](double gap_ms, double streams, base::time_us now_us) {
        NoteSlowdown(reserve, gap_ms, streams, kPass, now_us);
      });
  // The baseline reacts to slow passes only after they occur.
  stream_limit limit;
  const result without = Simulate(
      kStreamsPerS, [&] { return StreamsAllowed(limit, kSlots); },
      [&](double gap_ms, double, base::time_us now_us) {
        NoteGap(limit, gap_ms, kObjectiveMs, kSlots, now_us);
      });
  MESSAGE("in pace, late, refused: ", with.in_pace, " ", with.late, " ",
          with.refused, "; without ", without.in_pace, " ", without.late, " ",
          without.refused);
  CHECK(with.in_pace > 1.5 * without.in_pace);
  CHECK(with.late < 0.5 * without.late);
}

TEST_CASE("the reserve") {
  slowdown_reserve reserve;
  const auto note = [&](double slowdown, base::time_us from_us) {
    for (int i = 0; i < 20; ++i) {
      NoteSlowdown(reserve, kPass.DurationMs(4) * slowdown, 4, kPass,
                   from_us + i * 20'000);
    }
  };

  SUBCASE("is zero while slowdowns are unknown or small") {
    CHECK(StreamsWithReserve(reserve, kPass, kObjectiveMs, kSlots) == kSlots);
    note(1.2, 1'000'000);
    CHECK(StreamsWithReserve(reserve, kPass, kObjectiveMs, kSlots) == kSlots);
  }

  SUBCASE("is never more than half of the slots") {
    note(50, 1'000'000);
    CHECK(StreamsWithReserve(reserve, kPass, kObjectiveMs, kSlots) ==
          kSlots / 2);
  }

  SUBCASE("shrinks and ends some time after the last slowdown") {
    note(50, 1'000'000);
    note(1.2, 8'000'000);
    CHECK(StreamsWithReserve(reserve, kPass, kObjectiveMs, kSlots) < kSlots);
    note(1.2, 15'000'000);
    CHECK(StreamsWithReserve(reserve, kPass, kObjectiveMs, kSlots) == kSlots);
  }

  SUBCASE("ignores a single late event") {
    NoteSlowdown(reserve, 5'000, 4, kPass, 1'000'000);
    CHECK(StreamsWithReserve(reserve, kPass, kObjectiveMs, kSlots) == kSlots);
  }
}

}  // namespace
}  // namespace wisteriaroute::policy
