#include <gflags/gflags.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

#include "control/bootstrap.h"
#include "control/daemon.h"
#include "libwisteriaroute/base/end_process.h"
#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/base/toml_reader.h"
#include "libwisteriaroute/control/settings.h"

DEFINE_string(settings, "", "TOML settings file (required)");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(bootstrap,
            false,
            "create the data directory of a first voter of a new cluster and "
            "exit; never use it for a replica that lost its disk");

namespace {

using namespace wisteriaroute;

constexpr char kUsage[] =
    "A replica of wisteriaroute's control: the replicated log, sessions of\n"
    "entries and agents, configuration and claims.\n\n"
    "  wisteriaroute-control --settings FILE --bootstrap\n"
    "  wisteriaroute-control --settings FILE\n"
    "  wisteriaroute-control --settings FILE --check-settings\n\n"
    "The settings file:\n\n"
    "  [process]\n"
    "  name = \"control-1\"\n"
    "  region = \"north\"\n"
    "  data_center = \"north-a\"\n"
    "  listen = \"10.0.0.1:7100\"\n"
    "  controls = [\"10.0.0.1:7100\", \"10.0.0.2:7100\", \"10.0.0.3:7100\"]\n"
    "  cluster_key_file = \"/etc/wisteriaroute/cluster.key\"\n\n"
    "  [control]\n"
    "  data_dir = \"/var/lib/wisteriaroute\"\n"
    "  replicas = [\n"
    "    {name = \"control-1\", address = \"10.0.0.1:7100\"},\n"
    "    {name = \"control-2\", address = \"10.0.0.2:7100\"},\n"
    "    {name = \"control-3\", address = \"10.0.0.3:7100\"},\n"
    "  ]\n\n"
    "SIGHUP, or a change of the settings file, reloads the settings;\n"
    "log_level, controls, replicas, snapshot_entries, max_pending_proposals,\n"
    "join_automatically and tolerated_losses take effect at once, the others\n"
    "at the next start. SIGTERM ends the process; a leader transfers the\n"
    "leadership first.";

int RunDaemon(control::control_settings settings) {
  base::InitializeLog(settings.process.name, settings.process.log_level);
  net::loop event_loop;
  control::daemon daemon(event_loop, std::move(settings));
  event_loop.OnSignal(SIGTERM, [&] { daemon.Shutdown(); });
  event_loop.OnSignal(SIGINT, [&] { daemon.Shutdown(); });
  daemon.Start();
  event_loop.Run();
  base::EndProcess(daemon.failure().empty() ? 0 : 1);
}

int Run() {
  if (FLAGS_settings.empty()) {
    std::cerr << "--settings FILE is required; see --help\n";
    return 2;
  }
  base::findings findings;
  control::control_settings settings = control::ParseControlSettings(
      base::ReadFile(FLAGS_settings), FLAGS_settings, findings);
  for (const base::finding& found : findings) {
    std::cerr << base::ToString(found) << "\n";
  }
  if (!findings.empty()) {
    return 2;
  }
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": settings are valid\n";
    return 0;
  }
  if (FLAGS_bootstrap) {
    // Exits here so that the flag cannot be left in a service unit: with it, a
    // replica that lost its disk would bootstrap again and vote again in terms
    // in which it has already voted.
    control::Bootstrap(settings);
    std::cout << settings.data_dir << ": initialized for "
              << settings.process.name << "\n";
    return 0;
  }
  return RunDaemon(std::move(settings));
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  std::string help;
  if (gflags::GetCommandLineOption("help", &help) && help == "true") {
    gflags::ShowUsageWithFlagsRestrict(argv[0], "control/main");
    return 0;
  }
  if (argc > 1) {
    std::cerr << "unexpected argument: " << argv[1] << "\n";
    return 2;
  }
  try {
    return Run();
  } catch (const std::exception& error) {
    std::cerr << "wisteriaroute-control: " << error.what() << "\n";
    return 1;
  }
}
