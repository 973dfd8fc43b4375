// Replays of services whose servers differ in speed. Each case runs the same
// arrivals with the present selection (declared slots only) and with estimated
// limits, and prints both.

#include "tests/gateway/server_limit_replay.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace wisteriaroute::gateway {
namespace {

constexpr std::size_t kServers = 6;
/** Utilisation of about a third of the slots. */
constexpr double kRequestsPerS = 120;

replay_plan EqualServers(int entries) {
  return {.servers = std::vector<replay_server>(kServers),
          .entries = entries,
          .requests_per_s = kRequestsPerS};
}

replay_plan WithLimits(replay_plan plan) {
  plan.limits = true;
  return plan;
}

/** Server 0 runs at `speed` from 10 s to 18 s. */
replay_plan OneSlow(int entries, double speed) {
  replay_plan plan = EqualServers(entries);
  plan.changes = {{10, [speed](auto& servers) { servers[0].speed = speed; }},
                  {18, [](auto& servers) { servers[0].speed = 1; }}};
  return plan;
}

/** Refusals that differ from those of another run only by chance: none if that
 * has none, else within two standard deviations of the difference. */
double WithinChance(int refused) {
  return refused + 2 * std::sqrt(2.0 * refused);
}

void Print(const std::string& name,
           const replay_result& run,
           double from_s,
           double to_s) {
  MESSAGE(name, ": mean ", run.MeanMs(from_s, to_s), " ms, stretch p50 ",
          run.Stretch(0.5, from_s, to_s), ", p95 ",
          run.Stretch(0.95, from_s, to_s), ", p99 ",
          run.Stretch(0.99, from_s, to_s), ", refused ",
          run.Refused(from_s, to_s), ", failed ", run.Failed(from_s, to_s),
          ", share of server 0 ", run.Share(0, from_s, to_s),
          ", refused attempts ", run.RefusedAttempts(from_s, to_s));
}

void PrintLimits(const replay_result& run) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1);
  for (const std::vector<double>& second : run.limits) {
    for (const double limit : second) {
      text << limit << ' ';
    }
    text << "| ";
  }
  MESSAGE("limits at each second: ", text.str());
}

void CheckOneSlow(int entries, double speed) {
  const replay_result healthy = Replay(EqualServers(entries));
  const replay_plan plan = OneSlow(entries, speed);
  const replay_result before = Replay(plan);
  const replay_result after = Replay(WithLimits(plan));
  Print("healthy", healthy, 12, 18);
  Print("declared slots", before, 12, 18);
  Print("estimated limits", after, 12, 18);
  Print("declared slots, first 2 s", before, 10, 12);
  Print("estimated limits, first 2 s", after, 10, 12);
  Print("declared slots, recovered for 3 s", before, 21, 22);
  Print("estimated limits, recovered for 3 s", after, 21, 22);
  PrintLimits(after);
  CHECK(after.Stretch(0.95, 12, 18) <= 1.5 * healthy.Stretch(0.95, 12, 18));
  CHECK(after.MeanMs(12, 18) <= before.MeanMs(12, 18));
  CHECK(after.Refused(10, 20) <= before.Refused(10, 20));
  // Never without samples: at least one request in each 3 s.
  for (double from_s = 12; from_s + 3 <= 18; from_s += 1) {
    CHECK(after.Share(0, from_s, from_s + 3) > 0);
  }
  // Works again: half of its share.
  CHECK(after.Share(0, 21, 22) >= 0.5 / kServers);
}

// Guards against a slow server that keeps its share up to its slots.
TEST_CASE("a server that becomes slower gets less until it recovers") {
  for (const int entries : {1, 10, 19}) {
    for (const double factor : {4.0, 12.0}) {
      CAPTURE(entries);
      CAPTURE(factor);
      MESSAGE("entries ", entries, ", slower by ", factor);
      CheckOneSlow(entries, 1 / factor);
    }
  }
}

// Guards against a limit that is learned at low load only, or never.
TEST_CASE("servers of speeds 1, 2 and 4 and one that slows down at 3 of 10") {
  for (const int entries : {1, 19}) {
    CAPTURE(entries);
    replay_plan plan;
    plan.servers = {{.slots = 10, .speed = 2, .knee = 3},
                    {.slots = 10, .speed = 1, .knee = 10},
                    {.slots = 10, .speed = 2, .knee = 10},
                    {.slots = 10, .speed = 4, .knee = 10}};
    plan.entries = entries;
    plan.requests_per_s = 450;
    const replay_result before = Replay(plan);
    const replay_result after = Replay(WithLimits(plan));
    plan.servers[0].knee = 10;
    const replay_result healthy = Replay(plan);
    Print("without the early slowdown", healthy, 4, 16);
    Print("declared slots", before, 4, 16);
    Print("estimated limits", after, 4, 16);
    PrintLimits(after);
    CHECK(after.Stretch(0.95, 4, 16) <= 1.5 * healthy.Stretch(0.95, 4, 16));
    CHECK(after.Stretch(0.95, 4, 16) < before.Stretch(0.95, 4, 16));
    CHECK(after.Refused(0, 16) <= WithinChance(before.Refused(0, 16)));
    MESSAGE("mean stretch at the server that slows down: declared slots ",
            before.MeanStretchAt(0, 4, 16), ", estimated limits ",
            after.MeanStretchAt(0, 4, 16), ", its peer of the same speed ",
            healthy.MeanStretchAt(2, 4, 16));
    CHECK(after.MeanStretchAt(0, 4, 16) < before.MeanStretchAt(0, 4, 16));
    if (entries == 1) {
      // For several entries see server_limit_sparse_test.
      CHECK(after.MeanStretchAt(0, 4, 16) <=
            1.5 * healthy.MeanStretchAt(2, 4, 16));
    }
    CHECK(after.Share(0, 4, 16) > 0.02);
  }
}

// Guards against taking load for slow servers, which would refuse requests.
TEST_CASE("a simultaneous slowdown of all servers limits none") {
  for (const int entries : {1, 19}) {
    CAPTURE(entries);
    replay_plan plan = EqualServers(entries);
    plan.changes = {{10, [](auto& servers) {
                       for (replay_server& one : servers) {
                         one.speed = 0.5;
                       }
                     }}};
    const replay_result before = Replay(plan);
    const replay_result after = Replay(WithLimits(plan));
    Print("declared slots", before, 10, 20);
    Print("estimated limits", after, 10, 20);
    PrintLimits(after);
    CHECK(after.Refused(10, 20) <= WithinChance(before.Refused(10, 20)));
    CHECK(after.Failed(10, 20) <= before.Failed(10, 20));
    CHECK(after.Stretch(0.95, 10, 20) <= 1.1 * before.Stretch(0.95, 10, 20));
  }
}

// Guards against sending to a server again and again that refuses below its
// declared slots.
TEST_CASE("a server that refuses gets what it takes") {
  for (const int entries : {1, 19}) {
    CAPTURE(entries);
    replay_plan plan = EqualServers(entries);
    plan.requests_per_s = 200;
    plan.servers[0].refuses_beyond = 1;
    const replay_result before = Replay(plan);
    const replay_result after = Replay(WithLimits(plan));
    Print("declared slots", before, 2, 15);
    Print("estimated limits", after, 2, 15);
    PrintLimits(after);
    CHECK(after.RefusedAttempts(2, 15) <= 0.5 * before.RefusedAttempts(2, 15));
    CHECK(after.Refused(2, 15) <= before.Refused(2, 15));
    CHECK(after.Share(0, 2, 15) > 0);
  }
}

// Guards against a server that attracts requests by failing them quickly.
TEST_CASE("a server that fails half of its requests gets less") {
  replay_plan plan = EqualServers(10);
  plan.servers[0].failing = 0.5;
  const replay_result before = Replay(plan);
  const replay_result after = Replay(WithLimits(plan));
  Print("declared slots", before, 2, 15);
  Print("estimated limits", after, 2, 15);
  PrintLimits(after);
  CHECK(after.Share(0, 2, 15) < before.Share(0, 2, 15));
  CHECK(after.Share(0, 2, 15) > 0);
}

// Guards against a cost where there is nothing to gain.
TEST_CASE("equal servers lose nothing") {
  for (const int entries : {1, 10, 19}) {
    for (const double requests_per_s : {30.0, 120.0, 260.0}) {
      CAPTURE(entries);
      CAPTURE(requests_per_s);
      replay_plan plan = EqualServers(entries);
      plan.requests_per_s = requests_per_s;
      const replay_result before = Replay(plan);
      const replay_result after = Replay(WithLimits(plan));
      MESSAGE("entries ", entries, ", requests/s ", requests_per_s);
      Print("declared slots", before, 0, 15);
      Print("estimated limits", after, 0, 15);
      CHECK(after.Refused(0, 15) <= WithinChance(before.Refused(0, 15)));
      CHECK(after.Failed(0, 15) <= before.Failed(0, 15));
      CHECK(after.MeanMs(0, 15) <= 1.03 * before.MeanMs(0, 15));
      CHECK(after.Stretch(0.95, 0, 15) <= 1.05 * before.Stretch(0.95, 0, 15));
    }
  }
}

// Guards against limits where the setting is off, and against taking the pass
// of a group for the speed of a rank.
TEST_CASE("limits apply only where they are asked for, and not to groups") {
  replay_plan plan = OneSlow(1, 0.25);
  plan.runs = 1;
  replay_plan group = WithLimits(plan);
  group.group = "g";
  for (const replay_plan& one : {plan, group}) {
    for (const std::vector<double>& second : Replay(one).limits) {
      for (const double limit : second) {
        CHECK(limit == 6);
      }
    }
  }
}

// Guards against changes that an operator can't see, and against a flood of
// lines about one server.
TEST_CASE("changes of a limit are logged, at most one a second and server") {
  replay_plan plan = WithLimits(OneSlow(1, 0.25));
  plan.runs = 1;
  const int lines = Replay(plan).limit_lines;
  CHECK(lines >= 2);
  CHECK(lines <= plan.duration_s * kServers);
  plan.limits = false;
  CHECK(Replay(plan).limit_lines == 0);
}

// Guards against limits that need the servers' load reports.
TEST_CASE("a slow server gets less if the service reports no load") {
  replay_plan plan = OneSlow(4, 0.25);
  plan.reports_load = false;
  const replay_result before = Replay(plan);
  const replay_result after = Replay(WithLimits(plan));
  Print("declared slots", before, 12, 18);
  Print("estimated limits", after, 12, 18);
  CHECK(after.Share(0, 12, 18) < before.Share(0, 12, 18));
  CHECK(after.Stretch(0.95, 12, 18) <= 1.5);
}

// Printed, not checked: the time depends on the machine.
TEST_CASE("placing a request among 2,300 servers") {
  replay_plan plan;
  plan.servers.resize(2'300);
  plan.requests_per_s = 2'000;
  plan.duration_s = 1;
  plan.runs = 1;
  for (const bool limits : {false, true}) {
    plan.limits = limits;
    const auto from = std::chrono::steady_clock::now();
    const replay_result run = Replay(plan);
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - from;
    MESSAGE(std::string(limits ? "estimated limits: " : "declared slots: "),
            took.count() / static_cast<double>(run.requests.size()),
            " us for a request, its server's work included");
  }
}

}  // namespace
}  // namespace wisteriaroute::gateway
