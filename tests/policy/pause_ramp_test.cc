#include "libwisteriaroute/policy/pause_ramp.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace wisteriaroute::policy {
namespace {

constexpr int kEntries = 14;
constexpr std::size_t kSlots = 10;
constexpr std::size_t kQueue = 2;
constexpr base::time_us kServiceUs = 400'000;
constexpr base::time_us kStepUs = 10'000;

constexpr base::time_us kPauseUs = 1'000'000;
constexpr int kBacklog = 3;
constexpr base::time_us kArrivalUs = 600'000;

/** Outcome of the requests that entries hold when a pause ends. */
struct outcome {
  int served = 0;
  int refused = 0;
  /** Entries whose requests the server accepted in the first half second. */
  int entries_served = 0;
};

// Simulates the end of a pause. All entries hold a few requests for the server,
// more arrive at four fifths of its capacity, and no entry knows what the
// others send. An entry that is refused waits for another pause. `limit`
// returns how many requests an entry may have in flight, given the number of
// its responses.
template <typename Begin, typename Limit>
outcome Replay(const Begin& begin, const Limit& limit) {
  outcome result;
  std::vector<base::time_us> begins;
  std::vector<std::vector<base::time_us>> ends(kEntries);
  std::vector<bool> served(kEntries, false);
  std::vector<int> answers(kEntries, 0);
  std::vector<int> waiting(kEntries, kBacklog);
  for (int entry = 0; entry < kEntries; ++entry) {
    begins.push_back(begin(0));
  }
  for (base::time_us now = 0; now < 3 * kPauseUs; now += kStepUs) {
    std::size_t running = 0;
    for (const auto& own : ends) {
      running += own.size();
    }
    for (int entry = 0; entry < kEntries; ++entry) {
      const auto ended = std::erase_if(
          ends[entry], [&](base::time_us end) { return end <= now; });
      running -= ended;
      answers[entry] += static_cast<int>(ended);
    }
    for (int i = 0; i < kEntries; ++i) {
      // Rotates the order so that no entry is always first.
      const int entry = (i + static_cast<int>(now / kStepUs)) % kEntries;
      auto& own = ends[entry];
      waiting[entry] += now > 0 && now % kArrivalUs == 0 ? 1 : 0;
      while (waiting[entry] > 0 && now >= begins[entry] &&
             static_cast<double>(own.size()) <
                 std::min<double>(limit(answers[entry]), kSlots + kQueue)) {
        if (running >= kSlots + kQueue) {
          ++result.refused;
          begins[entry] = begin(now + kPauseUs);
          answers[entry] = 0;
          break;
        }
        ++running;
        --waiting[entry];
        ++result.served;
        served[entry] = served[entry] || now < kPauseUs / 2;
        own.push_back(now + kServiceUs);
      }
    }
  }
  result.entries_served =
      static_cast<int>(std::count(served.begin(), served.end(), true));
  return result;
}

TEST_CASE("entries don't all resume sending at once after a pause") {
  std::mt19937_64 random(20261204);
  const outcome ramped =
      Replay([&](base::time_us end) { return RampStartUs(end, random()); },
             RequestsAfterPause);
  const outcome naive = Replay([](base::time_us end) { return end; },
                               [](int) { return 1.0 * (kSlots + kQueue); });
  MESSAGE("ramped: ", ramped.served, " served, ", ramped.refused, " refused, ",
          ramped.entries_served, " entries; naive: ", naive.served, ", ",
          naive.refused, ", ", naive.entries_served);
  CHECK(ramped.served > naive.served);
  CHECK(3 * ramped.refused < 2 * naive.refused);
  // Without the ramp, the first entries take all of the capacity.
  CHECK(ramped.entries_served > 2 * naive.entries_served);
}

TEST_CASE("an entry resumes within the spread after the pause, never before") {
  for (std::uint64_t random : {0UL, 199'999UL, 12'345'678'901UL}) {
    const base::time_us begin = RampStartUs(1'000'000, random);
    CHECK(begin >= 1'000'000);
    CHECK(begin < 1'000'000 + kRampSpreadUs);
  }
  CHECK(RequestsAfterPause(0) == 1);
  CHECK(RequestsAfterPause(3) == 4);
  CHECK(RequestsAfterPause(100) > 1e6);
}

}  // namespace
}  // namespace wisteriaroute::policy
