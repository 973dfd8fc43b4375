#include "libwisteriaroute/config/traffic_parse.h"

#include <doctest/doctest.h>

#include <string>

namespace wisteriaroute::config {
namespace {

std::string Text() {
  return R"(version = 7
[limits]
body_bytes = 4194304
idle_timeout_ms = 15000

[[service]]
name = "drafts"
max_connections = 358
[service.engine]
slots = 12
expert_sets = 3
experts = 96

[[service]]
name = "desk"

[[route]]
name = "draft"
host = "shop.example"
path_prefix = "/draft/"
repeats = "repeatable"
streams = true
resumable = true
timeout_ms = 8000
gap_objective_ms = 120
targets = [{service = "drafts", weight = 90}, {service = "desk", weight = 10}]

[[workspace]]
name = "counter"
priority = 1
key_digests = [")" +
         base::Sha256Hex("key-1") + "\"]\n";
}

std::string With(const std::string& from, const std::string& to) {
  std::string text = Text();
  const std::size_t at = text.find(from);
  REQUIRE(at != text.npos);
  return text.replace(at, from.size(), to);
}

base::findings FaultsOf(const std::string& text) {
  base::findings found;
  const bool read = ParseTraffic(text, "traffic.toml", found).has_value();
  CHECK(read == found.empty());
  return found;
}

TEST_CASE("a traffic set in TOML") {
  SUBCASE("is parsed with all its fields") {
    base::findings found;
    const auto set = ParseTraffic(Text(), "traffic.toml", found);
    REQUIRE(set);
    CHECK(set->version == 7);
    CHECK(set->limits.body_bytes == 4'194'304);
    CHECK(set->services[0].engine->experts == 96);
    CHECK_FALSE(set->services[1].engine);
    const route& draft = set->routes[0];
    CHECK(draft.streams);
    CHECK(draft.resumable);
    CHECK(draft.repeats == repetition::kRepeatable);
    CHECK(draft.targets[1].weight == 10);
    CHECK(set->workspaces[0].key_digests[0] == base::Digest128("key-1"));
    CHECK(set->workspaces[0].priority == 1);
  }

  SUBCASE("is rejected if a field is invalid, and the finding has a position") {
    CHECK(FaultsOf("version = ").size() == 1);
    const auto typo = FaultsOf(With("timeout_ms = 8000", "timeout = 8000"));
    REQUIRE_FALSE(typo.empty());
    CHECK(typo[0].line > 0);
    CHECK_FALSE(FaultsOf(With("version = 7", "version = 0")).empty());
    CHECK_FALSE(FaultsOf(With("\"repeatable\"", "\"often\"")).empty());
    CHECK_FALSE(FaultsOf(With("\"repeatable\"", "\"once\"")).empty());
    CHECK_FALSE(
        FaultsOf(With("key_digests = [\"", "key_digests = [\"x")).empty());
  }

  SUBCASE("is rejected if its parts contradict each other") {
    CHECK_FALSE(
        FaultsOf(With("service = \"desk\"", "service = \"dusk\"")).empty());
    CHECK_FALSE(FaultsOf(With("timeout_ms = 8000", "timeout_ms = 0")).empty());
    CHECK_FALSE(FaultsOf(With("name = \"desk\"", "name = \"drafts\"")).empty());
  }

  SUBCASE("can be truncated anywhere without a crash") {
    const std::string text = Text();
    for (std::size_t size = 0; size < text.size(); ++size) {
      FaultsOf(text.substr(0, size));
    }
  }
}

}  // namespace
}  // namespace wisteriaroute::config
