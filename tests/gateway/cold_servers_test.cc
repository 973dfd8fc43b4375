#include "libwisteriaroute/gateway/cold_servers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

#include "libwisteriaroute/gateway/step_context.h"
#include "tests/gateway/world.h"

namespace wisteriaroute::gateway {
namespace {

constexpr base::time_us kSecondUs = 1'000'000;
constexpr std::uint64_t kOwn = 11;

std::shared_ptr<const config::traffic_index> ColdTraffic(double per_s = 3) {
  config::traffic_set set = Traffic();
  set.services[0].cold_s = 5;
  set.services[0].cold_requests_per_s = per_s;
  return std::make_shared<const config::traffic_index>(std::move(set));
}

wire::member_info ColdServer(const std::string& name,
                             std::optional<std::int64_t> left_ms,
                             std::uint64_t incarnation = 1) {
  wire::member_info info = Server(name, incarnation);
  info.backend.slots = 100;
  info.cold_left_ms = left_ms;
  return info;
}

/** The only entry, in front of the server "x". */
struct cold_world : world {
  exchange_id next_exchange = 1;

  explicit cold_world(std::optional<std::int64_t> left_ms, double per_s = 3) {
    state.cold.entries.SetOwn(kOwn);
    Do(traffic_published{ColdTraffic(per_s)});
    Do(members_updated{{.full = true,
                        .changed = {ColdServer("x", left_ms)},
                        .entry_ids = {kOwn}}});
  }

  void Report(std::optional<std::int64_t> left_ms,
              std::uint64_t incarnation = 1) {
    Do(members_updated{{.changed = {ColdServer("x", left_ms, incarnation)}}});
  }

  /** Asks `count` times; returns how many requests were sent. */
  int Ask(int count, const std::string& path = "/lookup/1") {
    const std::size_t before = All<start_attempt>().size();
    for (int i = 0; i < count; ++i) {
      world::Ask(next_exchange++, path);
    }
    return static_cast<int>(All<start_attempt>().size() - before);
  }
  /** Answers the last attempt. */
  void Answer(std::optional<base::time_ms> left_ms = {}) {
    Do(attempt_head{LastAttempt().attempt,
                    {.status = 200, .sealed = true, .cold_left_ms = left_ms}});
    End(true);
  }
  /** Lets time pass for a process that runs: its timer fires. */
  void Pass(base::time_us duration_us) {
    for (const base::time_us end_us = now_us + duration_us; now_us < end_us;) {
      now_us = std::min(end_us, now_us + kGatewayTickUs);
      Do(gateway_tick{});
    }
  }
  bool IsCold() { return CountCold(state, now_us)["orders"] > 0; }
};

// Guards against requests without limit to a server that has just started,
// which crash it.
TEST_CASE("a cold server gets its rate in each sliding second") {
  cold_world w(4'000);
  CHECK(w.Ask(10) == 3);
  w.Pass(900'000);
  CHECK(w.Ask(10) == 0);
  w.Pass(100'000);
  CHECK(w.Ask(10) == 3);

  SUBCASE("until it is warm") {
    w.Pass(3 * kSecondUs);
    CHECK(w.Ask(10) == 10);
  }
  SUBCASE("also of streams") {
    w.Pass(kSecondUs);
    CHECK(w.Ask(10, "/draft/1") == 3);
  }
}

TEST_CASE("the entry shares the rate with the entries that control lists") {
  cold_world w(60'000, 6);
  w.Do(members_updated{{.entry_ids = {kOwn, 12, 13}}});
  CHECK(w.Ask(10) == 2);

  SUBCASE("new ones count at once") {
    w.Do(members_updated{{.entry_ids = {kOwn, 12, 13, 14, 15, 16}}});
    w.Pass(kSecondUs);
    CHECK(w.Ask(10) == 1);
  }
  // An entry without contact to control goes on to send.
  SUBCASE("others are dropped only after a delay") {
    w.Do(members_updated{{.entry_ids = {kOwn}}});
    w.Pass(kEntryRetentionUs - kSecondUs);
    CHECK(w.Ask(10) == 2);
    w.Pass(kSecondUs);
    CHECK(w.Ask(10) == 6);
  }
  SUBCASE("an update without the list changes nothing") {
    w.Report(50'000);
    w.Pass(kEntryRetentionUs + kSecondUs);
    CHECK(w.Ask(10) == 2);
  }
}

// Guards against an entry that takes itself for the only one.
TEST_CASE("an entry that knows no list takes a very small share") {
  int sent = 0;
  for (std::uint64_t own = 1; own <= 50; ++own) {
    world w;
    w.state.cold.entries.SetOwn(own * 0x9e3779b97f4a7c15ULL);
    w.Do(traffic_published{ColdTraffic()});
    w.Do(members_updated{{.full = true, .changed = {ColdServer("x", 9'000)}}});
    for (exchange_id exchange = 1; exchange <= 5; ++exchange) {
      w.Ask(exchange, "/lookup/1");
    }
    sent += static_cast<int>(w.All<start_attempt>().size());
  }
  CHECK(sent <= 3);
}

TEST_CASE("what makes a server cold") {
  cold_world w(0);
  REQUIRE_FALSE(w.IsCold());

  SUBCASE("its report") {
    w.Report(700);
    CHECK(w.IsCold());
    SUBCASE("until it says otherwise") {
      w.Report(0);
      CHECK_FALSE(w.IsCold());
    }
    SUBCASE("but not its silence") {
      w.Report({});
      CHECK(w.IsCold());
    }
    SUBCASE("for the time left") {
      w.Pass(700'000);
      CHECK_FALSE(w.IsCold());
    }
  }
  SUBCASE("a new run that doesn't say that it is warm") {
    w.Report({}, 2);
    CHECK(w.IsCold());
    w.Pass(5 * kSecondUs);
    CHECK_FALSE(w.IsCold());
  }
  SUBCASE("not a new run that says that it is warm") {
    w.Report(0, 2);
    CHECK_FALSE(w.IsCold());
  }
  SUBCASE("its answer") {
    REQUIRE(w.Ask(1) == 1);
    w.Answer(800);
    CHECK(w.IsCold());
    SUBCASE("which an older report doesn't revoke") {
      w.Report(0);
      CHECK(w.IsCold());
    }
    SUBCASE("which a later answer revokes") {
      w.Pass(10'000);
      REQUIRE(w.Ask(1) == 1);
      w.Answer(0);
      CHECK_FALSE(w.IsCold());
    }
  }
  SUBCASE("the end of an evacuation") {
    gateway_effects out;
    step_context step{w.state, w.now_us, out};
    MarkDataCenterCold(step, "elsewhere", w.now_us);
    CHECK_FALSE(w.IsCold());
    MarkDataCenterCold(step, "", w.now_us);
    CHECK(w.IsCold());
  }
  SUBCASE("a crash that another entry has seen") {
    w.Do(server_crash_reported{{"x", 1}});
    CHECK(w.IsCold());
  }
  SUBCASE("not a crash of an earlier run") {
    w.Report(0, 2);
    w.Do(server_crash_reported{{"x", 1}});
    CHECK_FALSE(w.IsCold());
  }
}

// Guards against a server that has started again unnoticed: its connections
// broke, and what it had reported before was still on its way.
TEST_CASE("a lost connection makes a server cold whatever was reported") {
  cold_world w(0);
  REQUIRE(w.Ask(1) == 1);
  SUBCASE("if it broke") {
    w.End(false);
  }
  SUBCASE("if it couldn't be made") {
    w.End(false, true);
  }
  CHECK(w.IsCold());
  w.Report(0);
  CHECK(w.IsCold());
  w.Report(0, 2);
  CHECK(w.IsCold());
  // It may start seconds after the connection broke, so its first answer
  // counts.
  w.Pass(4 * kSecondUs);
  REQUIRE(w.Ask(1) == 1);
  w.Answer();
  w.Pass(5 * kSecondUs - kGatewayTickUs);
  CHECK(w.IsCold());
  w.Pass(kGatewayTickUs);
  CHECK_FALSE(w.IsCold());
}

// Guards against all entries sending at full rate to servers that became cold
// while they got no requests.
TEST_CASE("the servers of a data centre are cold when its evacuation ends") {
  cold_world w(0);
  wire::member_info info = ColdServer("x", 0);
  info.data_center = "east";
  w.Do(
      members_updated{{.changed = {info},
                       .evacuations = {.index = 5, .data_centers = {"east"}}}});
  CHECK(w.Ask(10) == 0);
  w.Do(members_updated{{.evacuations = {.index = 6}}});
  CHECK(w.Ask(10) == 3);
  w.Pass(6 * kSecondUs);
  CHECK(w.Ask(10) == 10);
}

TEST_CASE("a server that nobody has asked since is warm in the end") {
  cold_world w(0);
  REQUIRE(w.Ask(1) == 1);
  w.End(false, true);
  w.Pass(9 * kSecondUs);
  CHECK(w.IsCold());
  w.Pass(kSecondUs);
  CHECK_FALSE(w.IsCold());
}

TEST_CASE("a request that finds only cold servers is refused at once") {
  cold_world w(4'000);
  w.Ask(3);
  w.Pass(300'000);
  CHECK(w.Ask(1) == 0);
  REQUIRE(w.All<refuse>().size() == 1);
  const refuse refusal = w.All<refuse>()[0];
  CHECK(refusal.status == 503);
  CHECK(refusal.code == "servers_cold");
  // The next share is due in 700 ms; the rest is the spread.
  CHECK(refusal.retry_after_ms >= 700);
  CHECK(refusal.retry_after_ms < 1'100);
}

TEST_CASE("a request goes to a warm server if a cold one has no share left") {
  cold_world w(4'000);
  w.Do(members_updated{{.changed = {ColdServer("y", 0)}}});
  CHECK(w.Ask(40) == 40);
  std::map<std::string, int> sent;
  for (const start_attempt& one : w.All<start_attempt>()) {
    ++sent[one.terms.expected_server];
  }
  CHECK(sent["x"] == 3);
  CHECK(sent["y"] == 37);
}

// Guards against a burst: what was sent just before a freeze may reach the
// server after it, together with the next share.
TEST_CASE("requests from just before a freeze count as sent after it") {
  cold_world w(60'000);
  CHECK(w.Ask(10) == 3);
  w.now_us += 40 * kSecondUs;
  CHECK(w.Ask(10) == 0);
  w.Pass(kSecondUs);
  CHECK(w.Ask(10) == 3);
}

// Guards against a burst of the requests that came in during a freeze: they are
// read before the update that says that the server has started again.
TEST_CASE("after a freeze all servers count as cold until control is heard") {
  cold_world w(0);
  w.Pass(kSecondUs);
  REQUIRE(w.Ask(10) == 10);
  w.Pass(2 * kSecondUs);
  w.now_us += 2 * kSecondUs;
  CHECK(w.Ask(10) == 3);
  w.Do(control_confirmed{});
  CHECK(w.IsCold());
  w.Pass(kSecondUs);
  SUBCASE("by an acknowledgement") {
    w.Do(control_confirmed{});
    CHECK(w.Ask(10) == 10);
  }
  SUBCASE("or for the time that one is cold that has started meanwhile") {
    CHECK(w.Ask(10) == 3);
    w.Pass(4 * kSecondUs);
    CHECK(w.Ask(10) == 10);
  }
}

TEST_CASE("a process ticks where cold servers are limited") {
  CHECK(NeedsTick(cold_world(0).state));
  CHECK_FALSE(NeedsTick(cold_world(0, 0).state));
}

TEST_CASE("services without a cold rate aren't limited") {
  cold_world w(60'000, 0);
  CHECK(w.Ask(50) == 50);
  w.End(false);
  CHECK(w.Ask(50) == 50);
  CHECK(CountCold(w.state, w.now_us).empty());
}

// Guards against a pool of cold servers that never takes a stream, and one that
// counts on the capacity of its cold servers.
TEST_CASE("cold servers count in admission with what they can take") {
  cold_world w(60'000);
  w.state.stream_limits["orders"].streams = 4;
  w.Do(members_updated{{.changed = {ColdServer("y", 0)}}});
  // Four at the warm one, three at the cold one.
  CHECK(w.Ask(20, "/draft/1") == 7);
}

}  // namespace
}  // namespace wisteriaroute::gateway
