// A core machine that has lost its disk is killed as it starts. Does it ever
// come back, so that another machine's disk may be lost later?

#include "../standin/standin.h"

namespace {

using namespace review;

constexpr int kMostKills = 60;
constexpr int kRestartMs = 500;

std::string Configuration(int version) {
  return "{\"version\":" + std::to_string(version) +
         R"(,"routes":[{"name":"r-pay","hostname":"shop.example","path_prefix":"/pay/",)"
         R"("route_type":"unsafe","timeout_ms":2000,"target_latency_ms":300,"priority":2,)"
         R"("service":"orders","max_attempts":1,"public":false}],)"
         R"("services":[{"name":"orders","health_path":"/health","max_connections":110,)"
         R"("protocol":"h1","tls":false}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]})";
}

bool ReadBack(record& out, control_caller& caller, int version, int limit_ms) {
  const std::int64_t until = NowMs() + limit_ms;
  std::map<int, int> ends;
  while (NowMs() < until) {
    const answer got = caller.Once("GET", "/configuration/get", "");
    if (got.status == 200 && got.complete) {
      const bool newest =
          got.body.find("\"version\":" + std::to_string(version)) != std::string::npos;
      out.Line("operator: %s answers the read with %s", caller.asked.c_str(),
               newest ? "the newest version" : "something else");
      return newest;
    }
    ++ends[got.status];
    SleepMs(200);
  }
  std::string text;
  for (const auto& [status, count] : ends) {
    text += " " + (status == 0 ? "no answer" : std::to_string(status)) + ": " +
            std::to_string(count);
  }
  out.Line("operator: no answer to the read within %d ms;%s", limit_ms, text.c_str());
  return false;
}

/** Kills the process of machine 1 as it makes its data folder. Returns whether
 * the kill came before the folder was complete. */
bool KillAtStart(deployment& machines) {
  const std::string folder = machines.DataFolder(1);
  const std::string log = folder + "/log-00000000000000000001";
  std::filesystem::remove_all(folder);
  process& starting = machines.StartControl(1, false);
  const std::int64_t until = NowMs() + 3'000;
  while (access(log.c_str(), F_OK) != 0 && NowMs() < until) {
  }
  starting.Kill();
  return access((folder + "/metadata").c_str(), F_OK) != 0;
}

/** The platform starts a process that ends again, after a short delay. */
int RunMachine1(record& out, deployment& machines, int for_ms) {
  int ends = 0;
  const std::int64_t until = NowMs() + for_ms;
  process* one = &machines.StartControl(1, false);
  while (NowMs() < until) {
    int status = 0;
    if (!one->IsRunning(&status)) {
      ++ends;
      if (ends <= 3) out.Line("machine 1: its process ended by itself, status %d", WEXITSTATUS(status));
      SleepMs(kRestartMs);
      one = &machines.StartControl(1, false);
    }
    SleepMs(20);
  }
  return ends;
}

bool RuleHeld(record& out) {
  deployment machines(out);
  std::vector<std::string> nodes;
  for (unsigned i = 0; i < 3; ++i) {
    machines.StartControl(i, true);
    nodes.push_back(machines.ControlAddress(i));
  }
  control_caller calls(nodes);
  machines.Publish(calls, Configuration(1), "configuration 1");
  machines.Publish(calls, Configuration(5), "configuration 5");
  if (!ReadBack(out, calls, 5, 10'000)) throw cannot_run("no read before the disruption");
  SleepMs(2'000);

  if (WithTrouble()) {
    out.Line("platform: machine 1 loses power and its disk");
    machines.Machine(1).Kill();
    SleepMs(1'000);
    int kills = 1;
    while (!KillAtStart(machines)) {
      if (++kills > kMostKills) throw cannot_run("no kill came in time");
      SleepMs(100);
    }
    out.Line("platform: machine 1 is killed as it starts with its empty disk (try %d)", kills);
    SleepMs(kRestartMs);
    out.Line("platform: machine 1 is left alone from now on");
    const int ends = RunMachine1(out, machines, 16'000);
    out.Line("machine 1: %d ends by itself in 16 s", ends);
    out.Line("platform: machine 2 loses power and its disk");
    machines.Machine(2).Kill();
    std::filesystem::remove_all(machines.DataFolder(2));
    SleepMs(1'000);
    out.Line("platform: machine 2 is back, with an empty disk");
    machines.StartControl(2, false);
    const int more = RunMachine1(out, machines, 24'000);
    out.Line("machine 1: %d ends by itself in 24 s", more);
  } else {
    SleepMs(24'000);
  }
  return ReadBack(out, calls, 5, 20'000);
}

}  // namespace

int main(int argc, char** argv) {
  return review::Main(argc, argv, RuleHeld);
}
