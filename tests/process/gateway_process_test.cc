#include <doctest/doctest.h>
#include <signal.h>

#include <string>
#include <vector>

#include "libwisteriaroute/base/toml_reader.h"
#include "tests/process/gateway_process_harness.h"

namespace wisteriaroute::testing {
namespace {

std::string Events(int first, int last) {
  std::string text;
  for (int i = first; i <= last; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) +
            "\n\n";
  }
  return text;
}

void SetFaultsOfAll(gateway_system& system, const nlohmann::json& faults) {
  for (const char* server : {"desk-a", "desk-b", "desk-c"}) {
    system.SetFaults(server, faults);
  }
}

/** Returns how many requests a server received since its faults were set. */
int CountReceived(gateway_system& system, const std::string& server) {
  const auto answer = system.Get(system.ServerUrl(server) + "/standin/runs");
  return nlohmann::json::parse(answer->body)["arrived"].get<int>();
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != text.npos;
}

TEST_CASE("gateways route requests to servers without agents") {
  gateway_system system;

  SUBCASE("requests get 503 until a configuration is published") {
    REQUIRE(system.RunUntil([&] {
      return Contains(system.ReadLog("gateway-0"), "gateway_started");
    }));
    const auto has_lease = [&] {
      const std::string text = system.Get(system.MetricsUrl("gateway-0"))->body;
      return Contains(text, "wisteriaroute_lease_left_seconds ") &&
             !Contains(text, "wisteriaroute_lease_left_seconds -");
    };
    for (int i = 0; i < 500 && !has_lease(); ++i) {
      system.RunFor(20'000);
    }
    const auto early = system.StartAndWait(0, "/lookup/1", "r-early");
    CHECK(early->status == 503);
    CHECK(early->ErrorCode() == "no_configuration");
    CHECK(system.Get(system.ReadyUrl(0))->status == 503);
  }

  SUBCASE("callers get the complete responses to their own requests") {
    system.PublishAndWait();
    CHECK(system.Get(system.ReadyUrl(0))->status == 200);
    const auto answer =
        system.StartAndWait(0, "/pay/7", "r-1", {}, "two blankets");
    CHECK(answer->ok);
    CHECK(answer->status == 200);
    CHECK(answer->body == "echo two blankets");
    CHECK(system.CountRuns("r-1") == 1);

    const auto stream =
        system.StartAndWait(1, "/draft/1", "r-2", {{"X-Events", "20"}});
    CHECK(stream->ok);
    CHECK(stream->body == Events(1, 20));

    CHECK(system.StartAndWait(0, "/nowhere", "r-3")->status == 404);
    CHECK(system.CountRuns("r-3") == 0);
  }

  SUBCASE("a request that must not be repeated runs at most once") {
    system.PublishAndWait();
    SetFaultsOfAll(system, {{"lose_answer", 1}});
    const auto lost = system.StartAndWait(0, "/pay/1", "r-lost");
    CHECK(lost->status == 502);
    CHECK(system.CountRuns("r-lost") == 1);

    SetFaultsOfAll(system, {{"lose_answer", 0}, {"refuse", 1}});
    const auto moved = system.StartAndWait(0, "/pay/2", "r-moved");
    CHECK(system.CountRuns("r-moved") == (moved->status == 200 ? 1 : 0));
    CHECK_MESSAGE((moved->status == 200 || moved->status == 503), moved->status,
                  " ", moved->body);

    SetFaultsOfAll(system, {{"refuse", 0}, {"unsealed", 1}});
    // The gateway doesn't send to a server for 50 ms after it reported to be
    // full.
    system.RunFor(200'000);
    CHECK(system.StartAndWait(0, "/pay/3", "r-unsealed")->status == 502);
    CHECK(system.CountRuns("r-unsealed") == 1);
  }

  SUBCASE("a repeatable request is retried at another server") {
    system.PublishAndWait();
    system.SetFaults("desk-a", {{"fail", 1}});
    system.SetFaults("desk-b", {{"lose_answer", 1}});
    for (int i = 0; i < 10; ++i) {
      const auto answer =
          system.StartAndWait(0, "/lookup/1", "r-" + std::to_string(i));
      CHECK(answer->status == 200);
    }
  }

  SUBCASE("a stream that is cut or goes silent continues without a gap") {
    system.PublishAndWait();
    SetFaultsOfAll(system, {{"cut_streams", 1}, {"cut_after", 3}});
    const auto cut =
        system.StartAndWait(0, "/draft/1", "r-cut", {{"X-Events", "12"}});
    // If all three servers cut the stream, no attempt is left to finish it.
    CHECK((cut->body == Events(1, 12) || !cut->ok));
    SetFaultsOfAll(system, {{"cut_streams", 0}});

    system.SetFaults("desk-a", {{"mute_streams", 1}});
    system.SetFaults("desk-b", {{"mute_streams", 1}});
    std::vector<std::shared_ptr<call>> streams;
    for (int i = 0; i < 3; ++i) {
      streams.push_back(system.Start(0, "/draft/1", "s-" + std::to_string(i),
                                     {{"X-Events", "12"}}));
    }
    for (const auto& stream : streams) {
      REQUIRE(system.RunUntil([&] { return stream->done; }));
      CHECK(stream->ok);
      CHECK(stream->body == Events(1, 12));
    }
  }

  SUBCASE("work for a caller that disconnects is cancelled") {
    system.PublishAndWait();
    const auto left = system.Start(0, "/draft/1", "r-left",
                                   {{"X-Events", "500"}, {"X-Gap-Ms", "20"}});
    REQUIRE(system.RunUntil([&] { return Contains(left->body, "piece 3"); }));
    const base::time_us left_us = base::MonotonicUs();
    system.Disconnect(*left);
    const base::time_us limit_us = left_us + 500'000;
    while (system.CountAbandoned() == 0 && base::MonotonicUs() < limit_us) {
    }
    CAPTURE(base::MonotonicUs() - left_us);
    CHECK(system.CountAbandoned() == 1);
    CHECK(system.ServersAreIdle());
  }
}

TEST_CASE("requests survive changes of the system") {
  gateway_system system;
  system.PublishAndWait();

  SUBCASE("a gateway finishes its requests after SIGTERM") {
    std::vector<std::shared_ptr<call>> running;
    for (int i = 0; i < 4; ++i) {
      running.push_back(
          system.Start(0, "/draft/1", "r-" + std::to_string(i),
                       {{"X-Events", "100"}, {"X-Gap-Ms", "20"}}));
    }
    REQUIRE(
        system.RunUntil([&] { return Contains(running[3]->body, "piece"); }));
    system.Signal("gateway-0", SIGTERM);
    CHECK(system.RunUntil(
        [&] { return Contains(system.ReadLog("gateway-0"), "stopping"); }));
    CHECK(system.Get(system.ReadyUrl(0))->status == 503);
    // The gateway must serve new requests until the load balancer has noticed
    // that it isn't ready.
    CHECK(system.StartAndWait(0, "/lookup/1", "r-late")->status == 200);
    for (const auto& one : running) {
      REQUIRE(system.RunUntil([&] { return one->done; }));
      CHECK(one->ok);
      CHECK(one->body == Events(1, 100));
    }
    CHECK(system.RunUntil([&] { return !system.IsRunning("gateway-0"); }));
  }

  SUBCASE("a server that is leaving gets no new requests and exits") {
    system.Signal("desk-a", SIGTERM);
    REQUIRE(system.RunUntil([&] {
      return Contains(system.ReadLog("control-0") +
                          system.ReadLog("control-1") +
                          system.ReadLog("control-2"),
                      "server_leaving");
    }));
    for (int i = 0; i < 20; ++i) {
      CHECK(
          system.StartAndWait(0, "/pay/1", "r-" + std::to_string(i))->status ==
          200);
    }
    const auto log = system.ReadLog("gateway-0");
    CHECK_FALSE(Contains(log, "server=desk-a load"));
    CHECK(system.RunUntil([&] { return !system.IsRunning("desk-a"); }));
  }

  SUBCASE("a server that sets the leaving header gets no new requests") {
    for (const char* control : {"control-0", "control-1", "control-2"}) {
      system.Signal(control, SIGSTOP);
    }
    system.SetFaults("desk-a", {{"leave_by_header", 1}});
    const auto told = [&] {
      return Contains(system.ReadLog("gateway-0"),
                      "server_leaving server=desk-a");
    };
    for (int i = 0; i < 50 && !told(); ++i) {
      CHECK(
          system.StartAndWait(0, "/pay/1", "r-" + std::to_string(i))->status ==
          200);
    }
    REQUIRE(told());
    const int before = CountReceived(system, "desk-a");
    for (int i = 50; i < 80; ++i) {
      CHECK(
          system.StartAndWait(0, "/pay/1", "r-" + std::to_string(i))->status ==
          200);
    }
    CHECK(CountReceived(system, "desk-a") == before);
    CHECK(Contains(system.Get(system.MetricsUrl("gateway-0"))->body,
                   "wisteriaroute_server_leaving{server=\"desk-a\"} 1\n"));
    for (const char* control : {"control-0", "control-1", "control-2"}) {
      system.Signal(control, SIGCONT);
    }
  }

  SUBCASE("servers get no requests during the pause that they ask for") {
    SetFaultsOfAll(system, {{"refuse", 1}, {"pause", "3.5"}});
    for (int i = 0; i < 6; ++i) {
      system.StartAndWait(0, "/lookup/1", "r-" + std::to_string(i));
    }
    const auto refused = system.StartAndWait(0, "/lookup/1", "r-late");
    CHECK(refused->status == 503);
    CHECK(refused->ErrorCode() == "servers_paused");
    for (const char* server : {"desk-a", "desk-b", "desk-c"}) {
      CHECK(CountReceived(system, server) == 1);
    }
    SetFaultsOfAll(system, {{"refuse", 0}, {"pause", "soon"}});
    system.RunFor(4'000'000);
    CHECK(system.StartAndWait(0, "/lookup/1", "r-after")->status == 200);
  }

  SUBCASE("an inconsistent configuration is refused and changes nothing") {
    std::string broken = gateway_system::TrafficToml(2);
    broken.replace(broken.find("service = \"desk\""), 16, "service = \"dusk\"");
    CHECK(system.Publish(broken).status != 0);
    CHECK(system.StartAndWait(0, "/lookup/1", "r-1")->status == 200);
    CHECK(Contains(system.Get(system.MetricsUrl("gateway-0"))->body,
                   "wisteriaroute_traffic_version 1\n"));
  }

  SUBCASE("a newer version gets into force, an older one never replaces it") {
    CHECK(system.Publish(gateway_system::TrafficToml(5)).status == 0);
    CHECK(system.Publish(gateway_system::TrafficToml(4)).status == 0);
    for (const char* gateway : {"gateway-0", "gateway-1"}) {
      bool in_force = false;
      for (int i = 0; i < 100 && !in_force; ++i) {
        in_force = Contains(system.Get(system.MetricsUrl(gateway))->body,
                            "wisteriaroute_traffic_version 5\n");
        system.RunFor(20'000);
      }
      CHECK(in_force);
    }
  }

  SUBCASE("requests succeed while all of control is down") {
    for (const char* control : {"control-0", "control-1", "control-2"}) {
      system.SignalAndWait(control, SIGKILL);
    }
    CHECK(system.StartAndWait(0, "/lookup/1", "r-alone")->status == 200);
    for (const char* control : {"control-0", "control-1", "control-2"}) {
      system.StartProcess(control);
    }
    // The restarted replicas still hold version 1.
    CHECK(system.Publish(gateway_system::TrafficToml(1)).status == 0);
  }
}

TEST_CASE("running processes reload their settings") {
  gateway_system system;
  system.PublishAndWait();
  const auto change = [&](const std::string& process, const std::string& from,
                          const std::string& to) {
    std::string text = base::ReadFile(system.SettingsFile(process));
    const std::size_t at = text.find(from);
    REQUIRE(at != text.npos);
    system.WriteSettings(process, text.replace(at, from.size(), to));
  };

  SUBCASE("SIGHUP applies changes without interrupting requests") {
    const auto running = system.Start(0, "/draft/1", "r-1",
                                      {{"X-Events", "50"}, {"X-Gap-Ms", "20"}});
    REQUIRE(system.RunUntil([&] { return Contains(running->body, "piece"); }));
    change("gateway-0", "[process]\n", "[process]\nlog_level = \"ERROR\"\n");
    system.Signal("gateway-0", SIGHUP);
    CHECK(system.RunUntil([&] { return running->done; }));
    CHECK(running->body == Events(1, 50));
    // Log lines about requests are below the new level.
    CHECK(system.StartAndWait(0, "/lookup/1", "r-silent")->status == 200);
    CHECK_FALSE(Contains(system.ReadLog("gateway-0"), "r-silent"));
    CHECK(system.IsRunning("gateway-0"));
  }

  SUBCASE("a changed file is applied without a signal, too") {
    for (const char* process : {"gateway-0", "control-0", "control-1"}) {
      change(process, "[process]\n", "[process]\nlog_level = \"INFO\"\n");
    }
    for (const char* process : {"gateway-0", "control-0", "control-1"}) {
      CHECK(system.RunUntil([&] {
        return Contains(system.ReadLog(process),
                        "reload cause=\"file changed\" result=applied");
      }));
    }
  }

  SUBCASE("a faulty file is refused and the log names the fault") {
    change("gateway-0", "[gateway]\n", "[gateway]\nretry_ration = 0.5\n");
    system.Signal("gateway-0", SIGHUP);
    CHECK(system.RunUntil([&] {
      return Contains(system.ReadLog("gateway-0"), "result=refused") &&
             Contains(system.ReadLog("gateway-0"), "retry_ration");
    }));
    CHECK(system.StartAndWait(0, "/lookup/1", "r-1")->status == 200);
  }

  SUBCASE("a change that needs a restart is refused or logged") {
    change("gateway-0", "listen_ready", "listen_http = \"127.0.0.1:1\"\n#");
    system.Signal("gateway-0", SIGHUP);
    CHECK(system.RunUntil([&] {
      return Contains(system.ReadLog("gateway-0"), "result=refused") ||
             Contains(system.ReadLog("gateway-0"), "needs_restart=");
    }));
  }
}

TEST_CASE("logs and metrics show what happened to a request") {
  gateway_system system;
  system.PublishAndWait();
  const auto explain = [&](const std::string& id) {
    return system.Wrctl(
        "explain --request " + id + " " + system.LogFile("gateway-0") + " " +
        system.LogFile("gateway-1") + " " + system.LogFile("control-0") + " " +
        system.LogFile("control-1") + " " + system.LogFile("control-2"));
  };

  SUBCASE("explain shows a request that failed at its server") {
    SetFaultsOfAll(system, {{"lose_answer", 1}});
    system.StartAndWait(0, "/pay/1", "r-lost");
    const command_result found = explain("r-lost");
    CHECK(found.status == 0);
    CHECK(Contains(found.output, "attempt_sent"));
    CHECK(Contains(found.output, "attempt_failed"));
    CHECK(Contains(found.output, "refused by gateway-0 status=502"));
    CHECK(Contains(found.output, "traffic_published"));
  }

  SUBCASE("explain reports a request that is in no log") {
    const command_result found = explain("r-unknown");
    CHECK(found.status == 1);
    CHECK(Contains(found.output, "no line names the request"));
  }

  SUBCASE("metrics count requests and leader elections") {
    system.StartAndWait(0, "/lookup/1", "r-1");
    const std::string gateway =
        system.Get(system.MetricsUrl("gateway-0"))->body;
    CHECK(Contains(gateway,
                   "wisteriaroute_requests_total{outcome=\"relayed\"} 1"));
    CHECK(Contains(gateway, "wisteriaroute_request_seconds_count 1"));
    CHECK(Contains(gateway, "wisteriaroute_log_lines_dropped 0"));
    std::string controls;
    for (const char* control : {"control-0", "control-1", "control-2"}) {
      controls += system.Get(system.MetricsUrl(control))->body;
    }
    CHECK(Contains(controls, "wisteriaroute_leading 1"));
    CHECK(Contains(controls,
                   "wisteriaroute_events_total{kind=\"leader_elected\"} 1"));
  }
}

}  // namespace
}  // namespace wisteriaroute::testing
