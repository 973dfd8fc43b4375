#include <doctest/doctest.h>

#include <csignal>
#include <fstream>

#include <nlohmann/json.hpp>

#include "tests/process/agent_process_harness.h"

namespace wisteriaroute::testing {
namespace {

constexpr base::time_us kOutOfRotationUs = 2'000'000;
constexpr const char* kService = "service = \"desk\"\n";
constexpr const char* kGroup = "group = \"chat\"\nrank = 3\n";

wire::submit MakeCompletion(agent_harness& harness,
                            const std::string& prompt,
                            int tokens) {
  wire::submit work = harness.MakeSubmit(wire::work_kind::kCompletion);
  work.body = nlohmann::json{{"prompt", prompt}, {"max_tokens", tokens}}.dump();
  return work;
}

template <typename Message>
std::vector<Message> ReceivedFromAgent(const agent_harness& harness) {
  std::vector<Message> found;
  for (const wire::control_message& message : harness.control_received) {
    if (const auto* match = std::get_if<Message>(&message)) {
      found.push_back(*match);
    }
  }
  return found;
}

TEST_CASE("an agent with a plain service") {
  child_process backend("wisteriaroute-standin", {"--mode=plain"});
  agent_harness harness(backend.address(), kService);
  REQUIRE(harness.WaitUntilReady());
  wire::submit work = harness.MakeSubmit(wire::work_kind::kPlain);
  work.claimed = true;
  work.body = "seat 12";
  work.headers = {{"Idempotency-Key", "k1"}};

  SUBCASE("executes a call once, however often it is submitted") {
    harness.Send(work);
    harness.Send(work);
    REQUIRE(harness.RunUntil(
        [&] { return harness.Attempt(work.attempt).finished; }));
    harness.Send(work);
    harness.RunFor(100'000);
    CHECK(harness.Attempt(work.attempt).status == 201);
    const auto list =
        nlohmann::json::parse(harness.CallBackend("GET", "/bookings"));
    CHECK(list["count"] == 1);
    CHECK(list["bookings"][0]["attempt_id"] == base::ToString(work.attempt));
  }

  SUBCASE("doesn't resend a call whose connection was closed") {
    harness.CallBackend("POST", "/faults", R"({"drop_after": 1})");
    harness.Send(work);
    REQUIRE(harness.RunUntil(
        [&] { return !harness.Attempt(work.attempt).failures.empty(); }));
    CHECK(harness.Attempt(work.attempt).failures[0].ran !=
          wire::outcome::kNotRun);
    CHECK(harness.Attempt(work.attempt).refusals.empty());
    const auto list =
        nlohmann::json::parse(harness.CallBackend("GET", "/bookings"));
    CHECK(list["count"] == 1);
  }

  SUBCASE("never runs an attempt that was queried before its submit") {
    harness.Send(wire::query{.attempt = work.attempt,
                             .backend_incarnation = work.backend_incarnation,
                             .window = work.window});
    harness.Send(work);
    REQUIRE(harness.RunUntil(
        [&] { return !harness.Attempt(work.attempt).refusals.empty(); }));
    CHECK(harness.Attempt(work.attempt).phases[0] ==
          wire::attempt_phase::kNeverRuns);
    const auto list =
        nlohmann::json::parse(harness.CallBackend("GET", "/bookings"));
    CHECK(list["count"] == 0);
  }

  SUBCASE("refuses work after its lease has expired") {
    harness.grants_lease = false;
    REQUIRE(harness.RunUntil([&] { return !harness.state().accepting; },
                             3'500'000));
    harness.Send(work);
    REQUIRE(harness.RunUntil(
        [&] { return !harness.Attempt(work.attempt).refusals.empty(); }));
    CHECK(harness.Attempt(work.attempt).refusals[0].reason ==
          wire::refusal_reason::kNoLease);
  }

  SUBCASE("finishes running calls and refuses new ones after SIGTERM") {
    harness.CallBackend("POST", "/faults", R"({"delay_ms": 500})");
    harness.Send(work);
    harness.RunFor(100'000);
    harness.agent().Signal(SIGTERM);
    REQUIRE(harness.RunUntil([&] { return harness.state().leaving; }));
    const wire::submit late = harness.MakeSubmit(wire::work_kind::kPlain);
    harness.Send(late);
    REQUIRE(harness.RunUntil(
        [&] { return harness.Attempt(work.attempt).finished; }));
    CHECK(harness.Attempt(work.attempt).status == 201);
    REQUIRE(harness.Attempt(late.attempt).refusals.size() == 1);
    CHECK(harness.Attempt(late.attempt).refusals[0].reason ==
          wire::refusal_reason::kLeaving);
    CHECK(harness.agent().Wait() == 0);
  }
}

double ResidentKib(int pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (status >> word && word != "VmRSS:") {
  }
  double kib = 0;
  status >> kib;
  return kib;
}

TEST_CASE("an agent with an engine") {
  auto backend = std::make_unique<child_process>(
      "wisteriaroute-standin",
      std::vector<std::string>{"--mode=engine", "--step_time_us=5000",
                               "--crash_marker=boom"});
  agent_harness harness(backend->address(), kGroup);
  REQUIRE(harness.WaitUntilReady());

  SUBCASE("streams tokens without gaps") {
    const wire::submit work = MakeCompletion(harness, "a prompt", 40);
    harness.Send(work);
    REQUIRE(harness.RunUntil(
        [&] { return harness.Attempt(work.attempt).finished; }));
    CHECK(harness.Attempt(work.attempt).end_offset == 40);
    CHECK_FALSE(harness.Attempt(work.attempt).gap);

    // A resumed stream continues with the same tokens.
    wire::submit rest = MakeCompletion(harness, "a prompt", 40);
    rest.resume_offset = 30;
    harness.Attempt(rest.attempt).end_offset = 30;
    harness.Send(rest);
    REQUIRE(harness.RunUntil(
        [&] { return harness.Attempt(rest.attempt).finished; }));
    CHECK_FALSE(harness.Attempt(rest.attempt).gap);
    CHECK(harness.Attempt(work.attempt)
              .text.ends_with(harness.Attempt(rest.attempt).text));
  }

#ifndef __SANITIZE_ADDRESS__
  SUBCASE("uses less than 16 MiB of memory while it is idle") {
    harness.RunFor(4'000'000);
    const double resident = ResidentKib(harness.agent().pid());
    MESSAGE("resident KiB with two links: ", resident);
    CHECK(resident < 16 * 1024);
  }
#endif

  SUBCASE("reopens a stream that went silent") {
    harness.CallBackend("POST", "/faults", R"({"silent_streams": 1})");
    const wire::submit work = MakeCompletion(harness, "a prompt", 40);
    harness.Send(work);
    REQUIRE(harness.RunUntil(
        [&] { return harness.Attempt(work.attempt).finished; }, 4'000'000));
    CHECK(harness.Attempt(work.attempt).end_offset == 40);
    CHECK_FALSE(harness.Attempt(work.attempt).gap);
  }

  SUBCASE("reports a malformed stream as failed and accepts the next one") {
    harness.CallBackend("POST", "/faults", R"({"malformed_streams": 1})");
    const wire::submit work = MakeCompletion(harness, "a prompt", 40);
    harness.Send(work);
    REQUIRE(harness.RunUntil(
        [&] { return !harness.Attempt(work.attempt).failures.empty(); }));
    CHECK(harness.Attempt(work.attempt).failures[0].reason ==
          wire::failure_reason::kBackendError);
    const wire::submit next = MakeCompletion(harness, "a prompt", 4);
    harness.Send(next);
    CHECK(harness.RunUntil(
        [&] { return harness.Attempt(next.attempt).finished; }));
  }

  // Guards against attempts that are reported as suspects only because they ran
  // while the agent was paused.
  SUBCASE("doesn't treat its own pause as a loss of the server") {
    const std::uint64_t before = harness.state().backend_incarnation;
    const wire::submit work = MakeCompletion(harness, "a prompt", 2'000);
    harness.Send(work);
    REQUIRE(harness.RunUntil(
        [&] { return harness.Attempt(work.attempt).end_offset > 3; }));
    harness.agent().Signal(SIGSTOP);
    harness.RunFor(2'500'000);
    harness.agent().Signal(SIGCONT);
    REQUIRE(harness.WaitUntilReady());
    harness.RunFor(1'000'000);
    CHECK(harness.state().backend_incarnation == before);
    CHECK(ReceivedFromAgent<wire::suspect_report>(harness).empty());
  }

  SUBCASE("takes a frozen server out of rotation") {
    const std::uint64_t before = harness.state().backend_incarnation;
    backend->Signal(SIGSTOP);
    CHECK(harness.RunUntil([&] { return !harness.state().accepting; },
                           kOutOfRotationUs));
    backend->Signal(SIGCONT);
    REQUIRE(harness.WaitUntilReady());
    CHECK(harness.state().backend_incarnation != before);
  }

  SUBCASE("takes a dead server out of rotation and names the suspects") {
    const std::uint64_t lost = harness.state().backend_incarnation;
    const wire::submit beside = MakeCompletion(harness, "beside", 100'000);
    harness.Send(beside);
    REQUIRE(harness.RunUntil(
        [&] { return harness.Attempt(beside.attempt).end_offset > 3; }));
    const wire::submit culprit = MakeCompletion(harness, "boom", 10);
    harness.Send(culprit);
    REQUIRE(harness.RunUntil([&] { return !harness.state().healthy; },
                             kOutOfRotationUs));
    REQUIRE(harness.RunUntil([&] {
      return !harness.Attempt(beside.attempt).failures.empty() &&
             !harness.Attempt(culprit.attempt).failures.empty() &&
             !ReceivedFromAgent<wire::suspect_report>(harness).empty();
    }));
    const wire::failed failure = harness.Attempt(beside.attempt).failures[0];
    CHECK(failure.reason == wire::failure_reason::kBackendLost);
    CHECK(failure.ran_beside.size() == 2);
    const wire::suspect_report report =
        ReceivedFromAgent<wire::suspect_report>(harness)[0];
    CHECK(report.backend_incarnation == lost);
    CHECK(report.running.size() == 2);

    // A new server process starts at the same address.
    const std::string address = backend->address();
    backend.reset();
    backend = std::make_unique<child_process>(
        "wisteriaroute-standin",
        std::vector<std::string>{"--listen=" + address});
    REQUIRE(harness.WaitUntilReady());
    CHECK(harness.state().backend_incarnation != lost);
  }

  SUBCASE("forwards orders with fencing and reports the rank's state") {
    wire::order form{.order_id = 1,
                     .fencing = {.term = 1, .index = 11},
                     .kind = wire::order_kind::kFormGroup,
                     .group = "chat",
                     .generation = 1,
                     .epoch = 1};
    harness.SendControl(form);
    harness.SendControl(form);
    REQUIRE(harness.RunUntil([&] {
      return ReceivedFromAgent<wire::order_result>(harness).size() >= 1 &&
             !ReceivedFromAgent<wire::group_report>(harness).empty() &&
             ReceivedFromAgent<wire::group_report>(harness).back().generation ==
                 1;
    }));
    CHECK(ReceivedFromAgent<wire::order_result>(harness)[0].result ==
          wire::order_status::kDone);
    CHECK(ReceivedFromAgent<wire::group_report>(harness).back().rank == 3);
    harness.SendControl(wire::order{.order_id = 2,
                                    .fencing = {.term = 1, .index = 9},
                                    .kind = wire::order_kind::kFormGroup,
                                    .generation = 2});
    REQUIRE(harness.RunUntil([&] {
      return ReceivedFromAgent<wire::order_result>(harness).size() >= 2;
    }));
    CHECK(ReceivedFromAgent<wire::order_result>(harness).back().result ==
          wire::order_status::kFenced);
    const auto group =
        nlohmann::json::parse(harness.CallBackend("GET", "/group"));
    CHECK(group["orders_applied"] == 1);
    CHECK(group["generation"] == 1);
  }
}

}  // namespace
}  // namespace wisteriaroute::testing
