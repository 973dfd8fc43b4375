#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <string_view>

#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/base/toml_reader.h"
#include "sidecar/daemon.h"

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace {

constexpr std::string_view kHelp =
    R"(wisteriaroute-sidecar: reports a rank of a model group to control, and passes control's orders on to it.

Usage: wisteriaroute-sidecar --settings FILE [--check-settings]

  --settings FILE    settings in TOML, with the tables [process] and [sidecar]
  --check-settings   report all faults in the settings and exit
  --help             print this text

[process]  name, region, data_center, listen, controls, cluster_key_file;
           optional: advertise, control_port, trusted_network, log_level
[sidecar]  server, service

Exit status: 0 stopped as asked, 1 the process failed, 2 wrong settings.
)";

int Run() {
  using namespace wisteriaroute;
  base::findings findings;
  const sidecar::sidecar_settings settings = sidecar::ParseSidecarSettings(
      base::ReadFile(FLAGS_settings), FLAGS_settings, findings);
  for (const base::finding& found : findings) {
    std::fprintf(stderr, "%s\n", base::ToString(found).c_str());
  }
  if (!findings.empty()) {
    return 2;
  }
  if (FLAGS_check_settings) {
    std::puts("settings are valid");
    return 0;
  }
  base::InitializeLog(settings.process.name, settings.process.log_level);
  net::loop event_loop;
  sidecar::daemon daemon(event_loop, settings);
  daemon.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (argument == "--help" || argument == "-h" || argument == "-help") {
      std::fputs(kHelp.data(), stdout);
      return 0;
    }
  }
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty()) {
    std::fputs("--settings FILE is required; see --help\n", stderr);
    return 2;
  }
  try {
    return Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "wisteriaroute-sidecar: %s\n", error.what());
    return 1;
  }
}
