// Guards the path from the operator's files to the response to a caller. Starts
// the demo system and runs the operations that docs/OPERATING.md describes.

#include <doctest/doctest.h>

#include <string>

#include "tests/process/demo_system.h"

namespace wisteriaroute::testing {
namespace {

TEST_CASE("an operator runs a complete system") {
  demo_system system;

  // A generation request and an order are answered.
  const auto generation =
      system.Start("POST", system.EntryUrl(0) + "/v1/chat/completions",
                   R"({"model":"assistant","max_tokens":4,)"
                   R"("messages":[{"role":"user","content":"x"}]})");
  const net::http_headers order_headers = {{"Idempotency-Key", "k1"},
                                           {"X-Request-Id", "t-call"}};
  const auto first = system.Start(
      "POST", system.EntryUrl(0) + "/orders/bookings", "{}", order_headers);
  REQUIRE(system.RunUntil([&] { return generation->done && first->done; }));
  CHECK(generation->status == 200);
  CHECK(first->status == 201);

  // A resend through the other entry gets the recorded response.
  const auto resent = system.Start(
      "POST", system.EntryUrl(1) + "/orders/bookings", "{}", order_headers);
  REQUIRE(system.RunUntil([&] { return resent->done; }));
  CHECK(resent->status == 201);
  CHECK(resent->body == first->body);
  CHECK(system.CountBookingsWithKey("k1") == 1);

  // The timeline holds events of both the entry and the agent.
  const nlohmann::json timeline = system.WrctlJson("timeline --request t-call");
  std::string kinds;
  for (const nlohmann::json& event : timeline["events"]) {
    kinds += event["kind"].get<std::string>() + " ";
  }
  CHECK(kinds.find("attempt_started") != std::string::npos);
  CHECK(kinds.find("answered") != std::string::npos);
  CHECK(timeline["silent"].empty());

  // Publishing is a compare-and-set on the base revision; a resend of the same
  // operation gets the first result.
  const std::string publish =
      "publish " + system.ExamplePath("regie") + " --operation-id op-1 --base ";
  CHECK(system.Wrctl(publish + "1").status == 0);
  CHECK(system.Wrctl(publish + "1").output.find("as revision 2") !=
        std::string::npos);
  CHECK(system
            .Wrctl("publish " + system.ExamplePath("clearsight") +
                   " --operation-id op-1 --base 2")
            .status == 3);
  CHECK(system.Wrctl("publish " + system.ExamplePath("regie") + " --base 1")
            .status == 3);
  CHECK(system.Wrctl("status --wait --timeout-s 10").status == 0);
  CHECK(system.WrctlJson("status")["in_force"] == 2);

  // Drains, refused commands and the state of members and groups.
  CHECK(system.Wrctl("drain agent-orders-1").status == 0);
  CHECK(system.WrctlJson("members")["drained"] ==
        nlohmann::json::array({"agent-orders-1"}));
  CHECK(system.Wrctl("undrain agent-orders-1").status == 0);
  CHECK(system.Wrctl("rebalance no-such-group").status == 3);
  CHECK(system.Wrctl("members remove control-9").status == 3);
  CHECK(system.WrctlJson("groups")["groups"].size() == 3);
}

}  // namespace
}  // namespace wisteriaroute::testing
