#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "libwisteriaroute/entry/idempotency_key.h"
#include "tests/entry/world.h"

namespace wisteriaroute::entry_test {

namespace {

constexpr const char* kBody = R"({"model":"m","prompt":"hi"})";

std::string CodeOf(const exchange_record& record) {
  return nlohmann::json::parse(record.received)["error"]["code"];
}

std::string HeaderOf(const exchange_record& record, const std::string& name) {
  for (const auto& [key, value] : record.headers) {
    if (key == name) {
      return value;
    }
  }
  return "";
}

/** Applies a configuration with changed limits of the workspace. */
void Limit(world& sim, const std::function<void(config::object_set&)>& change) {
  config::object_set set = TestConfiguration();
  change(set);
  sim.Feed(0, configuration_applied{
                  std::make_shared<const config::object_set>(set), 2});
}

}  // namespace

TEST_CASE("only version 7 UUIDs contain a creation time") {
  // The example of RFC 9562, appendix A.6.
  CHECK(KeyCreatedMs("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") ==
        1'645'557'742'000);
  CHECK(KeyCreatedMs("017f22e2-79b0-7cc3-98c4-dc0c0c07398f") != 0);
  CHECK(KeyCreatedMs("017f22e2-79b0-4cc3-98c4-dc0c0c07398f") == 0);
  CHECK(KeyCreatedMs("017f22e2-79b0-7cc3-18c4-dc0c0c07398f") == 0);
  CHECK(KeyCreatedMs("017f22e2-79b0-7cc3-98c4-dc0c0c07398") == 0);
  CHECK(KeyCreatedMs("017f22e2x79b0-7cc3-98c4-dc0c0c07398f") == 0);
  CHECK(KeyCreatedMs("") == 0);
}

TEST_CASE("the limits of a workspace and of its parent are enforced") {
  world sim(1, 1, 2);
  SUBCASE("requests of a child count against its parent's concurrency") {
    Limit(sim, [](config::object_set& set) {
      set.workspaces["w"].parent = "p";
      set.workspaces["p"] = {.name = "p", .max_concurrency = 2};
    });
    const auto first = sim.Send(0, "POST", "/v1/completions", kBody);
    sim.Send(0, "POST", "/v1/completions", kBody);
    const auto third = sim.Send(0, "POST", "/v1/completions", kBody);
    CHECK(sim.exchanges[third].status == 429);
    CHECK(CodeOf(sim.exchanges[third]) == "concurrency_limit");
    CHECK(std::stoi(HeaderOf(sim.exchanges[third], "Retry-After")) >= 1);
    sim.RunFor(3'000'000);
    CHECK(sim.exchanges[first].status == 200);
    const auto later = sim.Send(0, "POST", "/v1/completions", kBody);
    sim.RunFor(3'000'000);
    CHECK(sim.exchanges[later].status == 200);
  }
  SUBCASE("the tokens per minute are refilled over time") {
    Limit(sim, [](config::object_set& set) {
      set.workspaces["w"].tokens_per_minute = 30;
    });
    const std::string prompt =
        R"({"model":"m","prompt":")" + std::string(100, 'x') + "\"}";
    const auto first = sim.Send(0, "POST", "/v1/completions", prompt);
    sim.RunFor(2'000'000);
    const auto second = sim.Send(0, "POST", "/v1/completions", prompt);
    CHECK(sim.exchanges[first].status == 200);
    CHECK(CodeOf(sim.exchanges[second]) == "token_limit");
    sim.RunFor(90'000'000);
    const auto third = sim.Send(0, "POST", "/v1/completions", prompt);
    sim.RunFor(3'000'000);
    CHECK(sim.exchanges[third].status == 200);
  }
}

TEST_CASE("a full queue refuses requests, and priority decides the order") {
  world sim(2, 1, 2);
  fake_agent& engine = sim.agents.at("agent-0");
  const std::uint64_t link = *engine.links.begin();
  std::vector<std::string> order;
  sim.on_run = [&](const std::string&, const wire::submit& work) {
    order.push_back(work.request_id);
  };
  // The engine reports that it is full, so that the requests are queued.
  engine.send(link, wire::load_report{.queued = 10, .running = 1, .slots = 1});
  sim.RunFor(10'000);
  sim.entries[0]->settings.max_queue = 2;
  const auto low = sim.Send(0, "POST", "/v1/completions", kBody, "",
                            {{"x-request-priority", "9"}});
  const auto high = sim.Send(0, "POST", "/v1/completions", kBody, "",
                             {{"x-request-priority", "4"}});
  const auto refused = sim.Send(0, "POST", "/v1/completions", kBody);
  CHECK(CodeOf(sim.exchanges[refused]) == "overloaded");
  CHECK(sim.exchanges[refused].status == 503);
  engine.send(link, wire::load_report{.slots = 8});
  sim.RunFor(3'000'000);
  CHECK(order == std::vector<std::string>{sim.exchanges[high].request_id,
                                          sim.exchanges[low].request_id});
}

TEST_CASE("a request that exceeds its deadline gets its true outcome") {
  world sim(3, 1, 2);
  SUBCASE("a queued request was not run") {
    fake_agent& engine = sim.agents.at("agent-0");
    engine.send(*engine.links.begin(),
                wire::load_report{.queued = 10, .running = 1, .slots = 1});
    sim.RunFor(10'000);
    const auto id = sim.Send(0, "POST", "/v1/completions", kBody, "",
                             {{"x-request-deadline-ms", "300"}});
    sim.RunFor(400'000);
    CHECK(sim.exchanges[id].status == 504);
    CHECK(sim.exchanges[id].received.find("not_run") != std::string::npos);
    sim.RunFor(1'000'000);
    CHECK(sim.runs_of_request.empty());
  }
  SUBCASE("a running request ran and is cancelled at the server") {
    // 12 tokens take at least 120 ms.
    std::string body;
    for (int i = 0; TokenCount(body) != 12; ++i) {
      body = R"({"model":"m","prompt":")" + std::to_string(i) + "\"}";
    }
    const auto id = sim.Send(0, "POST", "/v1/completions", body, "",
                             {{"x-request-deadline-ms", "60"}});
    sim.RunFor(400'000);
    CHECK(sim.exchanges[id].status == 504);
    CHECK(sim.exchanges[id].received.find("\"ran\"") != std::string::npos);
    const auto& runs = sim.agents.at("agent-0").runs;
    CHECK(runs.begin()->second.state == fake_agent::phase::kFailed);
  }
}

TEST_CASE("an entry without a lease accepts no new requests") {
  world sim(4, 1, 2);
  const auto running = sim.Send(0, "POST", "/v1/completions", kBody);
  sim.RunFor(5'000);
  sim.entries[0]->lease_until_us = sim.now();
  const auto ready = sim.Send(0, "GET", "/readyz", "");
  const auto late = sim.Send(0, "POST", "/v1/completions", kBody);
  const auto order = sim.Send(0, "POST", "/s/orders", "x", "key");
  sim.RunFor(3'000'000);
  CHECK(sim.exchanges[running].status == 200);
  CHECK(sim.exchanges[ready].status == 503);
  CHECK(sim.exchanges[late].received.find("not_run") != std::string::npos);
  // Another entry may have run a call with this key.
  CHECK(sim.exchanges[order].received.find("unknown") != std::string::npos);
}

TEST_CASE("on shutdown requests finish; new ones are refused after settle_ms") {
  world sim(5, 1, 2);
  sim.entries[0]->settings.settle_ms = 100;
  const auto running = sim.Send(0, "POST", "/v1/completions", kBody);
  sim.Feed(0, shutdown{});
  const auto ready = sim.Send(0, "GET", "/readyz", "");
  const auto settling = sim.Send(0, "POST", "/v1/completions", kBody);
  sim.RunFor(150'000);
  const auto refused = sim.Send(0, "POST", "/v1/completions", kBody);
  sim.RunFor(3'000'000);
  CHECK(sim.exchanges[ready].status == 503);
  CHECK(sim.exchanges[running].status == 200);
  CHECK(sim.exchanges[settling].status == 200);
  CHECK(CodeOf(sim.exchanges[refused]) == "stopping");
  CHECK(sim.entries[0]->stop_reported);
}

TEST_CASE("concurrent requests with the same key share one run") {
  world sim(6, 1, 2);
  const auto first = sim.Send(0, "POST", "/v1/completions", kBody, "k");
  const auto second = sim.Send(0, "POST", "/v1/completions", kBody, "k");
  const auto other = sim.Send(0, "POST", "/v1/completions",
                              R"({"model":"m","prompt":"b"})", "k");
  sim.RunFor(3'000'000);
  CHECK(sim.exchanges[first].received == sim.exchanges[second].received);
  CHECK(sim.exchanges[first].status == 200);
  CHECK(CodeOf(sim.exchanges[other]) == "key_reused");
  CHECK(sim.runs_of_body[kBody] == 1);
}

TEST_CASE("a silent stream gets keep-alive comments") {
  world sim(7, 1, 2);
  const std::string body =
      R"({"model":"m","stream":true,"messages":[{"role":"user","content":""}]})";
  const auto id = sim.Send(0, "POST", "/v1/chat/completions", body);
  // The agent's link is lost for longer than the comment period.
  sim.RunFor(1'000);
  sim.CutLink(0, "agent-0", 2'600'000);
  sim.RunFor(8'000'000);
  CHECK(sim.exchanges[id].received.starts_with(": waiting\n\n"));
  CHECK(sim.exchanges[id].received.ends_with("data: [DONE]\n\n"));
}

}  // namespace wisteriaroute::entry_test
