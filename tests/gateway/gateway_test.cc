#include "libwisteriaroute/gateway/gateway.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libwisteriaroute/policy/pause_ramp.h"
#include "tests/gateway/world.h"

namespace wisteriaroute::gateway {
namespace {

TEST_CASE("each lockstep group has its own stream limit") {
  world w;
  std::vector<wire::member_info> ranks;
  for (const char* group : {"slow", "quick"}) {
    for (int rank = 0; rank < 4; ++rank) {
      wire::member_info info = Server(group + std::to_string(rank));
      info.backend.group = group;
      info.backend.slots = 8;
      ranks.push_back(info);
    }
  }
  w.Do(members_updated{{.full = true, .changed = ranks}});
  // The experts of one group are out of balance, so the time between its events
  // is too long.
  for (int i = 0; i < 400; ++i) {
    const base::time_us at = w.now_us + i * 10'000;
    policy::NoteGap(w.state.stream_limits["slow"], 200, 120, 8, at);
    policy::NoteGap(w.state.stream_limits["quick"], 60, 120, 8, at);
  }
  std::map<std::string, int> sent;
  for (exchange_id exchange = 1; exchange <= 30; ++exchange) {
    w.Ask(exchange, "/draft/1");
    ++sent[w.LastAttempt().terms.expected_server.substr(0, 4)];
  }
  SUBCASE("most streams go to the group that meets the objective") {
    CHECK(sent["quic"] >= 22);
    CHECK(sent["slow"] <= 8);
  }
  SUBCASE("no stream is refused while any group has room") {
    CHECK(w.All<refuse>().empty());
  }
}

// Simulates one of many entries that share a large pool. It gets a load report
// of each server only every few seconds, but frequent reports from the pool as
// a whole.
TEST_CASE("one of many entries knows how full a large pool is") {
  constexpr int kServers = 64;
  constexpr base::time_us kStatementUs = 90'000;
  world w;
  std::vector<wire::member_info> ranks;
  for (int rank = 0; rank < kServers; ++rank) {
    wire::member_info info = Server("i" + std::to_string(rank));
    info.backend.group = "g";
    info.backend.slots = 6;
    ranks.push_back(info);
  }
  w.Do(members_updated{{.full = true, .changed = ranks}});
  w.state.stream_limits["g"].streams = 4;
  // A reported load includes the request that the response answers.
  const auto state_loads = [&](std::int64_t running) {
    for (int i = 0; i < 24; ++i) {
      w.now_us += kStatementUs;
      server* one =
          w.state.servers.Find("i" + std::to_string(i * 37 % kServers));
      w.state.servers.NoteLoad(*one, {.running = running, .slots = 6},
                               w.now_us);
    }
  };

  SUBCASE("it admits no stream while other entries keep the pool full") {
    state_loads(6);
    w.Ask(1, "/draft/1");
    REQUIRE(w.All<refuse>().size() == 1);
    CHECK(w.All<refuse>()[0].code == "servers_full");
  }

  SUBCASE("it refuses no stream while other entries leave room") {
    state_loads(4);
    for (exchange_id exchange = 1; exchange <= 20; ++exchange) {
      w.Ask(exchange, "/draft/1");
    }
    CHECK(w.All<refuse>().empty());
  }

  SUBCASE("it refuses no stream when all load reports are old") {
    state_loads(6);
    w.now_us += 10'000'000;
    w.Ask(1, "/draft/1");
    CHECK(w.All<refuse>().empty());
  }
}

TEST_CASE("a server that announces that it leaves gets no new request") {
  world w;
  w.Ask(1, "/lookup/4");
  const std::string leaving = w.LastAttempt().terms.expected_server;
  response_head head{.status = 200, .sealed = true, .leaving = true};
  const auto ask_many = [&] {
    int reached = 0;
    for (exchange_id exchange = 10; exchange < 20; ++exchange) {
      w.Ask(exchange, "/lookup/4");
      reached += w.LastAttempt().terms.expected_server == leaving ? 1 : 0;
      w.Head(200);
      w.End(true);
    }
    return reached;
  };

  SUBCASE("and its current requests finish") {
    w.Do(attempt_head{w.LastAttempt().attempt, head});
    w.Data("found");
    w.End(true);
    REQUIRE(w.All<relay>().size() == 1);
    CHECK(w.All<relay>()[0].body == "found");
    CHECK(ask_many() == 0);
  }
  SUBCASE("also if it announces this while refusing a request") {
    head = {.status = 503, .not_run = true, .leaving = true};
    w.Do(attempt_head{w.LastAttempt().attempt, head});
    CHECK(w.LastAttempt().terms.expected_server != leaving);
    w.Head(200);
    w.End(true);
    CHECK(ask_many() == 0);
  }
  SUBCASE("whatever control reports about this incarnation later") {
    w.Do(attempt_head{w.LastAttempt().attempt, head});
    w.End(true);
    w.Do(members_updated{
        {.full = true, .changed = {Server("a"), Server("b"), Server("c")}}});
    CHECK(ask_many() == 0);
    // Dropped and listed again.
    w.Do(members_updated{{.removed = {leaving}}});
    w.Do(members_updated{{.changed = {Server(leaving)}}});
    CHECK(ask_many() == 0);
    w.Do(options_changed{});
    CHECK(ask_many() == 0);
  }
  SUBCASE("and is dropped if one update reports it as leaving and removed") {
    wire::member_info info = Server(leaving);
    info.leaving = true;
    w.Do(members_updated{{.changed = {info}, .removed = {leaving}}});
    CHECK(w.state.servers.Find(leaving) == nullptr);
  }
  SUBCASE("until another incarnation is reported") {
    w.Do(attempt_head{w.LastAttempt().attempt, head});
    w.End(true);
    w.Do(members_updated{{.changed = {Server(leaving, 2)}}});
    CHECK(ask_many() > 0);
  }
  SUBCASE("but its announcement doesn't affect the next incarnation") {
    w.Do(members_updated{{.changed = {Server(leaving, 2)}}});
    w.Do(attempt_head{w.LastAttempt().attempt, head});
    w.End(true);
    CHECK(ask_many() > 0);
  }
  SUBCASE("but a response from another server at its address is ignored") {
    head = {
        .status = 421, .not_run = true, .wrong_server = true, .leaving = true};
    w.Do(attempt_head{w.LastAttempt().attempt, head});
    CHECK_FALSE(w.state.servers.Find(leaving)->info.leaving);
  }
}

TEST_CASE("a server that asks for a pause gets no requests") {
  world w;
  w.Ask(1, "/lookup/4");
  const std::string asked = w.LastAttempt().terms.expected_server;
  const auto refuse_with = [&](std::optional<base::time_ms> pause_ms) {
    w.Do(attempt_head{w.LastAttempt().attempt,
                      {.status = 503, .not_run = true, .pause_ms = pause_ms}});
  };
  const auto paused_until = [&](const std::string& id) {
    return w.state.servers.Find(id)->paused_until_us;
  };
  const auto reaches = [&](base::time_us after_us) {
    w.now_us = kStartUs + after_us;
    int reached = 0;
    for (exchange_id exchange = 10; exchange < 30; ++exchange) {
      w.Ask(exchange, "/lookup/4");
      reached += w.LastAttempt().terms.expected_server == asked ? 1 : 0;
      w.Head(200);
      w.End(true);
    }
    return reached;
  };
  refuse_with(1'500);
  w.Head(200);
  w.End(true);

  SUBCASE("until the pause ends") {
    CHECK(reaches(100'000) == 0);
    CHECK(reaches(1'499'000) == 0);
    CHECK(reaches(1'500'000 + policy::kRampSpreadUs) > 0);
  }
  SUBCASE("and a request for a shorter pause does not shorten it") {
    const base::time_us until_us = paused_until(asked);
    w.state.servers.NotePause(*w.state.servers.Find(asked), w.now_us + 100'000);
    CHECK(paused_until(asked) == until_us);
  }
  SUBCASE("and the refusal does not count as a failure") {
    CHECK(w.state.servers.Find(asked)->failures == 0);
  }
  SUBCASE("and its slots do not count as capacity meanwhile") {
    CHECK(w.state.servers.TotalLoad("orders", w.now_us).servers == 2);
  }
  SUBCASE("unless a new incarnation replaces it") {
    w.Do(members_updated{{.changed = {Server(asked, 2)}}});
    CHECK(reaches(100'000) > 0);
  }
  SUBCASE("and after the pause it gets requests one by one") {
    w.now_us = kStartUs + 1'500'000 + policy::kRampSpreadUs;
    std::map<std::string, int> sent;
    for (exchange_id exchange = 10; exchange < 20; ++exchange) {
      w.Ask(exchange, "/lookup/4");
      ++sent[w.LastAttempt().terms.expected_server];
    }
    CHECK(sent[asked] <= 2);
  }
  SUBCASE("and if all are paused, callers are told when to retry") {
    for (const char* id : {"a", "b", "c"}) {
      w.state.servers.NotePause(*w.state.servers.Find(id),
                                kStartUs + 3'000'000);
    }
    w.Ask(5, "/lookup/4");
    REQUIRE(w.All<refuse>().size() == 1);
    CHECK(w.All<refuse>()[0].status == 503);
    CHECK(w.All<refuse>()[0].code == "servers_paused");
    CHECK(w.All<refuse>()[0].retry_after_ms >=
          (paused_until(asked) - w.now_us) / 1'000);
  }
}

TEST_CASE("a refusal tells whether the service has any servers") {
  world w;

  SUBCASE("all of them are temporarily full") {
    for (const char* server : {"a", "b", "c"}) {
      w.state.servers.Find(server)->suspended_until_us = w.now_us + 50'000;
    }
    w.Ask(1, "/lookup/4");
    CHECK(w.All<refuse>().back().code == "servers_full");
  }

  SUBCASE("all of them have left") {
    w.Do(members_updated{{.removed = {"a", "b", "c"}}});
    w.Ask(1, "/lookup/4");
    CHECK(w.All<refuse>().back().code == "no_server");
  }
}

TEST_CASE("a request goes to a server of its route") {
  world w;

  SUBCASE("with the workspace, deadline and expected server") {
    w.Ask(1, "/lookup/4");
    const start_attempt sent = w.LastAttempt();
    CHECK(sent.terms.workspace == "counter");
    CHECK(sent.terms.deadline_ms == 2'000);
    CHECK_FALSE(sent.terms.expected_server.empty());
    w.Head(200);
    w.Data("found");
    CHECK(w.All<relay>().empty());
    w.End(true);
    REQUIRE(w.All<relay>().size() == 1);
    CHECK(w.All<relay>()[0].body == "found");
    CHECK(w.state.requests.empty());
  }

  SUBCASE("and is refused at once without a route or a valid key") {
    w.Ask(1, "/nowhere/");
    w.Ask(2, "/pay/1", "no such key");
    REQUIRE(w.All<refuse>().size() == 2);
    CHECK(w.All<refuse>()[0].status == 404);
    CHECK(w.All<refuse>()[1].status == 401);
    CHECK(w.All<start_attempt>().empty());
  }

  SUBCASE("and a key is refused once it is removed") {
    config::traffic_set next = Traffic();
    next.workspaces.clear();
    next.workspaces.push_back({.name = "other"});
    w.Do(
        traffic_published{std::make_shared<const config::traffic_index>(next)});
    w.Ask(1, "/lookup/4");
    CHECK(w.All<refuse>().at(0).status == 401);
  }
}

TEST_CASE("without a configuration a request gets 503 instead of 404") {
  gateway_state state;
  const auto effects =
      Step(state, request_arrived{1, {.host = "shop.example", .path = "/"}},
           kStartUs);
  const auto* answer = std::get_if<refuse>(&effects.at(0));
  REQUIRE(answer != nullptr);
  CHECK(answer->status == 503);
  CHECK(answer->retry_after_ms > 0);
}

// Guards against sending a non-repeatable request, such as a payment, again
// after a server may have run it.
TEST_CASE("a non-repeatable request is retried only if it didn't run") {
  world w;
  w.Ask(1, "/pay/1");

  SUBCASE("a lost connection ends it") {
    w.End(false);
    CHECK(w.All<start_attempt>().size() == 1);
    CHECK(w.All<refuse>().at(0).status == 502);
  }

  SUBCASE("an unsealed success ends it, because it may have run") {
    w.Head(200, false);
    CHECK(w.All<start_attempt>().size() == 1);
    CHECK(w.All<refuse>().at(0).status == 502);
  }

  SUBCASE("its time limit ends it, because it may have run") {
    w.now_us += 2'100'000;
    w.Do(gateway_tick{});
    CHECK(w.All<refuse>().at(0).status == 504);
    CHECK(w.All<cancel_attempt>().size() == 1);
  }

  SUBCASE("it goes to another server if the first one didn't run it") {
    w.Do(attempt_head{w.LastAttempt().attempt,
                      {.status = 503, .not_run = true}});
    REQUIRE(w.All<start_attempt>().size() == 2);
    CHECK(w.All<start_attempt>()[0].terms.expected_server !=
          w.All<start_attempt>()[1].terms.expected_server);
    SUBCASE("and if neither ran it, the caller may retry") {
      w.Do(attempt_head{w.LastAttempt().attempt,
                        {.status = 503, .not_run = true}});
      CHECK(w.All<start_attempt>().size() == 2);
      CHECK(w.All<refuse>().at(0).status == 503);
      CHECK(w.All<refuse>().at(0).retry_after_ms > 0);
    }
  }

  SUBCASE("it goes to another server if the connection was never made") {
    w.End(false, true);
    CHECK(w.All<start_attempt>().size() == 2);
  }
}

TEST_CASE("a repeatable request is sent to another server") {
  world w;
  w.Ask(1, "/lookup/1");
  w.Head(500);
  w.Data("no");
  w.End(true);
  REQUIRE(w.All<start_attempt>().size() == 2);

  SUBCASE("whose response is relayed") {
    w.Head(200);
    w.Data("yes");
    w.End(true);
    CHECK(w.All<relay>().at(0).body == "yes");
  }

  SUBCASE("and the first failure response is relayed if it fails, too") {
    w.End(false);
    CHECK(w.All<relay>().at(0).status == 500);
    CHECK(w.All<relay>().at(0).body == "no");
    CHECK(w.All<start_attempt>().size() == 2);
  }
}

TEST_CASE("a stream continues at another server") {
  world w;
  w.Ask(1, "/draft/1");
  w.Head(200, true, true);
  CHECK(w.All<start_stream>().empty());
  w.Data("id: 0\ndata: a\n\nid: 1\nda");
  CHECK(w.All<start_stream>().size() == 1);
  CHECK(w.Written() == "id: 0\ndata: a\n\n");

  SUBCASE("after the last complete event, within one response") {
    w.End(false);
    REQUIRE(w.All<start_attempt>().size() == 2);
    CHECK(w.LastAttempt().terms.last_event_id == 0);
    w.Head(200, true, true);
    w.Data("id: 1\ndata: b\n\n");
    w.End(true);
    CHECK(w.Written() == "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    CHECK(w.All<start_stream>().size() == 1);
    CHECK(w.All<end_stream>().size() == 1);
  }

  SUBCASE("also if the response ends within an event") {
    w.End(true);
    CHECK(w.All<end_stream>().empty());
    CHECK(w.All<start_attempt>().size() == 2);
  }

  SUBCASE("without duplicate events, and a missing event ends the attempt") {
    w.End(false);
    w.Head(200, true, true);
    w.Data("id: 0\ndata: a\n\nid: 2\ndata: c\n\n");
    CHECK(w.Written() == "id: 0\ndata: a\n\n");
    CHECK(w.All<cancel_attempt>().size() == 1);
    CHECK(w.All<abort_stream>().size() == 1);
    CHECK(w.All<end_stream>().empty());
  }

  SUBCASE("also if its server is silent") {
    w.now_us += 1'900'000;
    w.Do(gateway_tick{});
    CHECK(w.All<cancel_attempt>().size() == 1);
    CHECK(w.All<start_attempt>().size() == 2);
  }

  SUBCASE("but waits for a silent server if no other can take it") {
    SUBCASE("because no retry is left") {
      w.state.options.retries = {.ratio = 0, .floor = 0};
    }
    SUBCASE("because there is no other server") {
      for (const char* id : {"a", "b", "c"}) {
        if (w.state.requests.at(1).server != id) {
          w.Do(members_updated{{.removed = {id}}});
        }
      }
    }
    w.now_us += 1'900'000;
    w.Do(gateway_tick{});
    CHECK(w.All<cancel_attempt>().empty());
    CHECK(w.All<abort_stream>().empty());
    w.Data("ta: b\n\n");
    CHECK(w.Written().ends_with("id: 1\ndata: b\n\n"));
  }

  SUBCASE("regardless of the limit for new streams") {
    w.state.stream_limits["orders"].streams = 0.5;
    w.End(false);
    CHECK(w.All<start_attempt>().size() == 2);
  }

  SUBCASE("and its attempt is cancelled when the caller disconnects") {
    w.Do(caller_left{1});
    CHECK(w.All<cancel_attempt>().size() == 1);
    CHECK(w.state.requests.empty());
    CHECK(w.state.servers.Find("a")->in_flight +
              w.state.servers.Find("b")->in_flight +
              w.state.servers.Find("c")->in_flight ==
          0);
  }
}

// Streams that moved from a crashed group made the others admit too few.
TEST_CASE("the wait for the first event of a continued stream isn't a gap") {
  world w;
  config::traffic_set set = Traffic();
  for (config::route& route : set.routes) {
    route.gap_objective_ms = 120;
  }
  set.services[0].engine = config::engine_shape{
      .slots = 8, .step_ms = 10, .step_ms_per_sequence = 1};
  w.Do(traffic_published{
      std::make_shared<const config::traffic_index>(std::move(set))});
  for (exchange_id exchange = 1; exchange <= 8; ++exchange) {
    w.Ask(exchange, "/draft/1");
    w.Head(200, true, true);
    w.Data("id: 0\ndata: a\n\n");
    w.End(false);
    w.Head(200, true, true);
    w.now_us += 700'000;
    w.Data("id: 1\ndata: b\n\n");
    CHECK(w.state.stream_limits["orders"].streams == 0);
    CHECK(w.state.slowdown_reserves["orders"].events == 0);
    w.Do(caller_left{exchange});
  }
  SUBCASE("but each later one is") {
    w.Ask(9, "/draft/1");
    w.Head(200, true, true);
    w.Data("id: 0\ndata: a\n\n");
    w.Data("id: 1\ndata: b\n\n");
    CHECK(w.state.stream_limits["orders"].streams > 0);
    CHECK(w.state.slowdown_reserves["orders"].events == 1);
  }
}

// Guards against a faulty server that makes the gateway buffer without bound.
TEST_CASE("a server that sends an endless response is abandoned") {
  world w;
  const std::string noise(64 * 1024, 'x');

  SUBCASE("a repeatable request is sent to another server") {
    w.Ask(1, "/lookup/4");
    const attempt_id first = w.LastAttempt().attempt;
    w.Head(200);
    for (int i = 0; i < 200 && w.LastAttempt().attempt == first; ++i) {
      w.Data(noise);
    }
    CHECK(w.LastAttempt().attempt != first);
    REQUIRE(w.All<cancel_attempt>().size() == 1);
    CHECK(w.All<cancel_attempt>()[0].attempt == first);
  }

  SUBCASE("a non-repeatable request fails, because it may have run") {
    w.Ask(1, "/pay/4");
    w.Head(200);
    for (int i = 0; i < 200 && w.All<refuse>().empty(); ++i) {
      w.Data(noise);
    }
    REQUIRE(w.All<refuse>().size() == 1);
    CHECK(w.All<refuse>()[0].status == 502);
  }

  SUBCASE("a stream with an endless event continues at another server") {
    w.Ask(1, "/draft/4");
    const attempt_id first = w.LastAttempt().attempt;
    w.Head(200, true, true);
    w.Data("id: 1\ndata: a\n\n");
    for (int i = 0; i < 200 && w.LastAttempt().attempt == first; ++i) {
      w.Data(": " + noise + "\n");
    }
    CHECK(w.LastAttempt().attempt != first);
    CHECK(w.LastAttempt().terms.last_event_id == 1);
    CHECK(w.Written() == "id: 1\ndata: a\n\n");
  }
}

TEST_CASE("a server that control reports as leaving gets no new request") {
  world w;
  wire::member_info leaving = Server("a");
  leaving.leaving = true;
  w.Do(members_updated{{.changed = {leaving}}});

  SUBCASE("also if a late report says that it is ready") {
    w.Do(members_updated{{.changed = {Server("a")}}});
    w.Do(members_updated{{.removed = {"b", "c"}}});
    w.Ask(1, "/lookup/1");
    CHECK(w.All<start_attempt>().empty());
    CHECK(w.All<refuse>().at(0).status == 503);
  }

  SUBCASE("until it starts again") {
    w.Do(members_updated{{.changed = {Server("a", 2)}}});
    w.Do(members_updated{{.removed = {"b", "c"}}});
    w.Ask(1, "/lookup/1");
    CHECK(w.All<start_attempt>().size() == 1);
  }
}

TEST_CASE("retries are bounded while all servers fail") {
  world w;
  constexpr int kRequests = 400;
  for (int i = 1; i <= kRequests; ++i) {
    w.now_us += 20'000;
    // New incarnations clear the suspension of failing servers, so that
    // requests still reach them.
    w.Do(members_updated{{.full = true,
                          .changed = {Server("a", 10 + i), Server("b", 10 + i),
                                      Server("c", 10 + i)}}});
    w.Ask(static_cast<exchange_id>(i), "/lookup/1");
    while (!w.state.requests.empty()) {
      w.End(false);
    }
  }
  const std::size_t repeats = w.All<start_attempt>().size() - kRequests;
  const retry_limits& limits = w.state.options.retries;
  CHECK(repeats > 0);
  CHECK(static_cast<double>(repeats) <=
        limits.floor + limits.ratio * kRequests + 1);
}

TEST_CASE("a server whose connections break before an answer is probed") {
  world w;
  const auto prompt = [&](exchange_id exchange, const std::string& parts) {
    caller_request request{.id = "r" + std::to_string(exchange),
                           .host = "shop.example",
                           .path = "/draft/1",
                           .key = base::Digest128("key-1"),
                           .deadline_ms = 4'000,
                           .digest = base::Digest128(std::to_string(exchange))};
    for (const char id : parts) {
      request.shared_parts.push_back(
          {std::string(1, id), base::Digest128(std::string(1, id))});
    }
    w.Do(request_arrived{exchange, request});
  };
  const auto answer = [&] {
    w.Head(200, true, true);
    w.Data("id: 1\ndata: x\n\n");
  };
  const auto tick = [&] {
    w.now_us += kGatewayTickUs;
    w.Do(gateway_tick{});
  };
  const auto quarantine = [&](const std::string& part,
                              wire::quarantine_state state) {
    w.Do(quarantine_changed{
        {.changed = {{base::Digest128(part), state, 2, 0}}}});
  };
  const auto reports = [&] {
    std::vector<wire::crash_reports> sent;
    for (const send_control& one : w.All<send_control>()) {
      if (const auto* found = std::get_if<wire::crash_reports>(&one.message)) {
        sent.push_back(*found);
      }
    }
    return sent;
  };
  const auto answers = [&] {
    std::vector<wire::begun_answer> sent;
    for (const send_control& one : w.All<send_control>()) {
      if (const auto* found = std::get_if<wire::answers_begun>(&one.message)) {
        sent.insert(sent.end(), found->answers.begin(), found->answers.end());
      }
    }
    return sent;
  };
  prompt(1, "s");
  answer();
  prompt(2, "sb");
  const std::string broken = w.LastAttempt().terms.expected_server;

  SUBCASE("a break after the first event is no reason") {
    answer();
    w.End(false);
    CHECK(w.All<probe_server>().empty());
  }

  SUBCASE("nor is the exit of a server that leaves") {
    wire::member_info leaving = Server(broken);
    leaving.leaving = true;
    w.Do(members_updated{{.changed = {leaving}}});
    w.End(false);
    CHECK(w.All<probe_server>().empty());
  }

  SUBCASE("and a server that runs on has not crashed") {
    w.End(false);
    REQUIRE(w.All<probe_server>().size() == 1);
    w.Do(probe_ended{broken, 1, false});
    tick();
    CHECK(reports().empty());
  }

  SUBCASE("and one that refuses connections is reported with its suspects") {
    w.End(false);
    w.Do(probe_ended{broken, 1, true});
    CHECK(NeedsTick(w.state));
    tick();
    REQUIRE(reports().size() == 1);
    const wire::crash_report report = reports()[0].crashes.at(0);
    CHECK(report.id == policy::CrashId(broken, 1));
    CHECK(report.age_ms == 50);
    REQUIRE(report.suspects.size() == 1);
    CHECK(report.suspects[0].fingerprint == base::Digest128("2"));
    CHECK(report.suspects[0].parts.at(0).answered);
    CHECK_FALSE(report.suspects[0].parts.at(1).answered);
    tick();
    CHECK(reports().size() == 1);

    SUBCASE("and again to a new leader, for a while") {
      w.Do(control_opened{});
      tick();
      CHECK(reports().size() == 2);
      w.now_us += policy::kReportRetentionMs * 1'000;
      w.Do(control_opened{});
      tick();
      CHECK(reports().size() == 2);
    }
    SUBCASE("and a suspect that is answered is reported, too") {
      w.seen.clear();
      prompt(3, "b");
      answer();
      tick();
      REQUIRE(answers().size() == 1);
      CHECK(answers()[0].fingerprint == base::Digest128("b"));
    }
  }

  SUBCASE("and a suspect of others that was answered here is reported") {
    w.now_us += 700'000;
    quarantine("s", wire::quarantine_state::kSuspect);
    quarantine("b", wire::quarantine_state::kSuspect);
    tick();
    REQUIRE(answers().size() == 1);
    CHECK(answers()[0].fingerprint == base::Digest128("s"));
    CHECK(answers()[0].age_ms == 750);
  }

  SUBCASE("and a quarantined part reaches no server") {
    quarantine("b", wire::quarantine_state::kQuarantined);
    w.seen.clear();
    prompt(3, "sb");
    CHECK(w.All<start_attempt>().empty());
    REQUIRE(w.All<refuse>().size() == 1);
    CHECK(w.All<refuse>()[0].status == 503);
    CHECK(w.All<refuse>()[0].code == "request_quarantined");
    CHECK(w.All<refuse>()[0].retry_after_ms > 0);
    prompt(4, "s");
    CHECK(w.All<start_attempt>().size() == 1);
    SUBCASE("until control releases it") {
      w.Do(quarantine_changed{{.removed = {base::Digest128("b")}}});
      prompt(5, "sb");
      CHECK(w.All<start_attempt>().size() == 2);
    }
    SUBCASE("or its time is over and it is a suspect again") {
      quarantine("b", wire::quarantine_state::kSuspect);
      prompt(5, "sb");
      CHECK(w.All<start_attempt>().size() == 2);
    }
    SUBCASE("or a full list no longer has it") {
      w.Do(quarantine_changed{{.full = true}});
      prompt(5, "sb");
      CHECK(w.All<start_attempt>().size() == 2);
    }
  }

  SUBCASE("and a request is not repeated once its part is quarantined") {
    quarantine("b", wire::quarantine_state::kQuarantined);
    const std::size_t sent = w.All<start_attempt>().size();
    w.End(false);
    CHECK(w.All<start_attempt>().size() == sent);
    REQUIRE(w.All<refuse>().size() == 1);
    CHECK(w.All<refuse>()[0].status == 502);
  }
}

// A part that came often crashed all groups within 0.3 s.
TEST_CASE("a part that was never answered starts in one group") {
  world w;
  std::vector<wire::member_info> ranks;
  for (const char* group : {"g1", "g2", "g3"}) {
    for (int rank = 0; rank < 4; ++rank) {
      wire::member_info info = Server(group + std::to_string(rank));
      info.backend.group = group;
      info.backend.slots = 8;
      ranks.push_back(info);
    }
  }
  w.Do(members_updated{{.full = true, .changed = ranks}});
  exchange_id next = 1;
  const auto ask = [&](const std::string& part) {
    caller_request request{.id = "r",
                           .host = "shop.example",
                           .path = "/draft/1",
                           .key = base::Digest128("key-1"),
                           .deadline_ms = 4'000};
    request.shared_parts.push_back({part, base::Digest128(part)});
    const std::size_t sent = w.All<start_attempt>().size();
    w.Do(request_arrived{next++, request});
    return w.All<start_attempt>().size() == sent
               ? std::string()
               : w.LastAttempt().terms.expected_server.substr(0, 2);
  };
  const auto groups_of = [&](const std::string& part) {
    std::set<std::string> groups;
    for (int i = 0; i < 12; ++i) {
      groups.insert(ask(part));
    }
    return groups;
  };
  REQUIRE(groups_of("a").size() == 1);
  const std::string trial = *groups_of("a").begin();
  const auto leave = [&] {
    for (wire::member_info& info : ranks) {
      info.leaving = info.backend.group == trial;
    }
    w.Do(members_updated{{.changed = ranks}});
  };

  SUBCASE("and other parts start in other groups") {
    std::set<std::string> groups;
    for (int i = 0; i < 20; ++i) {
      groups.insert(ask("b" + std::to_string(i)));
      w.Do(caller_left{next - 1});
    }
    CHECK(groups.size() == 3);
  }
  SUBCASE("and goes to any group once it was answered") {
    w.Head(200, true, true);
    w.Data("id: 1\ndata: x\n\n");
    CHECK(groups_of("a").size() > 1);
  }
  SUBCASE("and elsewhere if that group leaves") {
    leave();
    CHECK_FALSE(groups_of("a").contains(""));
  }
  SUBCASE("but not if that group is full") {
    w.state.stream_limits[trial].streams = 0.1;
    CHECK(groups_of("a") == std::set<std::string>{""});
  }
  SUBCASE("nor if it is down") {
    w.Do(server_crash_reported{{trial + "0", 1}});
    CHECK(groups_of("a") == std::set<std::string>{""});
  }
  SUBCASE("but not if it may have crashed a server there") {
    SUBCASE("as this entry has seen") {
      w.End(false);
    }
    SUBCASE("as other entries report") {
      w.Do(quarantine_changed{
          {.changed = {{.fingerprint = base::Digest128("a"), .crashes = 1}}}});
    }
    leave();
    CHECK(groups_of("a") == std::set<std::string>{""});
  }
}

// The other ranks of its group stalled requests, then refused them for seconds.
TEST_CASE("a group that has lost a rank gets no requests") {
  world w;
  const auto rank = [](const std::string& group, std::uint32_t number,
                       std::uint64_t incarnation = 1) {
    wire::member_info info = Server(
        group + std::to_string(number) +
            (incarnation > 1 ? "-again" + std::to_string(incarnation) : ""),
        incarnation);
    info.backend.group = group;
    info.backend.rank = number;
    return info;
  };
  wire::member_update all{.full = true};
  for (std::uint32_t number = 0; number < 3; ++number) {
    all.changed.push_back(rank("g", number));
    all.changed.push_back(rank("h", number));
  }
  w.Do(members_updated{all});
  exchange_id next = 1;
  const auto groups_asked = [&] {
    std::set<std::string> groups;
    for (int i = 0; i < 12; ++i) {
      const std::size_t sent = w.All<start_attempt>().size();
      w.Ask(next, "/lookup/1");
      if (w.All<start_attempt>().size() > sent) {
        groups.insert(w.LastAttempt().terms.expected_server.substr(0, 1));
        w.Do(caller_left{next});
      }
      ++next;
    }
    return groups;
  };
  const auto crash = [&](const std::string& server) {
    // A request that is broken off makes the gateway probe its server.
    do {
      w.Ask(next++, "/lookup/1");
    } while (w.LastAttempt().terms.expected_server != server);
    w.End(false);
    w.Do(probe_ended{server, 1, true});
  };
  using groups = std::set<std::string>;
  REQUIRE(groups_asked() == groups{"g", "h"});
  crash("g1");
  w.now_us += 100'000;
  REQUIRE(groups_asked() == groups{"h"});

  SUBCASE("until the rank is back, under any id, and the group has started") {
    w.now_us += 2'000'000;
    w.Do(members_updated{{.changed = {rank("g", 1, 2)}}});
    CHECK(groups_asked() == groups{"h"});
    w.now_us += w.state.options.group_start_ms * 1'000;
    CHECK(groups_asked() == groups{"g", "h"});

    SUBCASE("and late news of the first crash don't stop it again") {
      w.Do(members_updated{all});
      CHECK_FALSE(w.state.servers.NoteCrash("g1", 1, w.now_us));
      CHECK(groups_asked() == groups{"g", "h"});
    }
    SUBCASE("but a crash of the new run does") {
      crash("g1-again2");
      w.Do(probe_ended{"g1-again2", 2, true});
      CHECK(groups_asked() == groups{"h"});
    }
  }
  SUBCASE("until all ranks that it lost are back") {
    REQUIRE_FALSE(w.state.servers.NoteCrash("g2", 1, w.now_us));
    w.Do(members_updated{{.changed = {rank("g", 1, 2)}}});
    w.now_us += w.state.options.group_start_ms * 1'000;
    CHECK(groups_asked() == groups{"h"});
    w.Do(members_updated{{.changed = {rank("g", 2, 2)}}});
    w.now_us += w.state.options.group_start_ms * 1'000;
    CHECK(groups_asked() == groups{"g", "h"});
  }
  SUBCASE("or until there has been no news for long") {
    w.now_us += 10'000'000;
    CHECK(groups_asked() == groups{"g", "h"});
  }
  SUBCASE("and other entries are told through control") {
    const auto told = w.All<send_control>().at(0);
    REQUIRE(std::holds_alternative<wire::server_crash>(told.message));
    CHECK(std::get<wire::server_crash>(told.message).server == "g1");
    w.Do(members_updated{{.changed = {rank("g", 1, 2)}}});
    w.now_us += w.state.options.group_start_ms * 1'000;
    w.Do(server_crash_reported{{"h2", 1}});
    CHECK(groups_asked() == groups{"g"});
  }
  SUBCASE("and if all groups are down, their ranks decide") {
    crash("h0");
    CHECK(groups_asked().contains("g"));
    w.Do(members_updated{{.changed = {rank("h", 0, 2)}}});
    w.now_us += w.state.options.group_start_ms * 1'000;
    CHECK(groups_asked() == groups{"h"});
  }
  SUBCASE("and the restart of a rank whose crash wasn't seen stops it, too") {
    w.Do(members_updated{{.changed = {rank("g", 1, 2)}}});
    w.now_us += w.state.options.group_start_ms * 1'000;
    w.Do(members_updated{{.changed = {rank("h", 2, 2)}}});
    CHECK(groups_asked() == groups{"g"});
    w.now_us += w.state.options.group_start_ms * 1'000;
    CHECK(groups_asked() == groups{"g", "h"});
  }
}

// A crash closed such a connection, and its caller got an empty answer.
TEST_CASE("a stream that ends with its connection") {
  world w;
  w.Ask(1, "/draft/1");
  const std::string first = w.LastAttempt().terms.expected_server;
  const auto head = [&] {
    w.Do(attempt_head{w.LastAttempt().attempt,
                      {.status = 200,
                       .sealed = true,
                       .event_stream = true,
                       .ends_with_connection = true}});
  };
  head();

  SUBCASE("is complete after an event") {
    w.Data("id: 1\ndata: x\n\n");
    w.End(true);
    CHECK(w.All<end_stream>().size() == 1);
  }
  SUBCASE("is broken before any event, and its server is probed") {
    w.End(true);
    CHECK(w.All<end_stream>().empty());
    REQUIRE(w.All<probe_server>().size() == 1);
    CHECK(w.All<probe_server>()[0].server == first);
    CHECK(w.LastAttempt().terms.expected_server != first);
  }
  SUBCASE("is broken within its first event") {
    w.Data("id: 1\nda");
    w.End(true);
    CHECK(w.All<end_stream>().empty());
    CHECK(w.All<probe_server>().size() == 1);
  }
  SUBCASE("is broken if it adds no event to those of another server") {
    w.Data("id: 1\ndata: x\n\nid: 2\n");
    w.End(true);
    REQUIRE(w.LastAttempt().terms.last_event_id == 1);
    head();
    w.End(true);
    CHECK(w.All<end_stream>().empty());
    CHECK(w.All<probe_server>().empty());
  }
}

}  // namespace
}  // namespace wisteriaroute::gateway
