// Guards against incomplete or wrong responses after failures. A stream must
// continue without gaps or repeated tokens when its backend server or its agent
// is lost, when its entry stops in a planned way and when control is lost.

#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/process/demo_system.h"

namespace wisteriaroute::testing {
namespace {

constexpr int kTokens = 300;

/** Returns the agent that the request was last submitted to. */
std::string ServerOf(demo_system& system, const std::string& request_id) {
  const auto timeline = system.WrctlJson("timeline --request " + request_id);
  std::string server;
  for (const auto& event : timeline["events"]) {
    if (event["kind"] == "submitted") {
      server = event["server"];
    }
  }
  return server;
}

std::shared_ptr<call> StartStreamWithId(demo_system& system,
                                        const std::string& request_id,
                                        const std::string& prompt) {
  const nlohmann::json body = {
      {"model", "assistant"},
      {"stream", true},
      {"max_tokens", kTokens},
      {"messages", {{{"role", "user"}, {"content", prompt}}}}};
  return system.Start("POST", system.EntryUrl(0) + "/v1/chat/completions",
                      body.dump(), {{"X-Request-Id", request_id}});
}

TEST_CASE("a stream continues after the loss of a process on its path") {
  demo_system system;
  // All stand-ins generate the same tokens for the same prompt.
  const auto reference =
      StartStreamWithId(system, "undisturbed", "a long letter");
  REQUIRE(system.RunUntil([&] { return reference->done; }));
  REQUIRE(reference->StreamEnded());
  const std::string expected = reference->StreamText();
  REQUIRE(expected.size() > kTokens);

  const auto stream = StartStreamWithId(system, "disturbed", "a long letter");
  REQUIRE(system.RunUntil([&] { return stream->body.size() > 2'000; }));
  const std::string agent = ServerOf(system, "disturbed");
  REQUIRE(agent.starts_with("agent-"));
  const std::string standin = "standin-" + agent.substr(6);

  SUBCASE("when its backend server is killed") {
    system.Kill(standin);
  }
  SUBCASE("when its backend server is frozen") {
    system.Signal(standin, SIGSTOP);
  }
  SUBCASE("when its agent is killed") {
    system.Kill(agent);
  }
  SUBCASE("when its agent is frozen") {
    system.Signal(agent, SIGSTOP);
  }
  SUBCASE("when its agent is stopped in a planned way") {
    system.Signal(agent, SIGTERM);
  }
  SUBCASE("when its entry is stopped in a planned way") {
    system.Signal("entry-1", SIGTERM);
  }
  SUBCASE("when all of control is killed") {
    for (const std::string& name : system.ProcessNames("control-")) {
      system.Kill(name);
    }
  }
  REQUIRE(system.RunUntil([&] { return stream->done; }, 20'000'000));
  CHECK(stream->ok);
  CHECK(stream->StreamEnded());
  CHECK(stream->StreamText() == expected);
  system.Signal(agent, SIGCONT);
}

// The target is that entries stop sending to a dead server within 2 s. Requests
// after that must succeed, and none in between may fail either.
TEST_CASE("no order fails when a backend server dies") {
  demo_system system;
  std::vector<std::shared_ptr<call>> calls;
  system.Kill("standin-orders-2");
  for (int i = 0; i < 30; ++i) {
    calls.push_back(system.StartOrder(static_cast<std::size_t>(i % 2),
                                      "dead-" + std::to_string(i), "{}"));
    system.RunFor(100'000);
  }
  REQUIRE(system.RunUntil([&] {
    return std::all_of(calls.begin(), calls.end(),
                       [](const auto& each) { return each->done; });
  }));
  int failed = 0;
  for (const auto& each : calls) {
    failed += each->status == 201 ? 0 : 1;
    if (each->started_us > calls[0]->started_us + 2'000'000) {
      CHECK(each->status == 201);
    }
    if (each->status != 201) {
      MESSAGE("status ", each->status, " ", each->body);
      CHECK(each->Outcome() != "");
    }
  }
  CHECK(failed == 0);
}

}  // namespace
}  // namespace wisteriaroute::testing
