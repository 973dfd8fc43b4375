#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "tests/gateway/world.h"

namespace wisteriaroute::gateway {
namespace {

wire::member_info In(wire::member_info info, const std::string& data_center) {
  info.data_center = data_center;
  return info;
}

/** Servers a and b in the data centre `east`, and c in `west`. */
struct evacuation_world : world {
  exchange_id next = 100;

  evacuation_world() {
    Do(members_updated{
        {.full = true,
         .changed = {In(Server("a"), "east"), In(Server("b"), "east"),
                     In(Server("c"), "west")}}});
  }

  void List(std::uint64_t index,
            std::vector<std::string> data_centers,
            std::vector<wire::ended_evacuation> ended = {}) {
    Do(members_updated{{.evacuations = {.index = index,
                                        .data_centers = std::move(data_centers),
                                        .ended = std::move(ended)}}});
  }

  /** Servers that get a share of some requests, which then end. */
  std::set<std::string> Asked(const std::string& path = "/lookup/1") {
    std::set<std::string> servers;
    for (int i = 0; i < 24; ++i) {
      const std::size_t sent = All<start_attempt>().size();
      Ask(++next, path);
      if (All<start_attempt>().size() > sent) {
        servers.insert(LastAttempt().terms.expected_server);
        Do(caller_left{next});
      }
    }
    return servers;
  }
};

using servers = std::set<std::string>;

// Guards against any kind of attempt that reaches an evacuated data centre.
TEST_CASE("an evacuated data centre gets no attempt") {
  evacuation_world w;
  REQUIRE(w.Asked() == servers{"a", "b", "c"});

  SUBCASE("no first one, for requests and streams") {
    w.List(5, {"east"});
    CHECK(w.Asked() == servers{"c"});
    CHECK(w.Asked("/draft/1") == servers{"c"});
    CHECK(w.Asked("/pay/1") == servers{"c"});
  }
  SUBCASE("no retry after a failure or refusal") {
    w.List(5, {"east"});
    w.Ask(1, "/lookup/1");
    REQUIRE(w.LastAttempt().terms.expected_server == "c");
    const std::size_t sent = w.All<start_attempt>().size();
    SUBCASE("of the server") {
      w.Head(500);
    }
    SUBCASE("of the connection") {
      w.End(false, true);
    }
    w.End(true);
    CHECK(w.All<start_attempt>().size() == sent);
    CHECK(w.state.requests.empty());
  }
  SUBCASE("no resumed stream") {
    w.List(5, {"east"});
    w.Ask(1, "/draft/1");
    w.Head(200, true, true);
    w.Data("id: 1\ndata: a\n\n");
    const std::size_t sent = w.All<start_attempt>().size();
    SUBCASE("after a break") {
      w.End(false);
    }
    SUBCASE("after silence") {
      w.now_us += 1'900'000;
      w.Do(gateway_tick{});
    }
    CHECK(w.All<start_attempt>().size() == sent);
  }
  SUBCASE("nor a server that starts there meanwhile") {
    w.List(5, {"east"});
    w.Do(members_updated{
        {.changed = {In(Server("a", 2), "east"), In(Server("d"), "east")},
         .evacuations = {.index = 5, .data_centers = {"east"}}}});
    CHECK(w.Asked() == servers{"c"});
  }
  SUBCASE("from the first list on that an entry receives") {
    world fresh;
    fresh.Do(members_updated{
        {.full = true,
         .changed = {In(Server("a"), "east"), In(Server("c"), "west")},
         .evacuations = {.index = 5, .data_centers = {"east"}}}});
    for (exchange_id i = 1; i <= 12; ++i) {
      fresh.Ask(i, "/lookup/1");
      CHECK(fresh.LastAttempt().terms.expected_server == "c");
      fresh.Do(caller_left{i});
    }
  }
}

// Guards against requests that are lost because of an evacuation.
TEST_CASE("what runs at an evacuated server finishes") {
  evacuation_world w;
  do {
    w.Ask(++w.next, "/draft/1");
  } while (w.LastAttempt().terms.expected_server == "c");
  w.Head(200, true, true);
  w.Data("id: 1\ndata: a\n\n");
  w.List(5, {"east"});
  w.Data("id: 2\ndata: b\n\n");
  w.End(true);
  CHECK(w.All<cancel_attempt>().empty());
  CHECK(w.All<end_stream>().size() == 1);
  CHECK(w.Written() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against callers that wait while nobody can serve them.
TEST_CASE("a service whose servers are all evacuated refuses at once") {
  evacuation_world w;
  w.List(5, {"east", "west"});
  w.Ask(1, "/lookup/1");
  REQUIRE(w.All<refuse>().size() == 1);
  CHECK(w.All<refuse>()[0].status == 503);
  CHECK(w.All<refuse>()[0].code == "servers_evacuated");
  CHECK(w.All<refuse>()[0].retry_after_ms >= 1'000);
  CHECK(w.All<start_attempt>().empty());
  w.Do(members_updated{
      {.removed = {"a", "b", "c"},
       .evacuations = {.index = 5, .data_centers = {"east", "west"}}}});
  w.Ask(2, "/lookup/1");
  CHECK(w.All<refuse>().back().code == "no_server");
}

// Guards against a late message of a replaced leader, and against a service
// that stays evacuated.
TEST_CASE("only a newer list changes what is evacuated") {
  evacuation_world w;
  w.List(5, {"east"});

  SUBCASE("an older one is ignored") {
    w.List(4, {});
    CHECK(w.Asked() == servers{"c"});
    w.Do(members_updated{{.changed = {In(Server("d"), "west")}}});
    CHECK(w.Asked() == servers{"c", "d"});
  }
  SUBCASE("a newer one ends it") {
    w.List(6, {}, {{"east", 6, 0}});
    CHECK(w.Asked() == servers{"a", "b", "c"});
  }
}

// Guards against cold servers that get their full load after an evacuation.
TEST_CASE("the end of an evacuation is known") {
  evacuation_world w;
  const auto ended = [&] { return w.state.servers.EvacuationEndedUs("east"); };
  CHECK_FALSE(ended());
  w.List(5, {"east"});
  CHECK_FALSE(ended());

  SUBCASE("as the moment at which this entry learned of it") {
    w.now_us += 1'000'000;
    w.List(6, {}, {{"east", 6, 300}});
    CHECK(ended() == w.now_us);
    const base::time_us at = w.now_us;
    w.now_us += 1'000'000;
    w.List(6, {}, {{"east", 6, 1'300}});
    CHECK(ended() == at);
    SUBCASE("until the next evacuation") {
      w.List(7, {"east"});
      CHECK_FALSE(ended());
    }
  }
  SUBCASE("or, if it was away from start to end, from its age") {
    w.List(9, {"north"}, {{"west", 8, 2'000}});
    CHECK(w.state.servers.EvacuationEndedUs("west") == w.now_us - 2'000'000);
  }
}

// Guards against admission that counts on servers that get no requests.
TEST_CASE("capacity is that of the servers that remain") {
  evacuation_world w;
  const auto load = [&] {
    return w.state.servers.TotalLoad("orders", w.now_us);
  };
  for (int i = 0; i < 6; ++i) {
    w.Ask(++w.next, "/draft/1");
  }
  REQUIRE(load().servers == 3);
  REQUIRE(load().requests == doctest::Approx(6));
  w.List(5, {"east"});
  CHECK(load().servers == 1);
  CHECK(load().requests ==
        doctest::Approx(w.state.servers.Find("c")->in_flight));

  SUBCASE("and streams above it are refused") {
    w.state.stream_limits["orders"].streams = 3;
    const std::size_t refused = w.All<refuse>().size();
    for (int i = 0; i < 12; ++i) {
      w.Ask(++w.next, "/draft/1");
    }
    CHECK(w.state.servers.Find("c")->in_flight == 3);
    CHECK(w.All<refuse>().size() - refused >= 9);
  }
  SUBCASE("and reports of servers that empty don't hide their load") {
    const auto report = [&](const char* id, std::int64_t running, int times) {
      for (int i = 0; i < times; ++i) {
        w.now_us += 50'000;
        w.state.servers.NoteLoad(*w.state.servers.Find(id),
                                 {.running = running}, w.now_us);
      }
    };
    report("c", 9, 40);
    report("a", 1, 16);
    CHECK(load().requests > 8);
  }
}

// Guards against servers that stay out of use after an evacuation because they
// were taken for failed.
TEST_CASE("evacuated servers aren't failed, suspended or leaving") {
  evacuation_world w;
  w.List(5, {"east"});
  for (const auto& [id, one] : w.state.servers.all()) {
    CHECK(one.failures == 0);
    CHECK(one.suspended_until_us == 0);
    CHECK(one.paused_until_us == 0);
    CHECK_FALSE(one.info.leaving);
  }
  w.List(6, {});
  CHECK(w.Asked() == servers{"a", "b", "c"});
}

wire::member_info Rank(const std::string& group,
                       std::uint32_t number,
                       const std::string& data_center) {
  wire::member_info info =
      In(Server(group + std::to_string(number)), data_center);
  info.backend.group = group;
  info.backend.rank = number;
  info.backend.slots = 8;
  return info;
}

// Guards against a group that is stopped because some of its ranks are
// evacuated.
TEST_CASE("a group in several data centres goes on with its other ranks") {
  evacuation_world w;
  w.Do(members_updated{{.full = true,
                        .changed = {Rank("g", 0, "east"), Rank("g", 1, "west"),
                                    Rank("g", 2, "west"), Rank("h", 0, "east"),
                                    Rank("h", 1, "east")}}});
  REQUIRE(w.Asked() == servers{"g0", "g1", "g2", "h0", "h1"});
  w.List(5, {"east"});
  CHECK(w.Asked() == servers{"g1", "g2"});

  SUBCASE("also when it has lost a rank and no other group is in use") {
    w.Do(server_crash_reported{{"g2", 1}});
    CHECK(w.Asked() == servers{"g1", "g2"});
  }
}

// Guards against trial requests at evacuated servers, and against parts that
// nobody may answer while the group of their trial is evacuated.
TEST_CASE("a part that was never answered isn't tried at evacuated servers") {
  evacuation_world w;
  w.Do(members_updated{
      {.full = true,
       .changed = {Rank("g", 0, "east"), Rank("g", 1, "east"),
                   Rank("h", 0, "west"), Rank("h", 1, "west")}}});
  w.List(5, {"east"});
  for (int i = 0; i < 20; ++i) {
    caller_request request{.id = "r",
                           .host = "shop.example",
                           .path = "/draft/1",
                           .key = base::Digest128("key-1"),
                           .deadline_ms = 4'000};
    const std::string part = "p" + std::to_string(i);
    request.shared_parts.push_back({part, base::Digest128(part)});
    w.Do(request_arrived{++w.next, request});
    REQUIRE(w.All<refuse>().empty());
    CHECK(w.LastAttempt().terms.expected_server[0] == 'h');
    w.Do(caller_left{w.next});
  }
}

TEST_CASE("gauges show the evacuated data centres") {
  evacuation_world w;
  w.List(5, {"east", "north"});
  base::metrics metrics;
  ReportGauges(w.state, w.now_us, metrics);
  const std::string text = metrics.Render();
  const auto shows = [&](const std::string& line) {
    return text.find("wisteriaroute_data_center_evacuated{data_center=" + line +
                     "\n") != text.npos;
  };
  CHECK(shows("\"east\"} 1"));
  CHECK(shows("\"north\"} 1"));
  CHECK(shows("\"west\"} 0"));
}

}  // namespace
}  // namespace wisteriaroute::gateway
