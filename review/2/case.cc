// A core machine has been replaced as planned; then another one loses its disk.
// Can the configuration that was acknowledged still be read?

#include "../standin/standin.h"

namespace {

using namespace review;

constexpr int kCatchUpMs = 4'000;   // bounds.catch_up_s
constexpr int kWipedDownMs = 1'000;

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

/** Reads the configuration back, as the operator does, until it comes. */
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

bool RuleHeld(record& out) {
  deployment machines(out);
  std::vector<std::string> nodes;
  for (unsigned i = 0; i < 3; ++i) {
    machines.StartControl(i, true);
    nodes.push_back(machines.ControlAddress(i));
  }
  control_caller first_calls(nodes);
  machines.Publish(first_calls, Configuration(1), "configuration 1");
  machines.Publish(first_calls, Configuration(5), "configuration 5");
  if (!ReadBack(out, first_calls, 5, 10'000)) throw cannot_run("no read before the disruption");
  SleepMs(2'000);

  if (WithTrouble()) {
    nodes[2] = machines.ControlAddress(3);  // the operator's list from now on
    out.Line("platform: machine 3 is added, at a new address and with an empty disk");
    machines.ChangeSeeds({0, 1, 3}, {0, 1, 2});
    machines.StartControl(3, false);
    SleepMs(2 * kCatchUpMs);
    out.Line("platform: machine 2, its predecessor, is removed for good");
    machines.Machine(2).Kill();
    SleepMs(1'000);
    out.Line("platform: machine 1 loses power and its disk");
    machines.Machine(1).Kill();
    std::filesystem::remove_all(machines.DataFolder(1));
    SleepMs(kWipedDownMs);
    out.Line("platform: machine 1 is back, with an empty disk");
    machines.StartControl(1, false);
  }
  // recovery_s is 12 and contact_ms 3,000; here all of them twice.
  SleepMs(24'000);
  control_caller calls(nodes);
  const bool read = ReadBack(out, calls, 5, 20'000);
  for (unsigned i = 0; i < (WithTrouble() ? 4U : 3U); ++i) {
    out.Line("machine %u %s", i, machines.Machine(i).IsRunning() ? "runs" : "doesn't run");
  }
  return read;
}

}  // namespace

int main(int argc, char** argv) {
  return review::Main(argc, argv, RuleHeld);
}
