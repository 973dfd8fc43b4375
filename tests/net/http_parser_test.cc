// Guards against input outside of the body that a parser asks for without end:
// Beast limits neither chunk headers nor trailers, and its limit for the header
// doesn't hold for fields that arrive in certain pieces.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "libwisteriaroute/net/http_parser.h"

namespace wisteriaroute::net {
namespace {

constexpr std::size_t kHeaderBytes = 4'096;
constexpr std::size_t kBodyBytes = 4 * 1024 * 1024;
const std::string chunked_head =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

struct outcome {
  http_request_parser::feed_result last;
  /** Largest number of bytes that were kept unparsed. */
  std::size_t kept = 0;
  std::size_t sent = 0;
};

/** Feeds `prefix`, then `unit` repeatedly, in pieces, up to `bytes` or until
 * the parser fails or is done. */
outcome FeedPieces(http_request_parser& parser,
                   const std::string& prefix,
                   const std::string& unit,
                   std::size_t bytes,
                   std::size_t piece) {
  outcome result;
  std::string in;
  while (result.sent < bytes && !result.last.failed && !parser.is_done()) {
    for (std::size_t i = 0; i < piece && result.sent < bytes; ++i) {
      const std::size_t at = result.sent++;
      in += at < prefix.size() ? prefix[at]
                               : unit[(at - prefix.size()) % unit.size()];
    }
    result.last = parser.Feed(in);
    in.erase(0, result.last.consumed);
    result.kept = std::max(result.kept, in.size());
  }
  return result;
}

TEST_CASE("input outside of the body is limited, however it is split") {
  std::string prefix = chunked_head;
  std::string unit;
  unsigned status = 431;
  SUBCASE("trailers") {
    prefix += "4\r\nbody\r\n0\r\n";
    unit = "X-More: something\r\n";
  }
  SUBCASE("a chunk extension") {
    prefix += "4;name=";
    unit = "a";
  }
  SUBCASE("a chunk size") {
    unit = "0";
  }
  SUBCASE("a header line") {
    prefix = "POST / HTTP/1.1\r\nX-Long: ";
    unit = "a";
  }
  SUBCASE("header fields") {
    prefix = "POST / HTTP/1.1\r\nA";
    unit = ":b\r\nA";
  }
  SUBCASE("a request line") {
    prefix = "POST /";
    unit = "a";
  }
  SUBCASE("extensions of many chunks") {
    unit = "1;" + std::string(1'000, 'a') + "\r\nb\r\n";
    status = 400;
  }
  for (const std::size_t piece : {1, 2, 3, 5, 7, 64, 1'000}) {
    CAPTURE(piece);
    http_request_parser parser(kHeaderBytes, kBodyBytes);
    const outcome result = FeedPieces(parser, prefix, unit, 200'000, piece);
    CHECK(result.last.failed);
    CHECK(result.last.limit_status == status);
    CHECK(result.kept <= kHeaderBytes + piece);
    CHECK(result.sent < 100'000);
    CHECK(parser.headers.size() <= kHeaderBytes);
  }
}

TEST_CASE("a body of the largest size in chunks of one byte is received") {
  http_request_parser parser(kHeaderBytes, kBodyBytes);
  std::string unit;
  for (int i = 0; i < 1'024; ++i) {
    unit += "1\r\nx\r\n";
  }
  std::size_t chunks = 0;
  REQUIRE(parser.Feed(chunked_head).consumed == chunked_head.size());
  std::string in;
  for (; chunks < kBodyBytes; chunks += 1'024) {
    in += unit;
    const auto fed = parser.Feed(in);
    REQUIRE_FALSE(fed.failed);
    in.erase(0, fed.consumed);
  }
  in += "0\r\n\r\n";
  CHECK_FALSE(parser.Feed(in).failed);
  CHECK(parser.is_done());
  CHECK(parser.body.size() == kBodyBytes);
}

TEST_CASE("extensions and trailers within the limits may be split anywhere") {
  const std::string text =
      chunked_head + "4;a=b\r\nbody\r\n3\r\nend\r\n0;c\r\nX-Late: 1\r\n\r\n";
  for (std::size_t at = 1; at < text.size(); ++at) {
    CAPTURE(at);
    http_request_parser parser(kHeaderBytes, kBodyBytes);
    std::string in = text.substr(0, at);
    const auto first = parser.Feed(in);
    REQUIRE_FALSE(first.failed);
    in.erase(0, first.consumed);
    in += text.substr(at);
    REQUIRE_FALSE(parser.Feed(in).failed);
    CHECK(parser.is_done());
    CHECK(parser.body == "bodyend");
    // Trailers must not pass for headers.
    CHECK(FindHeader(parser.headers, "x-late").empty());
  }
}

TEST_CASE("a header just within its limit is accepted in any pieces") {
  const std::string first = "POST / HTTP/1.1\r\nX-Long: ";
  const std::string text =
      first + std::string(kHeaderBytes - first.size() - 4, 'a') + "\r\n\r\n";
  for (const std::size_t piece : {1, 2, 7, 1'000, 5'000}) {
    CAPTURE(piece);
    http_request_parser parser(kHeaderBytes, kBodyBytes);
    const outcome result = FeedPieces(parser, text, "x", text.size(), piece);
    CHECK_FALSE(result.last.failed);
    CHECK(parser.is_done());
  }
}

}  // namespace
}  // namespace wisteriaroute::net
