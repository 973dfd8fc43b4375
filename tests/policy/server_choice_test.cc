#include "libwisteriaroute/policy/server_choice.h"

#include <doctest/doctest.h>

#include <vector>

#include "libwisteriaroute/policy/stream_limit.h"

namespace wisteriaroute::policy {
namespace {

TEST_CASE("a server is chosen by its load") {
  SUBCASE("at random among the servers with nearly the lowest load") {
    const std::vector<server_candidate> servers = {{.load = 5, .slots = 6},
                                                   {.load = 1, .slots = 6},
                                                   {.load = 1.2, .slots = 6}};
    std::vector<int> chosen(servers.size());
    for (std::uint64_t random = 0; random < 1'000; ++random) {
      ++chosen[*ChooseServer(servers, random)];
    }
    CHECK(chosen[0] == 0);
    CHECK(chosen[1] > 300);
    CHECK(chosen[2] > 300);
  }

  SUBCASE("none if all are full, where a negative queue lowers the capacity") {
    const std::vector<server_candidate> full = {
        {.load = 8, .slots = 6, .queue = 2}};
    CHECK_FALSE(ChooseServer(full, 1));
    const std::vector<server_candidate> limited = {
        {.load = 4, .slots = 12, .queue = -8}};
    CHECK_FALSE(ChooseServer(limited, 1));
  }
}

// A group whose pass takes 20 ms plus a time for each stream of a server. There
// are always as many streams as the limit allows.
TEST_CASE("the stream limit follows the time between events") {
  constexpr double kObjectiveMs = 120;
  constexpr double kSlots = 12;
  stream_limit limit;
  CHECK(StreamsAllowed(limit, kSlots) == kSlots);
  const auto run = [&](double ms_per_stream, int events) {
    base::time_us now_us = 0;
    for (int i = 0; i < events; ++i) {
      const double gap_ms = 20 + ms_per_stream * StreamsAllowed(limit, kSlots);
      now_us += 10'000;
      NoteGap(limit, gap_ms, kObjectiveMs, kSlots, now_us);
    }
    return 20 + ms_per_stream * StreamsAllowed(limit, kSlots);
  };

  SUBCASE("and stays at the slots while passes are fast") {
    run(2, 1'000);
    CHECK(StreamsAllowed(limit, kSlots) == kSlots);
  }

  SUBCASE("and falls when passes take longer and rises again afterwards") {
    CHECK(run(10, 1'000) < kObjectiveMs);
    CHECK(StreamsAllowed(limit, kSlots) < kSlots);
    CHECK(run(2, 2'000) < kObjectiveMs);
    CHECK(StreamsAllowed(limit, kSlots) == kSlots);
  }

  SUBCASE("but never falls below one stream") {
    run(1'000, 2'000);
    CHECK(StreamsAllowed(limit, kSlots) >= 1);
  }
}

}  // namespace
}  // namespace wisteriaroute::policy
