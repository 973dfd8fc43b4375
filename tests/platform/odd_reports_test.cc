#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "platform/configuration.h"
#include "platform/control_calls.h"
#include "protocol/native_protocol.h"

// Reports come from other writers, too. An odd one names no server, and must
// neither end the process nor take effect.

namespace wisteriaroute::platform {
namespace {

constexpr std::size_t kDeep = 100'000;

bool IsRefused(const control::api_call& call) {
  return std::holds_alternative<control::api_refusal>(call);
}

control::api_call Heartbeat(const std::string& body,
                            const std::string& id = "i-1") {
  return DecodeControlCall({.method = "POST",
                            .path = "/instances/" + id + "/heartbeat",
                            .body = body});
}

control::api_call NativeReport(const std::string& body,
                               const std::string& id = "i-1") {
  return protocol::native_protocol().DecodeControlCall(
      {.method = "PUT", .path = "/v1/servers/" + id, .body = body});
}

/** A sound heartbeat with one field set to this JSON. */
std::string With(const std::string& field, const std::string& value) {
  std::vector<std::pair<std::string, std::string>> fields = {
      {"service", R"("desk")"},
      {"address", R"("10.0.0.9:80")"},
      {"zone", R"("z")"},
      {"version", R"("v1")"},
      {"slots", "4"},
      {"state", R"("ready")"},
      {"born", "1796435310095"},
      {"started_ms", "1796435310095"},
      {"sequence", "4"}};
  std::string body;
  bool found = false;
  for (auto& [name, content] : fields) {
    if (name == field) {
      content = value;
      found = true;
    }
    body += (body.empty() ? "{\"" : ",\"") + name + "\":" + content;
  }
  if (!found) {
    body += ",\"" + field + "\":" + value;
  }
  return body + "}";
}

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

TEST_CASE("an odd report of a server is refused") {
  REQUIRE_FALSE(IsRefused(Heartbeat(With("slots", "4"))));
  REQUIRE_FALSE(IsRefused(NativeReport(With("slots", "4"))));

  SUBCASE("because it is deeply nested") {
    for (const std::string& body :
         {Nested(kDeep), With("models", Nested(20'000)),
          With("note", Nested(20'000)), With("note", Nested(40)),
          std::string(kDeep, '['), std::string(kDeep, '{')}) {
      CHECK(IsRefused(Heartbeat(body)));
      CHECK(IsRefused(NativeReport(body)));
    }
  }

  SUBCASE("because it is too large") {
    const std::string body =
        With("note", '"' + std::string(100'000, 'x') + '"');
    CHECK(IsRefused(Heartbeat(body)));
    CHECK(IsRefused(NativeReport(body)));
  }

  SUBCASE("because a number is too large or of another type") {
    for (const char* field : {"slots", "born", "started_ms", "sequence"}) {
      for (const char* number :
           {"1e999", "1e300", "18446744073709551615", "18446744073709551616",
            "9007199254740994", "-1", "4.5", "\"4\"", "[4]", "true"}) {
        CAPTURE(field);
        CAPTURE(number);
        if (field != std::string_view("started_ms")) {
          CHECK(IsRefused(Heartbeat(With(field, number))));
        }
        if (field != std::string_view("born")) {
          CHECK(IsRefused(NativeReport(With(field, number))));
        }
      }
    }
  }

  // Guards against a time that overflows, or one that is taken for 0: the
  // server would count as warm.
  SUBCASE("because the time that it stays cold is odd") {
    for (const char* value :
         {"-1", "-0.5", "1e999", "1e300", "86400001", "9223372036854775808",
          "\"4\"", "[4]", "{}", "true"}) {
      CAPTURE(value);
      CHECK(IsRefused(Heartbeat(With("warmup_left_ms", value))));
      CHECK(IsRefused(NativeReport(With("cold_left_ms", value))));
    }
  }

  SUBCASE("because its port or IP is out of range") {
    for (const char* address :
         {"10.0.0.9:0", "10.0.0.9:00", "10.0.0.9:65536", "10.0.0.9:99999",
          "10.0.0.9:-1", "10.0.0.9:", "10.0.0.9", "10.0.0.999:80", ":80",
          "10.0.0.9:80/", "10.0.0.9: 80", "host:80", ""}) {
      CAPTURE(address);
      const std::string body =
          With("address", '"' + std::string(address) + '"');
      CHECK(IsRefused(Heartbeat(body)));
      CHECK(IsRefused(NativeReport(body)));
    }
  }

  SUBCASE("because a field has another type") {
    for (const char* field : {"service", "address", "zone", "state"}) {
      for (const char* value : {"7", "[]", "{}", "true"}) {
        CHECK(IsRefused(Heartbeat(With(field, value))));
      }
    }
    CHECK(IsRefused(Heartbeat(With("models", "{}"))));
    CHECK(IsRefused(Heartbeat(With("models", "[1]"))));
    CHECK(IsRefused(Heartbeat(With("group", "\"g\""))));
    CHECK(IsRefused(Heartbeat(With("group", R"({"name":"g","rank":-1})"))));
  }

  SUBCASE("because of its id") {
    for (const std::string& id :
         {std::string(), std::string(500, 'x'), std::string("a\tb")}) {
      CHECK(IsRefused(Heartbeat(With("slots", "4"), id)));
      CHECK(IsRefused(NativeReport(With("slots", "4"), id)));
    }
  }
}

TEST_CASE("a report says how long its server stays cold") {
  const auto left_ms = [](const control::api_call& call) {
    return std::get<wire::report_server>(call).info.cold_left_ms;
  };
  CHECK(left_ms(Heartbeat(With("warmup_left_ms", "0"))) == 0);
  CHECK(left_ms(Heartbeat(With("warmup_left_ms", "1200.5"))) == 1'201);
  CHECK(left_ms(Heartbeat(With("warmup_left_ms", "null"))) == std::nullopt);
  CHECK(left_ms(Heartbeat(With("slots", "4"))) == std::nullopt);
  CHECK(left_ms(NativeReport(With("cold_left_ms", "1200"))) == 1'200);
  CHECK(left_ms(NativeReport(With("slots", "4"))) == std::nullopt);
}

TEST_CASE("a deeply nested configuration is refused") {
  for (const std::string& body :
       {Nested(kDeep), R"({"version":1,"routes":)" + Nested(kDeep) + "}"}) {
    base::findings findings;
    CHECK_FALSE(DecodeConfiguration(body, findings));
    CHECK_FALSE(findings.empty());
  }
}

}  // namespace
}  // namespace wisteriaroute::platform
