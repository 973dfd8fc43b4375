// Measures the cost of member sessions for the control replicas of a running
// system: processor time, memory and received bytes, at several numbers of
// members that this process simulates. Needs the endpoints.json of a running
// `scripts/demo up DIR`. Several benches may run in parallel if one core can't
// simulate all members.
//
//   session_bench DIR/endpoints.json [SECONDS] [MEMBERS...]

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "libwisteriaroute/base/process_settings.h"
#include "libwisteriaroute/base/toml_reader.h"
#include "libwisteriaroute/member/control_session.h"

namespace wisteriaroute::bench {
namespace {

// Sessions are opened in batches, like those of processes that start one by
// one.
constexpr std::size_t kOpenedAtOnce = 50;
constexpr base::time_us kSettleUs = 3'000'000;

struct process_usage {
  double cpu_s = 0;
  double resident_kb = 0;
  double read_bytes = 0;
};

process_usage Usage(int pid) {
  const std::string folder = "/proc/" + std::to_string(pid);
  process_usage usage;
  const std::string stat = base::ReadFile(folder + "/stat");
  std::istringstream fields(stat.substr(stat.rfind(')') + 2));
  std::vector<std::string> words;
  for (std::string word; fields >> word;) {
    words.push_back(word);
  }
  usage.cpu_s = (std::stod(words[11]) + std::stod(words[12])) /
                static_cast<double>(sysconf(_SC_CLK_TCK));
  const std::string status = base::ReadFile(folder + "/status");
  usage.resident_kb = std::stod(status.substr(status.find("VmRSS:") + 6));
  const std::string io = base::ReadFile(folder + "/io");
  usage.read_bytes = std::stod(io.substr(io.find("rchar:") + 6));
  return usage;
}

/** A simulated entry with its own link hub and session. */
struct simulated_member {
  simulated_member(net::loop& event_loop,
                   const std::vector<std::string>& controls,
                   const std::string& key,
                   std::size_t number)
      : info{.name = "bench-" + std::to_string(getpid()) + "-" +
                     std::to_string(number),
             .incarnation = number + 1},
        hub({.event_loop = &event_loop,
             .self = {.name = info.name, .role = "entry"},
             .cluster_key = key,
             .clock = &clock},
            {.on_up =
                 [this](net::link_id link,
                        net::dial_id dial,
                        const net::peer_identity& peer) {
                   session->HandleUp(link, dial, peer);
                 },
             .on_message =
                 [this](net::link_id link, std::string_view body) {
                   session->HandleMessage(link, body);
                 },
             .on_down = [this](
                            net::link_id link,
                            std::string_view) { session->HandleDown(link); }}) {
    session = std::make_unique<member::control_session>(
        event_loop, hub, controls, info,
        member::control_session_callbacks{
            .on_message =
                [this](const wire::control_message& message) {
                  ApplyConfig(message);
                },
            .on_lease = [this](base::time_us until_us,
                               const auto&) { lease_until_us = until_us; }});
  }

  void ApplyConfig(const wire::control_message& message) {
    if (const auto* update = std::get_if<wire::config_update>(&message)) {
      session->Update(info, update->revision, true);
    }
  }

  wire::member_info info;
  base::hybrid_clock clock;
  std::unique_ptr<member::control_session> session;
  base::time_us lease_until_us = 0;
  net::link_hub hub;
};

void RunFor(net::loop& event_loop, base::time_us duration_us) {
  net::timer stop(event_loop.ev(), [&] { event_loop.Stop(); });
  stop.Start(duration_us);
  event_loop.Run();
}

struct control_endpoints {
  std::vector<std::string> addresses;
  std::vector<std::pair<std::string, int>> pids;
  std::string key;
};

control_endpoints ReadEndpoints(std::string_view path) {
  const auto json = nlohmann::json::parse(base::ReadFile(path));
  control_endpoints result;
  result.addresses = json.at("controls");
  for (const auto& process : json.at("processes")) {
    const std::string name = process.at("name");
    if (name.starts_with("control-")) {
      result.pids.emplace_back(name, process.at("pid"));
    }
  }
  result.key =
      base::ReadClusterKey(json.at("cluster_key_file").get<std::string>());
  return result;
}

void Measure(const control_endpoints& where,
             std::size_t members,
             base::time_us duration_us) {
  net::loop event_loop;
  std::vector<std::unique_ptr<simulated_member>> simulated;
  while (simulated.size() < members) {
    for (std::size_t i = 0; i < kOpenedAtOnce && simulated.size() < members;
         ++i) {
      simulated.push_back(std::make_unique<simulated_member>(
          event_loop, where.addresses, where.key, simulated.size()));
    }
    RunFor(event_loop, 100'000);
  }
  RunFor(event_loop, kSettleUs);
  std::vector<process_usage> before;
  for (const auto& [name, pid] : where.pids) {
    before.push_back(Usage(pid));
  }
  const process_usage own = Usage(getpid());
  RunFor(event_loop, duration_us);
  const double seconds = static_cast<double>(duration_us) / 1e6;
  std::size_t leased = 0;
  for (const auto& each : simulated) {
    leased += each->lease_until_us > base::MonotonicUs() ? 1 : 0;
  }
  std::printf("%zu members, %zu with a lease, received by a member %.0f B/s\n",
              members, leased,
              (Usage(getpid()).read_bytes - own.read_bytes) / seconds /
                  static_cast<double>(members));
  for (std::size_t i = 0; i < where.pids.size(); ++i) {
    const process_usage after = Usage(where.pids[i].second);
    std::printf("  %s: %.2f%% of a core, %.1f MB resident, received %.0f B/s\n",
                where.pids[i].first.c_str(),
                100 * (after.cpu_s - before[i].cpu_s) / seconds,
                after.resident_kb / 1024,
                (after.read_bytes - before[i].read_bytes) / seconds);
  }
  std::fflush(stdout);
}

}  // namespace
}  // namespace wisteriaroute::bench

int main(int argc, char** argv) {
  using namespace wisteriaroute::bench;
  if (argc < 2) {
    std::fprintf(stderr,
                 "usage: session_bench ENDPOINTS [SECONDS] [MEMBERS...]\n");
    return 2;
  }
  const auto where = ReadEndpoints(argv[1]);
  const long seconds = argc > 2 ? std::strtol(argv[2], nullptr, 10) : 10;
  std::vector<std::size_t> sizes = {100, 300, 900, 2'700};
  if (argc > 3) {
    sizes.clear();
    for (int i = 3; i < argc; ++i) {
      sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    }
  }
  for (const std::size_t members : sizes) {
    Measure(where, members, seconds * 1'000'000);
  }
  return 0;
}
