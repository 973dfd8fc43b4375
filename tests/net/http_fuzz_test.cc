#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libwisteriaroute/gateway/event_framer.h"
#include "libwisteriaroute/net/http_parser.h"

namespace wisteriaroute::net {
namespace {

// Guards against input from callers and servers that crashes a parser, makes it
// collect more than it received, or is understood differently if it arrives in
// other pieces. Each case has a seed of its own, which is printed on failure.

constexpr std::uint64_t kFirstSeed = 20'261'206;
constexpr std::uint64_t kCases = 6'000;
// Above the size of each generated header; test cases of limits use others.
constexpr std::size_t kHeaderBytes = 64 * 1024;
constexpr std::size_t kBodyBytes = 2'000;

class generator {
 public:
  explicit generator(std::uint64_t seed) : random_(seed) {}

  std::size_t Below(std::size_t limit) {
    return static_cast<std::size_t>(random_() % limit);
  }
  bool Chance(std::size_t one_in) { return Below(one_in) == 0; }
  std::string Pick(const std::vector<std::string>& from) {
    return from[Below(from.size())];
  }
  /** Text of at most `limit` bytes, mostly of characters that have a meaning.
   */
  std::string Noise(std::size_t limit) {
    static constexpr std::string_view kSpecial = "\r\n\r\n :;=,\"\t0aF\\";
    std::string text;
    for (std::size_t left = Below(limit + 1); left > 0; --left) {
      text += Chance(3) ? static_cast<char>(Below(256))
                        : kSpecial[Below(kSpecial.size())];
    }
    return text;
  }
  std::string Word(std::size_t limit) {
    return std::string(1 + Below(limit), static_cast<char>('a' + Below(26)));
  }

  std::string Message(bool request) {
    std::string text =
        request
            ? Pick({"GET", "POST", "HEAD", "PUT", Word(9)}) + " /" + Word(30) +
                  Pick({"", "?a=b"}) + Pick({" HTTP/1.1", " HTTP/1.0"}) + "\r\n"
            : Pick({"HTTP/1.1 ", "HTTP/1.0 "}) +
                  Pick({"200", "404", "100", "204", "304", "503"}) + " " +
                  Pick({"", "OK"}) + "\r\n";
    for (std::size_t left = Below(6); left > 0; --left) {
      text += Field();
    }
    const std::size_t framing = Below(4);
    if (framing == 0) {
      const std::string body = Noise(200);
      return text + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    }
    if (framing == 1) {
      return text + "\r\n" + Noise(100);
    }
    return text + "Transfer-Encoding: chunked\r\n\r\n" + Chunks();
  }

  /** Changes some bytes or pieces of the text. */
  void Mutate(std::string& text) {
    for (std::size_t left = Below(4); left > 0 && !text.empty(); --left) {
      const std::size_t at = Below(text.size());
      const std::size_t length =
          1 + Below(std::min<std::size_t>(20, text.size() - at));
      switch (Below(5)) {
        case 0:
          text[at] = static_cast<char>(Below(256));
          break;
        case 1:
          text.erase(at, length);
          break;
        case 2:
          text.insert(at, Noise(10));
          break;
        case 3:
          text.insert(at, text.substr(at, length));
          break;
        default:
          text.resize(at);
          break;
      }
    }
  }

  /** Splits the text at random points, sometimes into single bytes. */
  std::vector<std::string_view> Split(std::string_view text) {
    const std::size_t longest = Chance(3) ? 1 : 1 + Below(60);
    std::vector<std::string_view> pieces;
    while (!text.empty()) {
      pieces.push_back(text.substr(0, 1 + Below(longest)));
      text.remove_prefix(pieces.back().size());
    }
    return pieces;
  }

 private:
  std::string Field() {
    return Pick({"Host", "Connection", "Expect", "x-id", "Keep-Alive",
                 "Content-Length", Word(20)}) +
           Pick({":", ": ", ":\t"}) +
           Pick({"", "close", "keep-alive", "5", "100-continue", Word(60)}) +
           Pick({"\r\n", "\r\n", "\r\n", " \r\n", "\r\n folded\r\n"});
  }
  std::string Chunks() {
    std::string text;
    for (std::size_t left = Below(5); left > 0; --left) {
      const std::string data = Noise(30) + "x";
      static constexpr std::string_view kDigits = "0123456789abcdef";
      text += Pick({"", "0", "000"});
      text += kDigits[data.size() / 16 % 16];
      text += kDigits[data.size() % 16];
      text += Extension() + "\r\n" + data + "\r\n";
    }
    text += Pick({"0", "000"}) + Extension() + "\r\n";
    for (std::size_t left = Below(3); left > 0; --left) {
      text += Field();
    }
    return text + "\r\n" + Noise(20);
  }
  std::string Extension() {
    return Chance(2) ? "" : ";" + Word(5) + Pick({"", "=1", "=\"q;\\\"\""});
  }

  std::mt19937_64 random_;
};

/** All that the owner of a parser can see of a message. */
struct outcome {
  bool failed = false;
  bool done = false;
  bool header_done = false;
  unsigned limit_status = 0;
  std::string error;
  std::size_t consumed = 0;
  std::string method;
  std::string target;
  unsigned status = 0;
  http_headers headers;
  std::string body;

  bool operator==(const outcome&) const = default;
};

/** Feeds the pieces as the server and the client do. */
template <bool IsRequest>
outcome Parse(const std::vector<std::string_view>& pieces) {
  http_parser<IsRequest> parser(kHeaderBytes, kBodyBytes);
  outcome seen;
  std::string in;
  for (const std::string_view piece : pieces) {
    in += piece;
    const auto fed = parser.Feed(in);
    REQUIRE(fed.consumed <= in.size());
    in.erase(0, fed.consumed);
    seen.consumed += fed.consumed;
    seen.body += std::exchange(parser.body, {});
    seen.failed = fed.failed;
    seen.limit_status = fed.limit_status;
    seen.error = fed.error;
    if (fed.failed || parser.is_done()) {
      break;
    }
  }
  seen.done = !seen.failed && parser.is_done();
  seen.header_done = parser.is_header_done();
  seen.method = parser.method;
  seen.target = parser.target;
  seen.status = parser.status;
  seen.headers = parser.headers;
  return seen;
}

std::size_t HeldBytes(const outcome& seen) {
  std::size_t bytes = seen.method.size() + seen.target.size();
  for (const auto& [name, value] : seen.headers) {
    bytes += name.size() + value.size();
  }
  return bytes + seen.body.size();
}

std::string Describe(const outcome& seen) {
  return "failed " + std::to_string(static_cast<int>(seen.failed)) + " " +
         seen.error + ", done " + std::to_string(static_cast<int>(seen.done)) +
         ", consumed " + std::to_string(seen.consumed) + ", fields " +
         std::to_string(seen.headers.size()) + ", body " +
         std::to_string(seen.body.size());
}

template <bool IsRequest>
void CheckCases() {
  std::size_t done = 0;
  std::size_t failed = 0;
  std::size_t different = 0;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kCases; ++seed) {
    generator random(seed);
    std::string text =
        random.Chance(20) ? random.Noise(300) : random.Message(IsRequest);
    if (random.Chance(2)) {
      random.Mutate(text);
    }
    // Ends an incomplete header or trailer section. The parser looks at these
    // only when they are complete, unless they arrive as one piece, so it may
    // find a fault in an incomplete one sooner or later.
    text += "\r\n\r\n";
    const outcome whole = Parse<IsRequest>({text});
    const outcome split = Parse<IsRequest>(random.Split(text));
    done += whole.done ? 1 : 0;
    failed += whole.failed ? 1 : 0;
    CHECK(HeldBytes(whole) <= text.size());
    CHECK(HeldBytes(split) <= text.size());
    CHECK(whole.body.size() <= kBodyBytes);
    CHECK(split.body.size() <= kBodyBytes);
    // What a message that can't be parsed has shown before doesn't matter: it
    // is refused.
    const bool same = whole.failed ? split.failed : whole == split;
    different += same ? 0 : 1;
    // The first cases show the fault; the number of the others is enough.
    CHECK_MESSAGE((same || different > 3),
                  "seed " << seed << ": whole: " << Describe(whole)
                          << "; split: " << Describe(split));
  }
  MESSAGE("complete: " << done << ", failed: " << failed);
  CHECK(different == 0);
  // The generator reaches all ends of a message.
  CHECK(done > kCases / 10);
  CHECK(failed > kCases / 10);
  CHECK(done + failed < kCases);
}

TEST_CASE("requests are parsed the same however they are split") {
  CheckCases<true>();
}

TEST_CASE("responses are parsed the same however they are split") {
  CheckCases<false>();
}

TEST_CASE("events are framed the same however they are split") {
  using gateway::event_framer;
  using gateway::stream_event;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kCases; ++seed) {
    CAPTURE(seed);
    generator random(seed);
    std::string text;
    for (std::size_t left = random.Below(30); left > 0; --left) {
      text += random.Pick({"id: 17", "id:", "id: 99999999999999999999", ":",
                           ": comment", "data: " + random.Word(40),
                           random.Noise(10), ""}) +
              random.Pick({"\n", "\n\n", "\r\n", "\r\n\r\n", "\r"});
    }
    event_framer at_once;
    const std::vector<stream_event> whole = at_once.Feed(text);
    event_framer in_pieces;
    std::vector<stream_event> split;
    std::string joined;
    for (const std::string_view piece : random.Split(text)) {
      for (stream_event& event : in_pieces.Feed(piece)) {
        joined += event.text;
        split.push_back(std::move(event));
      }
    }
    REQUIRE(split.size() == whole.size());
    for (std::size_t i = 0; i < whole.size(); ++i) {
      CHECK(split[i].text == whole[i].text);
      CHECK(split[i].id == whole[i].id);
      CHECK(split[i].is_comment == whole[i].is_comment);
    }
    // Nothing is lost, and only the incomplete event is kept.
    CHECK(in_pieces.partial_event_bytes() == at_once.partial_event_bytes());
    CHECK(joined.size() + in_pieces.partial_event_bytes() == text.size());
    CHECK(text.starts_with(joined));
  }
}

}  // namespace
}  // namespace wisteriaroute::net
