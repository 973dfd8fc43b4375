#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <set>

#include "tests/entry/world.h"

namespace wisteriaroute::entry_test {

namespace {

constexpr const char* kChat =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]})";
constexpr const char* kCompletion = R"({"model":"m","prompt":"hi"})";

nlohmann::json ErrorOf(const exchange_record& record) {
  return nlohmann::json::parse(record.received)["error"];
}

std::string StreamedText(const std::string& events) {
  std::string text;
  std::size_t at = 0;
  while ((at = events.find("data: {", at)) != std::string::npos) {
    at += 6;
    const auto event =
        nlohmann::json::parse(events.substr(at, events.find('\n', at) - at));
    if (event.contains("choices")) {
      text += event["choices"][0]["delta"].value("content", "");
    }
  }
  return text;
}

}  // namespace

TEST_CASE("a request runs at an agent and gets its complete response") {
  world sim(1, 2, 4);
  SUBCASE("as an event stream") {
    const auto id = sim.Send(0, "POST", "/v1/chat/completions", kChat);
    sim.RunFor(2'000'000);
    const exchange_record& got = sim.exchanges[id];
    CHECK(got.status == 200);
    CHECK(got.answers == 1);
    CHECK(StreamedText(got.received) == WholeText(kChat));
    CHECK(got.received.ends_with("data: [DONE]\n\n"));
  }
  SUBCASE("as one JSON body with usage") {
    const auto id = sim.Send(0, "POST", "/v1/completions", kCompletion);
    sim.RunFor(2'000'000);
    const auto body = nlohmann::json::parse(sim.exchanges[id].received);
    CHECK(body["choices"][0]["text"] == WholeText(kCompletion));
    CHECK(body["usage"]["completion_tokens"] == TokenCount(kCompletion));
  }
  SUBCASE("an order runs once; a resend at another entry is replayed") {
    const auto first = sim.Send(0, "POST", "/s/orders", "x", "key-1");
    sim.RunFor(3'000'000);
    const auto again = sim.Send(1, "POST", "/s/orders", "x", "key-1");
    const auto other = sim.Send(1, "POST", "/s/orders", "y", "key-1");
    sim.RunFor(3'000'000);
    CHECK(sim.exchanges[first].received == "done:x" + WholeText("x"));
    CHECK(sim.exchanges[again].received == "done:x" + WholeText("x"));
    CHECK(std::ranges::count(sim.exchanges[again].headers,
                             std::pair<std::string, std::string>(
                                 "Idempotent-Replayed", "true")) == 1);
    CHECK(sim.exchanges[other].status == 422);
    CHECK(ErrorOf(sim.exchanges[other])["code"] == "key_reused");
    CHECK(sim.runs_of_body["x"] == 1);
    CHECK(sim.runs_of_body["y"] == 0);
  }
}

// Guards against work for a data centre that is being evacuated, and against
// callers that wait for it.
TEST_CASE("agents of an evacuated data centre get no new work") {
  world sim(6, 1, 4);
  std::set<std::string> used;
  sim.on_run = [&](const std::string& agent, const wire::submit&) {
    used.insert(agent);
  };
  const auto ask = [&] {
    used.clear();
    std::uint64_t id = 0;
    for (int i = 0; i < 30; ++i) {
      id = sim.Send(0, "GET", "/s/status", std::to_string(i));
      // A request takes up to 1.2 s at the one agent that is left.
      sim.RunFor(1'500'000);
    }
    return sim.exchanges[id].status;
  };
  const auto list = [&](std::uint64_t index,
                        std::vector<std::string> data_centers) {
    wire::member_update update = sim.Members();
    for (wire::member_info& info : update.changed) {
      info.data_center = info.name == "agent-1" ? "east" : "west";
    }
    update.evacuations = {.index = index,
                          .data_centers = std::move(data_centers)};
    sim.Feed(0, control_received{update});
  };
  REQUIRE(ask() == 200);
  REQUIRE(used == std::set<std::string>{"agent-1", "agent-3"});
  list(5, {"east"});
  CHECK(ask() == 200);
  CHECK(used == std::set<std::string>{"agent-3"});

  SUBCASE("until a newer list ends it") {
    list(4, {});
    CHECK(ask() == 200);
    CHECK(used == std::set<std::string>{"agent-3"});
    list(6, {});
    CHECK(ask() == 200);
    CHECK(used.size() == 2);
  }
  SUBCASE("and requests are refused if no other agent is left") {
    list(6, {"east", "west"});
    CHECK(ask() == 503);
    CHECK(used.empty());
  }
}

TEST_CASE("a server without load reports keeps getting requests") {
  world sim(4, 1, 2);
  for (int i = 0; i < 200; ++i) {
    const auto id = sim.Send(0, "GET", "/s/status", std::to_string(i));
    sim.RunFor(500'000);
    REQUIRE(sim.exchanges[id].status == 200);
  }
}

TEST_CASE("a request isn't run again if its lost link is back in time") {
  world sim(3, 2, 2);
  const auto stream = sim.Send(0, "POST", "/v1/chat/completions", kChat);
  const auto order = sim.Send(1, "POST", "/s/orders", "x", "key-1");
  sim.RunFor(60'000);
  sim.CutLink(0, "agent-0", 500'000);
  sim.CutLink(1, "agent-1", 500'000);
  sim.RunFor(4'000'000);
  CHECK(sim.exchanges[stream].received.ends_with("data: [DONE]\n\n"));
  CHECK(StreamedText(sim.exchanges[stream].received) == WholeText(kChat));
  CHECK(sim.exchanges[order].received == "done:x" + WholeText("x"));
  CHECK(sim.runs_of_body[kChat] == 1);
  CHECK(sim.runs_of_body["x"] == 1);
}

TEST_CASE("invalid input is refused and nothing is dispatched") {
  world sim(2, 1, 2);
  struct refusal {
    const char* path;
    std::string body;
    unsigned status;
  };
  const std::string deep(100'000, '[');
  const refusal cases[] = {
      {"/v1/chat/completions", "{", 400},
      {"/v1/chat/completions", "[]", 400},
      {"/v1/chat/completions", deep, 400},
      {"/v1/chat/completions", R"({"model":3,"messages":[]})", 400},
      {"/v1/chat/completions", R"({"model":"m","messages":"x"})", 400},
      {"/v1/chat/completions", R"({"model":"m","messages":[{"role":1}]})", 400},
      {"/v1/completions", R"({"model":"m","prompt":{}})", 400},
      {"/v1/completions", R"({"model":"m","prompt":"x","stream":1})", 400},
      {"/v1/completions", R"({"model":"m","prompt":"x","max_tokens":-1})", 400},
      {"/v1/completions", R"({"model":"m","prompt":"x","max_tokens":1e9})",
       400},
      {"/v1/completions", R"({"model":"none","prompt":"x"})", 404},
      {"/v1/completions", R"({"model":"m:none","prompt":"x"})", 404},
      {"/none/x", "", 404},
      {"/", "", 404},
      {"/s/orders", "no key", 400},
  };
  for (const refusal& each : cases) {
    const auto id = sim.Send(0, "POST", each.path, each.body);
    CAPTURE(each.path);
    CAPTURE(each.body.substr(0, 60));
    CHECK(sim.exchanges[id].status == each.status);
    CHECK(ErrorOf(sim.exchanges[id])["outcome"] == "not_run");
  }
  const auto long_key =
      sim.Send(0, "POST", "/s/orders", "x", std::string(256, 'k'));
  CHECK(sim.exchanges[long_key].status == 400);
  CHECK(sim.runs_of_request.empty());
}

// A leader that failed right after a crash took the evidence with it.
TEST_CASE("crashes are reported again to a new leader") {
  world sim(1, 1, 4);
  sim.on_run = [&](const std::string& agent, const wire::submit&) {
    sim.At(1, [&sim, agent] { sim.Crash(agent, 500'000); });
  };
  sim.Send(0, "POST", "/v1/chat/completions",
           R"({"model":"m","messages":[{"role":"system","content":"s"},)"
           R"({"role":"user","content":"u"}]})");
  sim.RunFor(300'000);
  const auto reports = [&] {
    std::vector<wire::crash_reports> sent;
    for (const wire::control_message& message : sim.to_control) {
      if (const auto* one = std::get_if<wire::crash_reports>(&message)) {
        sent.push_back(*one);
      }
    }
    return sent;
  };
  const std::vector<wire::crash_reports> first = reports();
  REQUIRE(!first.empty());

  SUBCASE("as the same crashes, with their age") {
    sim.Feed(0, control_opened{});
    REQUIRE(reports().size() == first.size() + 1);
    const wire::crash_reports again = reports().back();
    REQUIRE(again.crashes.size() == first.size());
    CHECK(again.crashes[0].id == first[0].crashes[0].id);
    CHECK(again.crashes[0].suspects == first[0].crashes[0].suspects);
    CHECK(again.crashes[0].age_ms > 0);
  }
  SUBCASE("without the messages that were answered since") {
    REQUIRE(first[0].crashes[0].suspects[0].parts.size() == 1);
    sim.on_run = nullptr;
    sim.RunFor(1'000'000);
    sim.Send(0, "POST", "/v1/chat/completions",
             R"({"model":"m","messages":[{"role":"system","content":"s"},)"
             R"({"role":"user","content":"other"}]})");
    sim.RunFor(3'000'000);
    sim.Feed(0, control_opened{});
    REQUIRE(reports().size() == first.size() + 1);
    CHECK(reports().back().crashes[0].suspects[0].parts.empty());
  }
  SUBCASE("but not once they are old") {
    sim.RunFor(100'000'000);
    const std::size_t sent = reports().size();
    sim.RunFor(100'000'000);
    sim.Feed(0, control_opened{});
    CHECK(reports().size() == sent);
  }
}

}  // namespace wisteriaroute::entry_test
