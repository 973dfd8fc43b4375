#include <doctest/doctest.h>

#include <string>

#include "libwisteriaroute/control/replica.h"
#include "platform/configuration.h"
#include "platform/control_calls.h"
#include "platform/names.h"
#include "platform/ranks.h"

namespace wisteriaroute::platform {
namespace {

const std::string kConfiguration =
    R"({"version":7,"routes":[{"name":"r","hostname":"a.example","path_prefix":"/x/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":500,"priority":1,"weighted_backends":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_attempts":2,"public":false,"stream_resume":true,"gap_aim_ms":120}],"services":[{"name":"s","health_path":"/health","max_connections":358,"engine":{"slots":12,"stride":4,"sets":3,"experts":96,"places":11,"spare":4}},{"name":"t"}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"w","api_keys":["k1","k2"],"priority":1}]})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != text.npos);
  return text.replace(at, from.size(), to);
}

bool IsAccepted(const std::string& body) {
  base::findings findings;
  const bool accepted = DecodeConfiguration(body, findings).has_value();
  CHECK(accepted == findings.empty());
  return accepted;
}

TEST_CASE("a configuration is accepted as a whole or refused") {
  SUBCASE("its fields are translated to a traffic set") {
    base::findings findings;
    const auto set = DecodeConfiguration(kConfiguration, findings);
    REQUIRE(set);
    CHECK(set->version == 7);
    const config::route& route = set->routes.at(0);
    CHECK(route.host == "a.example");
    CHECK(route.streams);
    CHECK(route.resumable);
    CHECK(route.repeats == config::repetition::kRepeatable);
    CHECK(route.gap_objective_ms == 120);
    CHECK(route.targets.at(0).weight == 90);
    CHECK(set->services.at(0).engine->expert_slots == 11);
    CHECK(set->limits.idle_timeout_ms == 15'000);
    CHECK(set->workspaces.at(0).key_digests.at(1) == base::Digest128("k2"));
    const config::traffic_index index(*set);
    CHECK(index.FindRoute("a.example", "/x/y/z")->name == "r");
    CHECK(index.FindRoute("a.example", "/xy") == nullptr);
    CHECK(index.FindRoute("b.example", "/x/y") == nullptr);
    // The case of a host name has no meaning (RFC 9110, section 4.2.3), so
    // requests are looked up in lower case. A route whose host had a capital
    // was never found.
    const config::traffic_index capitals(*DecodeConfiguration(
        Replaced(kConfiguration, "a.example", "Clinic.EXAMPLE"), findings));
    CHECK(capitals.FindRoute("clinic.example", "/x/y") != nullptr);
    CHECK(capitals.FindRoute("Clinic.EXAMPLE", "/x/y") != nullptr);
  }

  SUBCASE("it is refused without a crash wherever it is truncated") {
    for (std::size_t size = 0; size < kConfiguration.size(); ++size) {
      CHECK_FALSE(IsAccepted(kConfiguration.substr(0, size)));
    }
  }

  SUBCASE("fields of cold servers may be fractions, and odd ones are refused") {
    const auto with = [](const std::string& fields) {
      return Replaced(kConfiguration, R"("health_path":"/health",)",
                      R"("health_path":"/health",)" + fields);
    };
    base::findings findings;
    const auto set = DecodeConfiguration(
        with(R"("warmup_s":7.5,"warmup_per_s":2.25,)"), findings);
    REQUIRE(set);
    CHECK(set->services.at(0).cold_s == 7.5);
    CHECK(set->services.at(0).cold_requests_per_s == 2.25);
    CHECK(set->services.at(1).cold_requests_per_s == 0);
    for (const char* value :
         {"-1", "-0.1", "1e300", "\"4\"", "[4]", "true", "{}"}) {
      CAPTURE(value);
      CHECK_FALSE(
          IsAccepted(with(R"("warmup_s":)" + std::string(value) + ",")));
      CHECK_FALSE(
          IsAccepted(with(R"("warmup_per_s":)" + std::string(value) + ",")));
    }
  }

  SUBCASE("contradictions are refused") {
    const auto with = [](const std::string& from, const std::string& to) {
      return Replaced(kConfiguration, from, to);
    };
    CHECK(IsAccepted(kConfiguration));
    CHECK_FALSE(IsAccepted(with(R"("service":"t")", R"("service":"u")")));
    CHECK_FALSE(IsAccepted(with(R"("weight":90},{"service":"t","weight":10)",
                                R"("weight":0},{"service":"t","weight":0)")));
    CHECK_FALSE(IsAccepted(with(R"("timeout_ms":8000)", R"("timeout_ms":0)")));
    CHECK_FALSE(IsAccepted(with(R"("version":7)", R"("version":"7")")));
    // A version below 0 was taken for the highest one, for good.
    for (const char* version : {"-1", "-0.5", "7.5", "1e300", "-1e300"}) {
      CAPTURE(version);
      CHECK_FALSE(IsAccepted(
          with(R"("version":7)", std::string(R"("version":)") + version)));
    }
    CHECK(IsAccepted(with(R"("version":7)", R"("version":7.0)")));
    CHECK_FALSE(IsAccepted(with(
        R"("tenants":[)", R"("tenants":[{"name":"v","api_keys":["k2"]},)")));
    CHECK_FALSE(IsAccepted(with(
        R"("routes":[)",
        R"("routes":[{"name":"q","hostname":"a.example","path_prefix":"/x/","route_type":"safe","timeout_ms":1,"service":"s"},)")));
    CHECK_FALSE(IsAccepted(with(
        R"("routes":[)",
        R"("routes":[{"name":"q","hostname":"A.example","path_prefix":"/x/","route_type":"safe","timeout_ms":1,"service":"s"},)")));
  }
}

net::http_server_request Call(std::string method,
                              std::string path,
                              std::string body) {
  return {.method = std::move(method),
          .path = std::move(path),
          .body = std::move(body)};
}

TEST_CASE("requests to control are decoded") {
  const std::string beat =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":12,"state":"ready","born":5,"sequence":4,"group":{"name":"g","rank":3}})";

  SUBCASE("a heartbeat of a server") {
    const auto call =
        DecodeControlCall(Call("POST", "/instances/i-1/heartbeat", beat));
    const auto* report = std::get_if<wire::report_server>(&call);
    REQUIRE(report != nullptr);
    CHECK(report->info.name == "i-1");
    CHECK(report->info.incarnation == 5);
    CHECK(report->info.data_center == "z");
    CHECK(report->sequence == 4);
    CHECK_FALSE(report->info.leaving);
    CHECK(report->info.backend.group == "g");
  }

  SUBCASE("malformed heartbeats are refused") {
    for (const std::string& bad :
         {std::string("{"), std::string("[]"), std::string("\xff\xfe"),
          Replaced(beat, R"("ready")", R"("resting")"),
          Replaced(beat, R"("10.0.0.9:80")", "17"),
          Replaced(beat, R"("s")", "null")}) {
      const auto call =
          DecodeControlCall(Call("POST", "/instances/i-1/heartbeat", bad));
      CHECK(std::holds_alternative<control::api_refusal>(call));
    }
  }

  SUBCASE("a leave request needs no body") {
    const auto call =
        DecodeControlCall(Call("POST", "/instances/i-1/leave", ""));
    REQUIRE(std::holds_alternative<wire::report_server>(call));
    CHECK(std::get<wire::report_server>(call).gone);
  }

  SUBCASE("a configuration, published under its version") {
    const auto call =
        DecodeControlCall(Call("POST", "/configuration/put", kConfiguration));
    REQUIRE(std::holds_alternative<wire::publish_document>(call));
    CHECK(std::get<wire::publish_document>(call).version == 7);
    CHECK(std::get<wire::publish_document>(call).body == kConfiguration);
  }

  // Guards against an order for another data centre than the one it names.
  SUBCASE("the orders to evacuate a data centre") {
    for (const bool starts : {true, false}) {
      const std::string path =
          std::string("/evacuations/z-1/") + (starts ? "start" : "end");
      const auto call = DecodeControlCall(Call("POST", path, ""));
      const auto* order = std::get_if<wire::evacuation_order>(&call);
      REQUIRE(order != nullptr);
      CHECK(order->data_center == "z-1");
      CHECK(order->evacuated == starts);
      const auto with_body = DecodeControlCall(Call("POST", path, "{}"));
      REQUIRE(std::holds_alternative<control::api_refusal>(with_body));
      CHECK(std::get<control::api_refusal>(with_body).status == 400);
    }
    for (const char* path :
         {"/evacuations/", "/evacuations/start", "/evacuations//start",
          "/evacuations/z", "/evacuations/z/stop", "/evacuations/z/y/end"}) {
      CAPTURE(path);
      const auto call = DecodeControlCall(Call("POST", path, ""));
      REQUIRE(std::holds_alternative<control::api_refusal>(call));
      CHECK(std::get<control::api_refusal>(call).status == 404);
    }
    const auto read = DecodeControlCall(Call("GET", "/evacuations/z/end", ""));
    REQUIRE(std::holds_alternative<control::api_refusal>(read));
    CHECK(std::get<control::api_refusal>(read).status == 404);
  }

  SUBCASE("an unknown path is refused with 404") {
    const auto call = DecodeControlCall(Call("GET", "/other", ""));
    REQUIRE(std::holds_alternative<control::api_refusal>(call));
    CHECK(std::get<control::api_refusal>(call).status == 404);
  }
}

TEST_CASE("HTTP headers of requests and responses") {
  const net::http_server_request request{
      .method = "POST",
      .path = "/x/y",
      .headers = {{"host", "A.example:80"},
                  {"wisteriaroute-request-id", "9c41"},
                  {"wisteriaroute-deadline-ms", "8000"},
                  {"wisteriaroute-token-usage", "1460,80"},
                  {"wisteriaroute-tenant", "forged"},
                  {"authorization", "Bearer secret"},
                  {"connection", "x-hop"},
                  {"x-hop", "1"},
                  {"x-kept", "2"}}};

  SUBCASE("request headers are decoded") {
    const gateway::caller_request read =
        gateway::DecodeRequest(kHeaders, request);
    CHECK(read.id == "9c41");
    CHECK(read.host == "a.example");
    CHECK(read.key == base::Digest128("secret"));
    CHECK(read.deadline_ms == 8'000);
    CHECK(read.prompt_tokens == 1'460);
    CHECK(read.max_output_tokens == 80);
    CHECK_FALSE(read.last_event_id);
  }

  SUBCASE(
      "neither the key nor headers reserved to the gateway reach the server") {
    const net::http_headers sent =
        gateway::AttemptHeaders(kHeaders, request,
                                {.deadline_ms = 70,
                                 .expected_server = "i-1",
                                 .workspace = "w",
                                 .last_event_id = 12});
    CHECK(net::FindHeader(sent, "authorization").empty());
    CHECK(net::FindHeader(sent, "x-hop").empty());
    CHECK(net::FindHeader(sent, "x-kept") == "2");
    CHECK(net::FindHeader(sent, "wisteriaroute-tenant") == "w");
    CHECK(net::FindHeader(sent, "wisteriaroute-deadline-ms") == "70");
    CHECK(net::FindHeader(sent, "wisteriaroute-expect-instance") == "i-1");
    CHECK(net::FindHeader(sent, "last-event-id") == "12");
    CHECK(net::FindHeader(sent, "wisteriaroute-request-id") == "9c41");
  }

  SUBCASE("response headers about the request are decoded") {
    const auto head =
        gateway::DecodeHead(kHeaders, 200,
                            {{"wisteriaroute-response-seal", "s"},
                             {"wisteriaroute-server-load", "3,1,8"},
                             {"content-type", "text/event-stream"},
                             {"keep-alive", "timeout=5"}});
    CHECK(head.sealed);
    CHECK(head.event_stream);
    CHECK_FALSE(head.not_run);
    CHECK(head.load->running == 3);
    CHECK(net::FindHeader(head.headers, "keep-alive").empty());
    CHECK(gateway::DecodeHead(kHeaders, 421, {}).not_run);
    CHECK(gateway::DecodeHead(kHeaders, 503,
                              {{"wisteriaroute-not-executed", "1"}})
              .not_run);
    CHECK_FALSE(gateway::DecodeHead(kHeaders, 503, {}).not_run);
    CHECK_FALSE(
        gateway::DecodeHead(kHeaders, 200, {{"wisteriaroute-server-load", "x"}})
            .load);
  }

  SUBCASE("response headers about the server's state are decoded") {
    const auto decode = [](unsigned status, const net::http_headers& headers) {
      return gateway::DecodeHead(kHeaders, status, headers);
    };
    CHECK(decode(200, {{"server-leaving", "1"}}).leaving);
    CHECK(decode(503, {{"server-leaving", "1"}}).leaving);
    CHECK_FALSE(decode(200, {{"server-leaving", "0"}}).leaving);
    CHECK_FALSE(decode(200, {}).leaving);

    CHECK(decode(503, {{"retry-after", "2"}}).pause_ms == 2'000);
    CHECK(decode(503, {{"retry-after", "0.25"}}).pause_ms == 250);
    CHECK(decode(503, {{"retry-after", "600"}}).pause_ms == 600'000);
    CHECK_FALSE(decode(503, {}).pause_unreadable);
    for (const char* status_of_the_request : {"1", "x"}) {
      const auto head = decode(429, {{"retry-after", status_of_the_request}});
      CHECK_FALSE(head.pause_ms);
      CHECK_FALSE(head.pause_unreadable);
    }
    for (const char* nonsense :
         {"", "-1", "1e9", "601", "99999999999999999999999999", "1 2", "2s",
          "inf", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
      CAPTURE(nonsense);
      const auto head = decode(503, {{"retry-after", nonsense}});
      CHECK_FALSE(head.pause_ms);
      CHECK(head.pause_unreadable);
    }
    const auto twice =
        decode(503, {{"retry-after", "1"}, {"retry-after", "2"}});
    CHECK_FALSE(twice.pause_ms);
    CHECK(twice.pause_unreadable);
  }
}

TEST_CASE("reports of ranks are decoded and orders to them are encoded") {
  const std::string report =
      R"({"group":{"name":"g","epoch":2,"rank":3,"state":"open"},"size":12,"step":92,"map":1,"prepared":2,"armed":{"version":2,"step":95},"held":95})";
  const auto status = DecodeRankStatus(report);
  REQUIRE(status);
  CHECK(status->formation == 2);
  CHECK(status->group_running);
  CHECK(status->armed_step == 95);
  CHECK(status->held_step == 95);
  CHECK(status->pace_permille == wire::kHealthyPace);
  // A rank whose pace can't be read is still reported.
  const auto pace = [&](const std::string& value) {
    const auto read = DecodeRankStatus(report.substr(0, report.size() - 1) +
                                       R"(,"pace":)" + value + "}");
    return read ? read->pace_permille : 0;
  };
  CHECK(pace("1.6") == 1'600);
  CHECK(pace("1e300") == 1'000'000);
  for (const char* odd : {"null", "\"x\"", "0", "-2", "{}"}) {
    CHECK(pace(odd) == wire::kHealthyPace);
  }
  CHECK_FALSE(DecodeRankStatus("{}"));
  CHECK_FALSE(DecodeRankStatus("not JSON"));
  CHECK(DecodeExpertCounts(R"({"epoch":1,"counts":[1,2]})")->totals.size() ==
        2);
  CHECK(DecodeExpertCounts(R"({"epoch":1,"step":7,"counts":[1]})")->step == 7);
  CHECK_FALSE(DecodeExpertCounts(R"({"epoch":1,"counts":"x"})"));
  CHECK(DecodeExpertLists(
            R"({"epoch":1,"map":{"version":0,"experts":[[1],[2]]}})")
            ->experts.size() == 2);
  CHECK(
      EncodeRankOrder({.kind = wire::rank_order_kind::kArm,
                       .term = 4,
                       .formation = 2,
                       .version = 9,
                       .step = 95}) ==
      R"({"epoch":2,"fencing_token":4,"operation":"arm","step":95,"version":9})");
  CHECK(control::ReadShapes(DecodeConfiguration, kConfiguration)
            .at("s")
            .experts == 96);
  CHECK(control::ReadShapes(DecodeConfiguration, "not JSON").empty());
}

}  // namespace
}  // namespace wisteriaroute::platform
