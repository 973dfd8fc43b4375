#include "libwisteriaroute/gateway/http_codec.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace wisteriaroute::gateway {
namespace {

net::http_server_request Request(const std::string& parts,
                                 const std::string& body = "b") {
  return {.method = "POST",
          .path = "/draft/1",
          .headers = {{"authorization", "Bearer k"}, {"x-prompt-parts", parts}},
          .body = body};
}

std::vector<std::string> SharedParts(const std::string& parts) {
  std::vector<std::string> ids;
  for (const prompt_part& part :
       DecodeRequest(kNativeHeaders, Request(parts)).shared_parts) {
    ids.push_back(part.id);
  }
  return ids;
}

// Guards against an odd value that counts as 0 (warm) or overflows.
TEST_CASE("an answer may say how long its server stays cold") {
  const auto left_ms = [](const std::string& value) {
    return DecodeHead(kNativeHeaders, 200, {{"x-cold-left-ms", value}})
        .cold_left_ms;
  };
  CHECK(left_ms("0") == 0);
  CHECK(left_ms("1200.5") == 1'201);
  for (const char* odd : {"", "-1", "nan", "inf", "1e300", "86400001", "4 s"}) {
    CAPTURE(odd);
    CHECK_FALSE(left_ms(odd).has_value());
  }
}

}  // namespace

TEST_CASE("the shared parts of a prompt are all but the last one") {
  using ids = std::vector<std::string>;
  CHECK(SharedParts("5c1e:800,91BD:410,e4:250") == ids{"5c1e", "91bd"});
  CHECK(SharedParts("5c1e:800").empty());
  CHECK(SharedParts("").empty());
  SUBCASE("and have the same digest in any request") {
    const auto digest = [](const std::string& parts, std::size_t index) {
      return DecodeRequest(kNativeHeaders, Request(parts))
          .shared_parts.at(index)
          .digest;
    };
    CHECK(digest("a:1,b:2,c:3", 1) == digest("b:7,d:1", 0));
    CHECK(digest("a:1,b:2,c:3", 0) != digest("a:1,b:2,c:3", 1));
  }
  SUBCASE("and an unreadable list counts as none") {
    CHECK(SharedParts("a:1,,b:2").empty());
    CHECK(SharedParts(std::string(100, 'a') + ":1,b:2").empty());
  }
  SUBCASE("and their number is bounded") {
    std::string many;
    for (int i = 0; i < 1'000; ++i) {
      many += std::to_string(i) + ":1,";
    }
    CHECK(SharedParts(many + "z:1").size() == 16);
  }
}

TEST_CASE("resends of a request have the same digest, other requests don't") {
  const auto digest = [](const net::http_server_request& request) {
    return DecodeRequest(kNativeHeaders, request).digest;
  };
  net::http_server_request request = Request("a:1,b:2");
  const base::digest128 first = digest(request);
  request.headers.emplace_back("x-request-id", "another");
  CHECK(digest(request) == first);
  SUBCASE("another body") {
    request.body = "c";
  }
  SUBCASE("another path") {
    request.path = "/draft/2";
  }
  SUBCASE("another caller") {
    request.headers[0].second = "Bearer l";
  }
  SUBCASE("a field that moves into the next one") {
    request.path = "/draft/";
    request.query = "1";
  }
  CHECK(digest(request) != first);
}

TEST_CASE("an answer without length and chunks ends with its connection") {
  const auto ends = [](const net::http_headers& headers) {
    return DecodeHead(kNativeHeaders, 200, headers).ends_with_connection;
  };
  CHECK(ends({{"content-type", "text/event-stream"}}));
  CHECK_FALSE(ends({{"content-length", "0"}}));
  CHECK_FALSE(ends({{"transfer-encoding", "chunked"}}));
}

}  // namespace wisteriaroute::gateway
