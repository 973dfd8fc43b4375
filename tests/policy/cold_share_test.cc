#include "libwisteriaroute/policy/cold_share.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace wisteriaroute::policy {
namespace {

std::vector<std::uint64_t> Entries(int count) {
  std::vector<std::uint64_t> ids;
  ids.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    ids.push_back(EntryId("entry-" + std::to_string(i)));
  }
  return ids;
}

// Guards against shares that add up to more than the rate (each rounded up) or
// to less (each rounded down, so that no entry may send anything).
TEST_CASE("the shares of a cold server add up to its rate") {
  for (const int count : {1, 2, 14, 19, 410}) {
    const std::vector<std::uint64_t> ids = Entries(count);
    for (const int total : {1, 2, 5, 18, 19, 20, 400, 1'000}) {
      for (const char* server : {"i-1", "i-2", "i-3"}) {
        int sum = 0;
        for (const std::uint64_t own : ids) {
          const int share = ColdShare(total, server, own, ids);
          CHECK(share >= total / count);
          CHECK(share <= total / count + 1);
          sum += share;
        }
        CAPTURE(count);
        CAPTURE(total);
        CHECK(sum == total);
      }
    }
  }
}

// Guards against a list that changes the owners of all shares, which would let
// the old and the new owners send in the same second.
TEST_CASE("one more entry takes shares over from few others") {
  std::vector<std::uint64_t> ids = Entries(410);
  const std::vector<std::uint64_t> before(ids.begin(), ids.end() - 1);
  int gained = 0;
  int lost = 0;
  for (const std::uint64_t own : before) {
    const int change =
        ColdShare(20, "i-1", own, ids) - ColdShare(20, "i-1", own, before);
    gained += change > 0 ? change : 0;
    lost -= change < 0 ? change : 0;
  }
  CHECK(gained == 0);
  CHECK(lost <= 1);
}

TEST_CASE("entries that don't know each other send little in total") {
  int sum = 0;
  for (const std::uint64_t own : Entries(410)) {
    sum += ColdShareAlone(20, "i-1", own);
  }
  CHECK(sum <= 35);
  CHECK(ColdShareAlone(5'000, "i-1", 7) >= 4);
}

TEST_CASE("a rate keeps its fractions") {
  CHECK(ColdRate(4) == cold_rate{4, 1'000'000});
  CHECK(ColdRate(1.5) == cold_rate{2, 1'333'334});
  CHECK(ColdRate(0.25) == cold_rate{1, 4'000'000});
  // Would overflow a time.
  CHECK(ColdRate(1e-300).window_us == 86'400'000'000);
}

TEST_CASE("no window has more requests than allowed") {
  recent_sends sends;
  const auto next = [&](base::time_us now_us) {
    return sends.NextUs(2, 1'000'000, now_us);
  };
  CHECK_FALSE(sends.NextUs(0, 1'000'000, 5).has_value());
  CHECK(next(100) == 100);
  sends.Note(100, 1'000'000);
  CHECK(next(900'000) == 900'000);
  sends.Note(900'000, 1'000'000);
  CHECK(next(950'000) == 1'000'100);
  CHECK(next(1'000'100) == 1'000'100);
  sends.Note(1'000'100, 1'000'000);
  // A count that starts anew each second would allow another one here.
  CHECK(next(1'000'200) == 1'900'000);

  SUBCASE("requests that were held up count from their release") {
    sends.Delay(1'000'000, 7'000'000);
    CHECK(next(7'000'000) == 7'000'000);
    sends.Note(7'000'000, 1'000'000);
    CHECK(next(7'000'000) == 8'000'000);
  }
}

}  // namespace
}  // namespace wisteriaroute::policy
