#include <string_view>

#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/base/program.h"
#include "sidecar/daemon.h"

namespace {

constexpr std::string_view kHelp =
    R"(wisteriaroute-sidecar: reports a rank of a model group to the group's
coordinator, forwards the coordinator's orders to the rank, and coordinates the
group if control grants that.

Usage: wisteriaroute-sidecar --settings FILE [--check-settings]

  --settings FILE    settings in TOML, with the tables [process] and [sidecar]
  --check-settings   report all faults in the settings and exit
  --help             print this text

[process]  name, region, data_center, listen, controls, cluster_key_file;
           optional: advertise, control_port, learn_controls, trusted_network,
           listen_metrics, log_level
[sidecar]  server, service

SIGHUP, or a change of the file: log_level and controls are in force at once.

Exit status: 0 stopped as asked, 1 the process failed, 2 wrong settings.
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace wisteriaroute;
  sidecar::sidecar_settings settings;
  return base::RunProgram(
      argc, argv,
      {.name = "wisteriaroute-sidecar",
       .help = kHelp,
       .read_settings =
           [&](std::string_view text, std::string_view file,
               base::findings& out) {
             settings = sidecar::ParseSidecarSettings(text, file, out);
           },
       .run =
           [&] {
             base::InitializeLog(settings.process.name,
                                 settings.process.log_level);
             net::loop event_loop;
             sidecar::daemon daemon(event_loop, settings);
             daemon.Run();
           }});
}
