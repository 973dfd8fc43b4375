#include <doctest/doctest.h>

#include <string>

#include "libwisteriaroute/net/http_parser.h"

namespace wisteriaroute::net {
namespace {

constexpr std::size_t kHeaderBytes = 16 * 1024;

// Guards against a caller that sends header fields without end: the limit of
// the header has to apply to all of it, not to the part that wasn't consumed
// yet.
TEST_CASE("a header above its limit fails however it arrives") {
  std::string piece;
  SUBCASE("in pieces that end with a field") {
    piece = "x: 1234567890\r\n";
  }
  // The parser keeps such an end without noting how far it has looked, and then
  // begins to count anew.
  SUBCASE("in pieces that end after the first byte of a field") {
    piece = ": 1234567890\r\nx";
  }
  http_request_parser parser(kHeaderBytes, 1'000);
  std::string in = "GET / HTTP/1.1\r\nx";
  in += piece.starts_with('x') ? ": y\r\n" : "";
  std::size_t fed = 0;
  bool failed = false;
  while (fed < 2 * kHeaderBytes && !failed) {
    const auto result = parser.Feed(in);
    in.erase(0, result.consumed);
    in += piece;
    fed += piece.size();
    failed = result.failed;
  }
  CHECK(failed);
}

}  // namespace
}  // namespace wisteriaroute::net
