#include "libwisteriaroute/base/log_explain.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace wisteriaroute::base {
namespace {

std::vector<std::string> Events(const request_explanation& explanation) {
  std::vector<std::string> events;
  for (const request_explanation::entry& one : explanation.entries) {
    events.push_back((one.own ? "> " : "") + one.line.event);
  }
  return events;
}

TEST_CASE("ParseLogLine") {
  SUBCASE("accepts a prefix added by a log collector") {
    const auto line = ParseLogLine(
        "12.3 s front-1: 2026-12-04T07:45:54.244 INFO process=10.1.0.24 "
        "attempt_failed request=9c41 cause=\"cut \\\"here\\\"\" events=10");
    REQUIRE(line);
    CHECK(line->process == "10.1.0.24");
    CHECK(line->event == "attempt_failed");
    CHECK(line->Field("cause") == "cut \"here\"");
    CHECK(line->Field("events") == "10");
    CHECK((line->hlc >> 16) == 1'796'370'354'244);
  }

  SUBCASE("rejects text that is not a log line") {
    CHECK_FALSE(ParseLogLine(""));
    CHECK_FALSE(ParseLogLine("listening 127.0.0.1:80"));
    CHECK_FALSE(ParseLogLine("2026-12-04T07:45:54.244 INFO process="));
  }
}

TEST_CASE("ExplainRequest") {
  const std::string gateway =
      "2026-12-04T10:00:00.000 INFO process=g1 "
      "traffic_published version=3\n"
      "2026-12-04T10:00:01.000 INFO process=g1 attempt_sent "
      "request=r1 server=s1\n"
      "2026-12-04T10:00:01.000 INFO process=g1 attempt_sent "
      "request=r2 server=s1\n"
      // The wall clock has jumped back; the order in the file counts.
      "2026-12-04T09:00:00.000 INFO process=g1 attempt_failed request=r1 "
      "server=s1 cause=cut\n"
      "2026-12-04T09:00:00.001 INFO process=g1 server_suspended server=s1 "
      "request=r1\n"
      "2026-12-04T10:00:02.000 INFO process=g1 request_ended "
      "request=r1 outcome=refused status=502 server=s1\n";
  const std::string control =
      "2026-12-04T12:00:00.000 INFO process=c1 hlc=117727454920704000 "
      "server_gone "
      "server=s1\n"
      "2026-12-04T10:00:01.600 INFO process=c1 server_gone "
      "server=s9\n"
      "2026-12-04T10:00:01.700 INFO process=c1 leader_elected "
      "detail=4\n"
      "2026-12-04T11:00:00.000 INFO process=c1 "
      "leader_elected detail=5\n";

  SUBCASE("returns the request's lines and their context in causal order") {
    const std::vector<std::string> logs = {control, gateway};
    const request_explanation explanation = ExplainRequest(logs, "r1");
    CHECK(Events(explanation) ==
          std::vector<std::string>{"traffic_published", "> attempt_sent",
                                   "> attempt_failed", "> server_suspended",
                                   "server_gone", "leader_elected",
                                   "> request_ended"});
    CHECK(explanation.summary == "refused by g1 status=502 server=s1");
  }

  SUBCASE("reports that the end of the request is missing") {
    const std::vector<std::string> logs = {gateway};
    CHECK(ExplainRequest(logs, "r2").summary.find("has no end") !=
          std::string::npos);
  }

  SUBCASE("returns no entries for a request that no line names") {
    const std::vector<std::string> logs = {gateway, control};
    CHECK(ExplainRequest(logs, "r3").entries.empty());
  }

  SUBCASE("accepts arbitrary bytes") {
    const std::vector<std::string> logs = {
        std::string("\0\xff \"\\\n=\n process=x =\n process=p e =\"", 32)};
    CHECK(ExplainRequest(logs, "").entries.size() <= 2);
  }
}

}  // namespace
}  // namespace wisteriaroute::base
