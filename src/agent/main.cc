#include <gflags/gflags.h>

#include <csignal>
#include <exception>
#include <iostream>

#include "libwisteriaroute/agent/daemon.h"
#include "libwisteriaroute/base/end_process.h"
#include "libwisteriaroute/base/log.h"

DEFINE_string(settings, "", "TOML settings file");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

using namespace wisteriaroute;

int Run() {
  if (FLAGS_settings.empty()) {
    std::cerr << "--settings FILE is required; see --help\n";
    return 2;
  }
  agent::agent_settings settings;
  try {
    settings =
        agent::ParseSettings(base::ReadFile(FLAGS_settings), FLAGS_settings);
  } catch (const base::findings_error& error) {
    for (const base::finding& found : error.all()) {
      std::cerr << base::ToString(found) << "\n";
    }
    return 2;
  }
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": no faults\n";
    return 0;
  }
  base::InitializeLog(settings.process.name, settings.process.log_level);
  net::loop event_loop;
  agent::daemon daemon(event_loop, std::move(settings));
  event_loop.OnSignal(SIGTERM, [&] { daemon.Stop(); });
  event_loop.OnSignal(SIGINT, [&] { daemon.Stop(); });
  std::cout << "listening " << daemon.address() << std::endl;
  event_loop.Run();
  base::EndProcess(0);
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Runs beside one backend server, registers it with control and passes\n"
      "work and orders to it.\n"
      "  wisteriaroute-agent --settings FILE [--check-settings]\n"
      "SIGTERM: accepts nothing new, finishes what runs, then exits with 0.\n"
      "Settings, with [process] as for all processes:\n"
      "  [agent]\n"
      "  backend_url = \"http://127.0.0.1:8000\"   # the backend server\n"
      "  class = \"engine\"                        # backend class\n"
      "  group = \"chat\"                          # or: service = \"desk\"\n"
      "  rank = 0                                # rank within the group\n"
      "  models = [\"chat-large\"]\n"
      "  slots = 0            # attempts at once; 0: as the engine reports\n"
      "  queue = 8            # attempts that wait for a slot\n"
      "  stop_limit_ms = 60000\n"
      "  health_path = \"/health\"\n"
      "Also: window_ms, orphan_ms, call_timeout_ms, silent_ms, tail_bytes,\n"
      "kept_bytes.");
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  try {
    std::string help;
    if (gflags::GetCommandLineOption("help", &help) && help == "true") {
      gflags::ShowUsageWithFlagsRestrict(argv[0], "agent/main");
      return 0;
    }
    if (argc > 1) {
      std::cerr << "unexpected argument: " << argv[1] << "\n";
      return 2;
    }
    return Run();
  } catch (const std::exception& error) {
    std::cerr << "wisteriaroute-agent: " << error.what() << "\n";
    return 1;
  }
}
