#include <doctest/doctest.h>
#include <signal.h>

#include <string>

#include "tests/process/gateway_process_harness.h"

namespace wisteriaroute::testing {
namespace {

const std::string kSharedPart = "5e55";
constexpr int kCrashesBeforeTheBound = 5;
// Requests that may still reach servers when the bound is in force.
constexpr int kMaxLaterRuns = 3;
constexpr int kLaterRequests = 8;
constexpr int kMaxRequests = 30;
// The time that the system has to react to the fifth crash.
constexpr base::time_us kReactionUs = 3'000'000;
constexpr base::time_us kBetweenRequestsUs = 1'200'000;

/** Sends prompts of which no two are alike to gateways in turn, and restarts
 * servers that have crashed. */
struct prompt_sender {
  gateway_system system;
  int sent = 0;
  int crashes = 0;

  std::shared_ptr<call> Send(const std::string& shared_parts) {
    const std::string number = std::to_string(++sent);
    const auto answer = system.StartAndWait(
        static_cast<std::size_t>(sent % 2), "/draft/" + number, "r-" + number,
        {{"X-Prompt-Parts", shared_parts + ",0" + number + ":250"},
         {"X-Events", "3"}},
        "prompt " + number);
    RestartServers();
    return answer;
  }
  std::shared_ptr<call> SendSound() { return Send(kSharedPart + ":800"); }
  std::shared_ptr<call> SendCrashing() {
    return Send(kSharedPart + ":800," + kCrashPart + ":90");
  }

  void RestartServers() {
    system.RunFor(20'000);
    for (const char* server : {"desk-a", "desk-b", "desk-c"}) {
      if (!system.IsRunning(server)) {
        ++crashes;
        system.StartProcess(server);
      }
    }
  }
  /** Whether both gateways serve sound prompts again. */
  bool Recovers() {
    for (int i = 0; i < 20; ++i) {
      if (SendSound()->status == 200 && SendSound()->status == 200) {
        return true;
      }
      system.RunFor(300'000);
    }
    return false;
  }
};

}  // namespace

// Requests with a common part, no two alike, crashed server after server.
TEST_CASE("prompts that share a part which crashes servers") {
  prompt_sender prompts;
  prompts.system.PublishAndWait();
  REQUIRE(prompts.Recovers());
  for (int i = 0; i < kMaxRequests && prompts.crashes < kCrashesBeforeTheBound;
       ++i) {
    prompts.SendCrashing();
    prompts.system.RunFor(kBetweenRequestsUs);
  }
  prompts.system.RunFor(kReactionUs);
  const int crashes_before = prompts.crashes;

  SUBCASE("no longer reach servers, through any gateway") {
    for (int i = 0; i < kLaterRequests; ++i) {
      CHECK(prompts.Recovers());
      CHECK(prompts.SendCrashing()->status == 503);
    }
    CHECK(prompts.crashes - crashes_before <= kMaxLaterRuns);
  }

  SUBCASE("also not through a gateway that has restarted") {
    prompts.system.SignalAndWait("gateway-0", SIGKILL);
    prompts.system.StartProcess("gateway-0");
    CHECK(prompts.Recovers());
    for (int i = 0; i < kLaterRequests; ++i) {
      prompts.SendCrashing();
    }
    CHECK(prompts.crashes - crashes_before <= kMaxLaterRuns);
  }

  SUBCASE("leave sound prompts of the same caller and beginning served") {
    REQUIRE(prompts.Recovers());
    int served = 0;
    for (int i = 0; i < kLaterRequests; ++i) {
      prompts.SendCrashing();
      served += prompts.SendSound()->status == 200 ? 1 : 0;
    }
    CHECK(served == kLaterRequests);
  }
}

}  // namespace wisteriaroute::testing
