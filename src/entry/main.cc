#include <string_view>

#include "entry/daemon.h"
#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/base/program.h"
#include "libwisteriaroute/net/memory_budget.h"

namespace {

constexpr std::string_view kHelp =
    R"(wisteriaroute-entry: accepts requests of callers and sends them to backend servers.

Usage: wisteriaroute-entry --settings FILE [--check-settings]

  --settings FILE    settings in TOML, with the tables [process] and [entry]
  --check-settings   report all faults in the settings and exit
  --help             print this text

[process]  name, region, data_center, listen, controls, cluster_key_file;
           optional: advertise, learn_controls, log_level
[entry]    listen_http; optional: max_header_bytes, max_body_bytes,
           max_connections, max_queue, default_deadline_ms, settle_ms,
           drain_limit_ms, reattach_ms, retry_percent, retry_floor

SIGHUP, or a change of the file: log_level and controls are in force at once.
SIGTERM: /readyz fails at once, new requests are still taken for settle_ms,
then refused; the process exits when its requests are answered, or after
drain_limit_ms.

Exit status: 0 stopped as asked, 1 the process failed, 2 wrong settings.
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace wisteriaroute;
  entry::settings_file settings;
  return base::RunProgram(
      argc, argv,
      {.name = "wisteriaroute-entry",
       .help = kHelp,
       .read_settings =
           [&](std::string_view text, std::string_view file,
               base::findings& out) {
             settings = entry::ParseSettings(text, file, out);
           },
       .run =
           [&] {
             base::InitializeLog(settings.process.name,
                                 settings.process.log_level);
             net::ReturnFreedMemory();
             net::loop event_loop;
             entry::daemon daemon(event_loop, settings);
             daemon.Run();
           }});
}
