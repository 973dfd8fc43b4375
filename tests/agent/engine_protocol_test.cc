#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "libwisteriaroute/agent/engine_protocol.h"
#include "libwisteriaroute/agent/prefix_blocks.h"
#include "libwisteriaroute/agent/settings.h"
#include "libwisteriaroute/agent/sse_parser.h"

namespace wisteriaroute::agent {
namespace {

std::vector<std::string> Parse(const std::vector<std::string>& pieces) {
  sse_parser parser;
  std::vector<std::string> events;
  for (const std::string& piece : pieces) {
    parser.Feed(piece, events);
  }
  return events;
}

TEST_CASE("server-sent events are parsed") {
  SUBCASE("with comments, other fields and all kinds of line ends") {
    CHECK(
        Parse({": waiting\n\nevent: x\ndata: a\n\ndata:b\r\n\r\ndata: c\rdata: "
               "d\r\rdata: cut"}) ==
        std::vector<std::string>{"a", "b", "c\nd"});
  }

  SUBCASE("unless a line without an end exceeds the size limit") {
    sse_parser parser;
    std::vector<std::string> events;
    CHECK_FALSE(parser.Feed("data: " + std::string(kMaxSseBytes, 'x'), events));
    CHECK_FALSE(parser.Feed("\n\ndata: y\n\n", events));
    CHECK(events.empty());
  }

  // Guards against events that are lost or split at the boundary of a read.
  SUBCASE("independently of how the bytes are split into reads") {
    CHECK(rc::check([] {
      const auto text = *rc::gen::container<std::string>(
          rc::gen::elementOf(std::string("data: x\n\r")));
      std::vector<std::string> pieces;
      for (const char c : text) {
        if (pieces.empty() || *rc::gen::inRange(0, 3) == 0) {
          pieces.emplace_back();
        }
        pieces.back() += c;
      }
      RC_ASSERT(Parse(pieces) == Parse({text}));
    }));
  }
}

TEST_CASE("message bodies of the engine protocol") {
  SUBCASE("a stream event is parsed") {
    const auto event = ParseStreamEvent(
        R"({"choices":[{"delta":{"content":" a"},"finish_reason":"stop"}],)"
        R"("usage":{"prompt_tokens":3,"completion_tokens":-4}})");
    REQUIRE(event);
    CHECK(event->text == " a");
    CHECK(event->token_count == 1);
    CHECK(event->finish_reason == "stop");
    CHECK(event->usage->prompt_tokens == 3);
    CHECK(event->usage->completion_tokens == 0);
  }

  SUBCASE("bodies that violate the protocol are rejected") {
    for (const char* text :
         {"", "7", "{", "[]", "{}", R"({"choices":7})", R"({"choices":[7]})",
          "{\"choices\":[{\"text\":\"\xff\"}]}"}) {
      CAPTURE(text);
      CHECK_FALSE(ParseStreamEvent(text));
    }
    CHECK_FALSE(ParseLoad("7"));
    CHECK_FALSE(ParseGroup("[]"));
    CHECK_FALSE(ParseCacheEvents(R"({"events":[7]})"));
    CHECK(ParseInstance("ok").empty());
    CHECK(ParseOrderAnswer(1, 200, "ok").result == wire::order_status::kFailed);
  }

  // Guards against exceptions on bytes from a faulty engine.
  SUBCASE("the parsers don't throw for arbitrary bytes") {
    CHECK(rc::check([](const std::string& bytes) {
      ParseStreamEvent(bytes);
      ParseOrderAnswer(1, 200, bytes);
      ParseLoad(bytes);
      ParseGroup(bytes);
      ParseCacheEvents(bytes);
      GenerationBody({.body = bytes}, 1);
    }));
  }

  SUBCASE("a resumed generation sends the caller's request again") {
    const auto body = GenerationBody(
        {.priority = 2, .body = R"({"prompt":"p","stream":false})"}, 7);
    REQUIRE(body);
    const auto parsed = nlohmann::json::parse(*body);
    CHECK(parsed["prompt"] == "p");
    CHECK(parsed["stream"] == true);
    CHECK(parsed["priority"] == 2);
    CHECK(parsed["resume_from"] == 7);
    CHECK_FALSE(GenerationBody({.body = "7"}, 0));
  }

  SUBCASE("prompts with a common prefix share the hashes of its blocks") {
    const std::string common(kPrefixBlockBytes * 2, 'c');
    const auto a = PrefixBlockHashes(common + std::string(80, 'a'));
    const auto b = PrefixBlockHashes(common + std::string(80, 'b'));
    REQUIRE(a.size() == 3);
    CHECK(a[1] == b[1]);
    CHECK(a[2] != b[2]);
    CHECK(a[0] != a[1]);
  }
}

TEST_CASE("settings of the agent are parsed and checked") {
  const std::string process =
      "[process]\nname = \"a\"\nregion = \"r\"\ndata_center = \"d\"\n"
      "listen = \"127.0.0.1:0\"\ncontrols = [\"127.0.0.1:1\"]\n"
      "cluster_key_file = \"key\"\n";

  SUBCASE("settings of a service are accepted") {
    const agent_settings settings =
        ParseSettings(process +
                          "[agent]\nbackend_url = \"http://127.0.0.1:8000/\"\n"
                          "class = \"c\"\nservice = \"desk\"\nqueue = 3\n",
                      "a.toml");
    CHECK(settings.backend.backend_url == "http://127.0.0.1:8000");
    CHECK_FALSE(settings.options.engine);
    CHECK(settings.options.queue == 3);
  }

  SUBCASE("all errors are reported together") {
    try {
      ParseSettings(process +
                        "[agent]\nbackend_url = \"https://host\"\nclas = 1\n"
                        "service = \"s\"\ngroup = \"g\"\n",
                    "a.toml");
      FAIL("invalid settings were accepted");
    } catch (const base::findings_error& error) {
      CHECK(error.all().size() == 4);
    }
  }
}

}  // namespace
}  // namespace wisteriaroute::agent
