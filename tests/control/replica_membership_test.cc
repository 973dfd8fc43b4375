#include "libwisteriaroute/control/replica_membership.h"

#include <doctest/doctest.h>

#include <vector>

namespace wisteriaroute::control {
namespace {

constexpr base::time_us kPeriodUs = 500'000;
constexpr base::time_us kSecondUs = 1'000'000;

std::vector<replica_view> Voters(std::vector<base::time_ms> silent_ms) {
  std::vector<replica_view> voters;
  for (std::size_t i = 0; i < silent_ms.size(); ++i) {
    voters.push_back({.name = std::string(1, static_cast<char>('a' + i)),
                      .voter = true,
                      .silent_ms = silent_ms[i]});
  }
  return voters;
}

TEST_CASE("a silent voter loses its vote and is removed") {
  std::vector<replica_view> replicas = Voters({0, 100, 5'000, 100});
  SUBCASE("while the losses that must be borne leave a majority") {
    auto change = NextReplicaChange(replicas, {}, "a", 3);
    REQUIRE(change);
    CHECK(change->change == raft::replica_change::kSetVoters);
    CHECK(change->voters == std::vector<std::string>{"a", "b", "d"});
    CHECK(change->casting_voter.empty());
    replicas[2].voter = false;
    change = NextReplicaChange(replicas, {}, "a", 3);
    REQUIRE(change);
    CHECK(change->change == raft::replica_change::kRemove);
    CHECK(change->name == "c");
  }
  SUBCASE("but not if fewer voters than needed are live") {
    CHECK_FALSE(NextReplicaChange(Voters({0, 100, 5'000, 2'000}), {}, "a", 3));
    CHECK_FALSE(NextReplicaChange(Voters({0, 100, 5'000}), {}, "a", 3));
  }
  SUBCASE("but isn't removed as long as a restart takes") {
    replicas[2].silent_ms = 3'900;
    const auto change = NextReplicaChange(replicas, {}, "a", 3);
    REQUIRE(change);
    CHECK(change->change == raft::replica_change::kSetVoters);
    replicas[2].voter = false;
    CHECK_FALSE(NextReplicaChange(replicas, {}, "a", 3));
  }
  SUBCASE("and keeps its vote for shorter") {
    replicas[2].silent_ms = 1'400;
    replicas[3].casting_vote = true;
    CHECK_FALSE(NextReplicaChange(replicas, {}, "a", 3));
  }
}

// A leader that had been suspended took the others' silence for its own pause,
// and could remove the voter whose answer it read last.
TEST_CASE("a pause of the leader isn't silence of the voters") {
  silence_clock clock;
  base::time_us now_us = 100 * kSecondUs;
  for (int i = 0; i < 10; ++i, now_us += kPeriodUs) {
    clock.Tick(now_us, kPeriodUs);
  }
  const base::time_us last_reply_us = now_us;
  SUBCASE("the leader runs") {
    for (int i = 0; i < 10; ++i, now_us += kPeriodUs) {
      clock.Tick(now_us, kPeriodUs);
    }
    CHECK(clock.SilentMs(last_reply_us, now_us) == 5'000);
  }
  SUBCASE("the leader is suspended") {
    now_us += 20 * kSecondUs;
    clock.Tick(now_us, kPeriodUs);
    CHECK(clock.SilentMs(last_reply_us, now_us) == 0);
    now_us += kPeriodUs;
    clock.Tick(now_us, kPeriodUs);
    CHECK(clock.SilentMs(last_reply_us, now_us) == 500);
  }
}

}  // namespace
}  // namespace wisteriaroute::control
