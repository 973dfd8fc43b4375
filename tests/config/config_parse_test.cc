#include "libwisteriaroute/config/parse.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace wisteriaroute::config {
namespace {

const std::string kDigest(64, 'a');

const std::string kValid = R"toml(
[region.sfax]
[data_center.sfax-a]
region = "sfax"
[backend_class.engine]
kind = "model_engine"
checks_fencing = true
[backend_class.orders-server]
kind = "plain"
[model.assistant]
version = "7"
adapters = ["menu"]
[model_group.assistant-a]
model = "assistant"
backend_class = "engine"
data_centers = ["sfax-a"]
ranks = 4
experts = 16
slots_per_rank = 5
skew_weight = 2.5
[service.orders]
backend_class = "orders-server"
non_repeatable_methods = ["POST"]
[workspace.laundry]
key_digests = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
models = ["assistant"]
services = ["orders"]
[workspace.laundry-night]
parent = "laundry"
)toml";

parsed_set ParseText(std::string text) {
  const std::vector<source_file> files = {
      {.name = "set.toml", .text = std::move(text)}};
  return ParseFiles(files);
}

std::string Report(const parsed_set& parsed) {
  std::string text;
  for (const base::finding& found : parsed.findings) {
    text += ToString(found) + "\n";
  }
  return text;
}

std::string ReplaceOnce(std::string text,
                        std::string_view from,
                        std::string_view to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

/** Findings in the valid set after one replacement in its text. */
std::string ReportWith(std::string_view from, std::string_view to) {
  return Report(ParseText(ReplaceOnce(kValid, from, to)));
}

TEST_CASE("a valid set is read with its defaults") {
  const parsed_set parsed = ParseText(kValid);
  REQUIRE(Report(parsed) == "");
  CHECK(parsed.set.model_groups.at("assistant-a").skew_weight == 2.5);
  CHECK(parsed.set.workspaces.at("laundry").max_concurrency == 64);
  CHECK(parsed.set.workspaces.at("laundry-night").parent == "laundry");
  CHECK(parsed.objects.size() == 9);
  CHECK(std::ranges::is_sorted(parsed.objects));

  SUBCASE("and its canonical form has all fields, sorted by key") {
    CHECK(parsed.objects.front() ==
          wire::config_object{
              .kind = "backend_class",
              .name = "engine",
              .body = R"({"checks_fencing":true,"kind":"model_engine"})"});
  }
  SUBCASE("and its canonical form parses to the same set") {
    const parsed_set again = ParseObjects(parsed.objects);
    CHECK(Report(again) == "");
    CHECK(again.set == parsed.set);
    CHECK(again.objects == parsed.objects);
  }
}

TEST_CASE("each fault is reported with its source position") {
  SUBCASE("an unknown reference, with the nearest name") {
    CHECK(ReportWith("models = [\"assistant\"]", "models = [\"asistant\"]") ==
          "set.toml:26:11: 'models': no model is named 'asistant'; did you "
          "mean 'assistant'?\n");
  }
  SUBCASE("a reference to another kind of backend class") {
    CHECK(ReportWith("backend_class = \"orders-server\"",
                     "backend_class = \"engine\"") ==
          "set.toml:22:17: backend class 'engine' must be of kind 'plain'\n");
  }
  SUBCASE("a cycle of parents") {
    CHECK(ReportWith("[workspace.laundry]",
                     "[workspace.laundry]\nparent = \"laundry-night\"") ==
          "set.toml:25:10: 'parent' forms a cycle: laundry -> laundry-night "
          "-> laundry\n");
  }
  SUBCASE("a wrong type") {
    CHECK(ReportWith("ranks = 4", "ranks = \"4\"")
              .find("set.toml:17:9: 'ranks' must be an integer") !=
          std::string::npos);
  }
  SUBCASE("a value out of range") {
    CHECK(ReportWith("ranks = 4", "ranks = 0")
              .find("set.toml:17:9: 'ranks' must be between 1 and 4096") !=
          std::string::npos);
  }
  SUBCASE("an unknown key") {
    CHECK(ReportWith("checks_fencing", "check_fencing") ==
          "set.toml:7:1: unknown key 'check_fencing'; did you mean "
          "'checks_fencing'?\n");
  }
  SUBCASE("an unknown kind") {
    CHECK(ReportWith("[region.sfax]", "[region.sfax]\n[servce.x]") ==
          "set.toml:3:1: unknown kind 'servce'; did you mean 'service'?\n");
  }
  SUBCASE("a name with invalid characters") {
    CHECK(ReportWith("[region.sfax]", "[region.sfax]\n[region.Sfax_2]")
              .starts_with("set.toml:3:1: 'Sfax_2' is not a name"));
  }
  SUBCASE("a key that two workspaces use") {
    CHECK(ReportWith("parent = \"laundry\"",
                     "key_digests = [\"" + kDigest + "\"]") ==
          "set.toml:29:16: this key is also a key of workspace 'laundry'\n");
  }
  SUBCASE("fewer slots than experts in a model group") {
    CHECK(ReportWith("slots_per_rank = 5", "slots_per_rank = 3") ==
          "set.toml:19:18: ranks * slots_per_rank is 12, too few for 16 "
          "experts\n");
  }
  SUBCASE("a service named like a path that the entry itself serves") {
    CHECK(ReportWith("[service.orders]", "[service.v1]")
              .find("set.toml:21:1: a service can't be named 'v1'") !=
          std::string::npos);
  }
  SUBCASE("a key outside any table") {
    CHECK(Report(ParseText("size = 3\n"))
              .starts_with("set.toml:1:1: 'size' is outside a table"));
  }
}

TEST_CASE("findings in several files are reported together") {
  const std::vector<source_file> files = {
      {.name = "a.toml",
       .text = "[region.sfax]\n[workspace.x]\nmodels=[\"m\"]\n"},
      {.name = "b.toml", .text = "\n[region.sfax]\n[workspace.y]\nshare=-1\n"}};
  CHECK(Report(ParseFiles(files)) ==
        "a.toml:3:9: 'models': no model is named 'm'\n"
        "b.toml:2:1: region 'sfax' is already declared at a.toml:1\n"
        "b.toml:4:7: 'share' must be between 0.001000 and 1000000.000000\n");

  SUBCASE(
      "but not unknown references, if a file that can't be parsed may define "
      "them") {
    std::vector<source_file> broken = files;
    broken[1].text = "[model.m\n";
    const std::string report = Report(ParseFiles(broken));
    CHECK(report.starts_with("b.toml:1:"));
    CHECK(report.find("a.toml") == std::string::npos);
  }
}

TEST_CASE("findings in published objects name the object") {
  const auto report = [](std::string kind, std::string body) {
    const std::vector<wire::config_object> objects = {
        {.kind = std::move(kind), .name = "x", .body = std::move(body)}};
    return Report(ParseObjects(objects));
  };
  CHECK(report("workspace", R"({"parent":"y"})") ==
        "workspace/x: 'parent': no workspace is named 'y'\n");
  CHECK(report("workspace", R"({"share":null})") ==
        "workspace/x: 'share' must be a number\n");
  CHECK(report("workspace", R"({"max_concurrency":18446744073709551615})") ==
        "workspace/x: 'max_concurrency' must be an integer\n");
  CHECK(report("workspace", R"({"models":[["m"]]})") ==
        "workspace/x: 'models' must hold strings only\n");
  CHECK(report("workspace", "[]") ==
        "workspace/x: the body is not a JSON object\n");
  CHECK(report("workspace", std::string(1'000'000, '[')) ==
        "workspace/x: the body is not a JSON object\n");
  CHECK(report("zone", "{}").starts_with("zone/x: unknown kind 'zone'"));
}

/** The text with a few bytes removed, replaced or inserted. */
rc::Gen<std::string> MutatedText() {
  return rc::gen::exec([] {
    std::string text = kValid;
    const int edits = *rc::gen::inRange(1, 4);
    for (int i = 0; i < edits && !text.empty(); ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto count = *rc::gen::inRange<std::size_t>(0, 12);
      const auto with = *rc::gen::container<std::string>(
          *rc::gen::inRange<std::size_t>(0, 3),
          rc::gen::elementOf(std::string("\0\"'[]{}=.,\n#-0a9_\x80\xff", 20)));
      text.replace(at, count, with);
    }
    return text;
  });
}

/** A valid set with random objects and values. */
rc::Gen<std::string> CleanText() {
  return rc::gen::exec([] {
    std::string text = kValid;
    const auto number = [](std::int64_t min, std::int64_t max) {
      return std::to_string(*rc::gen::inRange(min, max + 1));
    };
    const int count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
      const std::string name = "x" + std::to_string(i);
      text += "[workspace." + name + "]\n";
      text += i == 0 ? "" : "parent = \"x" + number(0, i - 1) + "\"\n";
      text += "share = " + number(1, 1'000) + "." + number(0, 999'999) + "\n";
      text += "max_concurrency = " + number(1, 1'000'000) + "\n";
      text += "tokens_per_minute = " + number(0, 1'000'000'000'000) + "\n";
      text += "highest_priority = " + number(0, 9) + "\n";
      text += "[model_group." + name + "]\nmodel = \"assistant\"\n";
      text += "backend_class = \"engine\"\nexperts = 1\n";
      text += "skew_weight = " + number(0, 1'000'000) + "\n";
      text += "cost_weight = " + number(0, 9) + "e-" + number(0, 9) + "\n";
      text += "expert_bytes = " + number(0, std::int64_t{1} << 50) + "\n";
    }
    return text;
  });
}

TEST_CASE("the published objects of a valid set parse to the same set") {
  CHECK(rc::check("any valid set", [] {
    const parsed_set parsed = ParseText(*CleanText());
    RC_ASSERT(Report(parsed) == "");
    const parsed_set again = ParseObjects(parsed.objects);
    RC_ASSERT(Report(again) == "");
    RC_ASSERT(again.set == parsed.set);
    RC_ASSERT(again.objects == parsed.objects);
  }));
}

TEST_CASE(
    "the parser accepts any text without a crash, and its objects parse "
    "again") {
  const auto check = [](const std::string& text) {
    const parsed_set parsed = ParseText(text);
    const parsed_set again = ParseObjects(parsed.objects);
    if (parsed.findings.empty()) {
      RC_ASSERT(again.findings.empty());
      RC_ASSERT(again.set == parsed.set);
      RC_ASSERT(again.objects == parsed.objects);
    }
  };
  CHECK(rc::check("any prefix", [&] {
    check(kValid.substr(0, *rc::gen::inRange<std::size_t>(0, kValid.size())));
  }));
  CHECK(rc::check("any mutation", [&] { check(*MutatedText()); }));
  CHECK(rc::check("any body", [&] {
    parsed_set parsed = ParseText(kValid);
    wire::config_object& object =
        parsed
            .objects[*rc::gen::inRange<std::size_t>(0, parsed.objects.size())];
    object.body.replace(*rc::gen::inRange<std::size_t>(0, object.body.size()),
                        1,
                        *rc::gen::container<std::string>(
                            rc::gen::elementOf(std::string("\"[]{}:,1e-\\n"))));
    ParseObjects(parsed.objects);
  }));
}

}  // namespace
}  // namespace wisteriaroute::config
