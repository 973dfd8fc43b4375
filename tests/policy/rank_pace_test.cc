#include "libwisteriaroute/policy/rank_pace.h"

#include <doctest/doctest.h>

namespace wisteriaroute::policy {
namespace {

constexpr base::time_us kReportUs = 50'000;

/** Reports `pace` for a time and returns how often the planned one changed. */
int Report(rank_pace& pace,
           double reported,
           base::time_us& now_us,
           base::time_us duration_us) {
  int changes = 0;
  for (const base::time_us end = now_us + duration_us; now_us < end;
       now_us += kReportUs) {
    changes += NotePace(pace, reported, now_us) ? 1 : 0;
  }
  return changes;
}

TEST_CASE("the pace for planning follows a rank that slows down and recovers") {
  rank_pace pace;
  base::time_us now_us = 1'000'000;
  CHECK(Report(pace, 2, now_us, 500'000) == 1);
  CHECK(pace.planned == doctest::Approx(2));
  CHECK(Report(pace, 1, now_us, 900'000) == 0);
  CHECK(Report(pace, 1, now_us, 500'000) == 1);
  CHECK(pace.planned == doctest::Approx(1));
}

// Each change of the planned pace may move experts back and forth.
TEST_CASE("the pace for planning ignores short and small differences") {
  rank_pace pace;
  base::time_us now_us = 1'000'000;
  for (int i = 0; i < 20; ++i) {
    CHECK(Report(pace, 2, now_us, 150'000) == 0);
    CHECK(Report(pace, 1, now_us, 150'000) == 0);
  }
  CHECK(Report(pace, 1.1, now_us, 5'000'000) == 0);
  CHECK(Report(pace, 0.5, now_us, 5'000'000) == 0);

  SUBCASE("and a slow rank that recovers again and again stays slow") {
    CHECK(Report(pace, 2, now_us, 500'000) == 1);
    for (int i = 0; i < 20; ++i) {
      CHECK(Report(pace, 1, now_us, 500'000) == 0);
      CHECK(Report(pace, 2, now_us, 500'000) == 0);
    }
  }
}

}  // namespace
}  // namespace wisteriaroute::policy
