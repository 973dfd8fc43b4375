#include "protocol/native_protocol.h"

#include <doctest/doctest.h>

#include <string>

#include "protocol/protocol.h"

namespace wisteriaroute::protocol {
namespace {

const std::string kReport =
    R"({"service":"desk","address":"10.0.0.9:80","data_center":"z","slots":4,"leaving":false,"started_ms":5,"sequence":4})";

control::api_call Decode(std::string method,
                         std::string path,
                         std::string body) {
  return native_protocol().DecodeControlCall({.method = std::move(method),
                                              .path = std::move(path),
                                              .body = std::move(body)});
}

TEST_CASE("requests to control are decoded") {
  SUBCASE("a report of a server") {
    const auto call = Decode("PUT", "/v1/servers/desk-a", kReport);
    const auto* report = std::get_if<wire::report_server>(&call);
    REQUIRE(report != nullptr);
    CHECK(report->info.name == "desk-a");
    CHECK(report->info.incarnation == 5);
    CHECK(report->info.backend.slots == 4);
    CHECK(report->sequence == 4);
    CHECK_FALSE(report->gone);
  }

  SUBCASE("a report that a server is gone") {
    const auto call =
        Decode("DELETE", "/v1/servers/desk-a", R"({"started_ms":5})");
    const auto* report = std::get_if<wire::report_server>(&call);
    REQUIRE(report != nullptr);
    CHECK(report->gone);
  }

  SUBCASE("a traffic set, published under its version") {
    const auto call = Decode("PUT", "/v1/traffic", "version = 4\n");
    const auto* document = std::get_if<wire::publish_document>(&call);
    REQUIRE(document != nullptr);
    CHECK(document->version == 4);
  }

  SUBCASE("the start and the end of an evacuation") {
    for (const char* method : {"PUT", "DELETE"}) {
      const auto call = Decode(method, "/v1/evacuations/east", "");
      const auto* order = std::get_if<wire::evacuation_order>(&call);
      REQUIRE(order != nullptr);
      CHECK(order->data_center == "east");
      CHECK(order->evacuated == (std::string(method) == "PUT"));
      const auto with_body = Decode(method, "/v1/evacuations/east", "x");
      REQUIRE(std::holds_alternative<control::api_refusal>(with_body));
      CHECK(std::get<control::api_refusal>(with_body).status == 400);
    }
    CHECK(std::holds_alternative<control::api_refusal>(
        Decode("PUT", "/v1/evacuations/", "")));
    CHECK(std::holds_alternative<control::api_refusal>(
        Decode("POST", "/v1/evacuations/east", "")));
  }

  SUBCASE("malformed requests are refused without a crash") {
    for (std::size_t size = 0; size < kReport.size(); ++size) {
      CHECK(std::holds_alternative<control::api_refusal>(
          Decode("PUT", "/v1/servers/desk-a", kReport.substr(0, size))));
    }
    for (const char* body : {"[]", "17", "\xff", R"({"started_ms":"x"})"}) {
      CHECK(std::holds_alternative<control::api_refusal>(
          Decode("PUT", "/v1/servers/desk-a", body)));
    }
    CHECK(std::holds_alternative<control::api_refusal>(
        Decode("PUT", "/v1/servers/", kReport)));
    CHECK(std::holds_alternative<control::api_refusal>(
        Decode("PUT", "/v1/traffic", "version")));
    CHECK(std::holds_alternative<control::api_refusal>(
        Decode("POST", "/v1/traffic", "version = 4")));
  }
}

TEST_CASE("a protocol is selected by name") {
  CHECK(std::holds_alternative<native_protocol>(Select("native")));
  CHECK(Headers(Select("platform")).request_id !=
        Headers(Select("native")).request_id);
  CHECK_THROWS(Select("other"));
}

}  // namespace
}  // namespace wisteriaroute::protocol
