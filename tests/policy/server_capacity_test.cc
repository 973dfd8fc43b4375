#include "libwisteriaroute/policy/server_capacity.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <vector>

#include "libwisteriaroute/policy/server_choice.h"

namespace wisteriaroute::policy {
namespace {

constexpr double kSlots = 6;
constexpr base::time_us kStepUs = 100'000;

/** Three servers that respond to a request of the same route every 100 ms. */
struct service {
  std::vector<server_capacity> servers = std::vector<server_capacity>(3);
  peer_capacity peers;
  base::time_us now_us = 1'000'000'000;

  void Median() {
    std::vector<double> slowness;
    for (const server_capacity& one : servers) {
      if (const auto known = Slowness(one, now_us)) {
        slowness.push_back(*known);
      }
    }
    SetMedian(peers, slowness, now_us);
  }

  void Respond(std::size_t server, double ms, double load) {
    NoteSample(
        servers[server], peers,
        {.route = "lookup", .elapsed_ms = ms, .load = load, .slots = kSlots},
        now_us);
  }

  /** All servers respond for a while, the first one after `first_ms`. Each has
   * four requests, or as many as its limit. */
  void Run(double first_ms, double others_ms, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      now_us += kStepUs;
      Median();
      for (std::size_t server = 0; server < servers.size(); ++server) {
        Respond(server, server == 0 ? first_ms : others_ms,
                std::clamp(Limit(server), 1.0, 4.0));
      }
    }
  }

  double Limit(std::size_t server) const {
    return SlotsHandledWell(servers[server], kSlots, now_us);
  }
};

TEST_CASE("a server's limit follows its response time") {
  service s;
  CHECK(s.Limit(0) == kSlots);
  s.Run(100, 100, 20);
  CHECK(s.Limit(0) == kSlots);

  // Guards against a slow server that keeps its slots.
  SUBCASE("falls within two seconds when it becomes slower than its peers") {
    s.Run(400, 100, 20);
    CHECK(s.Limit(0) <= 1.5);
    CHECK(s.Limit(1) == kSlots);
  }

  // Guards against a server that stays without work.
  SUBCASE("and rises again within three seconds when it recovers") {
    s.Run(400, 100, 30);
    s.Run(100, 100, 30);
    CHECK(s.Limit(0) == kSlots);
  }

  // Guards against load being taken for slow servers.
  SUBCASE("and stays when all become slower") {
    s.Run(400, 400, 30);
    CHECK(s.Limit(0) == kSlots);
    CHECK(s.Limit(1) == kSlots);
  }

  // Guards against an estimate that outlives its evidence.
  SUBCASE("and is forgotten without samples") {
    s.Run(400, 100, 30);
    REQUIRE(s.Limit(0) < 1);
    s.now_us += 11'000'000;
    CHECK(s.Limit(0) == kSlots);
    s.Respond(0, 100, 1);
    CHECK(s.Limit(0) == kSlots);
  }

  // Guards against learning of a slow server only once it answers.
  SUBCASE("and falls while a request is overdue") {
    s.now_us += 2'000'000;
    s.Median();
    for (const double ms : {300.0, 600.0, 1'200.0}) {
      NoteSample(s.servers[0], s.peers,
                 {.route = "lookup",
                  .elapsed_ms = ms,
                  .load = 2,
                  .slots = kSlots,
                  .in_progress = true},
                 s.now_us);
    }
    CHECK(s.Limit(0) < 1);
  }

  // Guards against taking a route with more work for a slow server.
  SUBCASE("and stays when it gets the requests with more work") {
    for (int i = 0; i < 20; ++i) {
      s.now_us += kStepUs;
      s.Median();
      const bool large = i >= 10;
      for (std::size_t server = 0; server < 3; ++server) {
        NoteSample(s.servers[server], s.peers,
                   {.route = large && server == 0 ? "report" : "lookup",
                    .elapsed_ms = large && server == 0 ? 1'000.0 : 100.0,
                    .load = 4,
                    .slots = kSlots},
                   s.now_us);
      }
    }
    CHECK(s.Limit(0) == kSlots);
  }
}

TEST_CASE("refusals and failures lower the limit") {
  service s;
  s.Run(100, 100, 20);
  SUBCASE("below the load at which the server refused") {
    NoteRefusal(s.servers[0], 3, kSlots, s.now_us);
    CHECK(s.Limit(0) < 3);
    CHECK(s.Limit(0) > 2);
  }
  SUBCASE("but not if it was full") {
    NoteRefusal(s.servers[0], 8, kSlots, s.now_us);
    CHECK(s.Limit(0) == kSlots);
  }
  SUBCASE("by a part for each failure") {
    NoteFailure(s.servers[0], kSlots, s.now_us);
    CHECK(s.Limit(0) < kSlots);
    CHECK(s.Limit(0) > kSlots / 2);
  }
}

// Guards against a slow server that gets no request that could show that it has
// recovered, and against too many of them.
TEST_CASE("a limited server gets probes at a low rate") {
  service s;
  s.Run(100, 100, 20);
  CHECK_FALSE(IsProbeDue(s.servers[0], s.peers, s.now_us));
  s.Run(1'200, 100, 20);
  int probes = 0;
  constexpr int kRequests = 1'000;
  for (int i = 0; i < kRequests; ++i) {
    s.now_us += 20'000;
    NoteRequest(s.peers);
    if (IsProbeDue(s.servers[0], s.peers, s.now_us)) {
      NoteSent(s.servers[0], s.peers, true, static_cast<std::uint64_t>(i) * 997,
               s.now_us);
      s.Respond(0, 1'200, 1);
      ++probes;
    }
  }
  CHECK(probes >= 20 / 2);
  CHECK(probes <= kRequests / 20);
}

// Printed, not checked: the time depends on the machine.
TEST_CASE("a choice among 2,300 servers") {
  constexpr std::size_t kServers = 2'300;
  std::vector<server_capacity> servers(kServers);
  for (std::size_t i = 0; i < kServers; i += 10) {
    servers[i].limit = 2;
  }
  std::vector<server_candidate> candidates(kServers);
  const auto shortest_us = [&](bool limits) {
    double shortest = 1e9;
    constexpr int kRounds = 1'000;
    for (int round = 0; round < kRounds; ++round) {
      const auto from = std::chrono::steady_clock::now();
      for (std::size_t i = 0; i < kServers; ++i) {
        candidates[i] = {
            .load = 1,
            .slots =
                limits ? SlotsHandledWell(servers[i], kSlots, 1'000) : kSlots};
      }
      CHECK(ChooseServer(candidates, static_cast<std::uint64_t>(round)));
      const std::chrono::duration<double, std::micro> took =
          std::chrono::steady_clock::now() - from;
      shortest = std::min(shortest, took.count());
    }
    return shortest;
  };
  const double declared_us = shortest_us(false);
  MESSAGE("shortest choice: declared slots ", declared_us,
          " us, estimated limits ", shortest_us(true), " us; ",
          sizeof(server_capacity), " bytes a server");
}

}  // namespace
}  // namespace wisteriaroute::policy
