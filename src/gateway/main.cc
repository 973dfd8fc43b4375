#include <string_view>

#include "gateway/daemon.h"
#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/base/program.h"
#include "libwisteriaroute/net/memory_budget.h"

namespace {

constexpr std::string_view kHelp =
    R"(wisteriaroute-gateway: forwards requests to backend servers that report directly to control.

Usage: wisteriaroute-gateway --settings FILE [--check-settings]

  --settings FILE    settings in TOML, with the tables [process] and [gateway]
  --check-settings   report all errors in the settings and exit
  --help             print this text

[process]  name, region, data_center, listen, controls, cluster_key_file;
           optional: advertise, control_port, learn_controls, trusted_network,
           listen_metrics, log_level, protocol
[gateway]  listen_http, listen_ready; optional: max_connections, memory_mb,
           max_fds, send_timeout_ms,
           serve_without_quorum, settle_ms, drain_limit_ms, retry_ratio,
           retry_floor, retry_window_ms, server_queue, silent_stream_ms,
           group_start_ms, server_limits

SIGHUP, or a change of the settings file, reloads the settings; those that can
change at run time take effect at once, the log names those that need a restart.
SIGTERM: the readiness check fails at once, new connections are still accepted
for settle_ms; the process exits when its requests are answered, or after
drain_limit_ms.

Exit status: 0 stopped as asked, 1 the process failed, 2 wrong settings.
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace wisteriaroute;
  gateway::gateway_settings settings;
  return base::RunProgram(
      argc, argv,
      {.name = "wisteriaroute-gateway",
       .help = kHelp,
       .read_settings =
           [&](std::string_view text, std::string_view file,
               base::findings& out) {
             settings = gateway::ParseGatewaySettings(text, file, out);
           },
       .run =
           [&] {
             base::InitializeLog(settings.process.name,
                                 settings.process.log_level);
             net::ReturnFreedMemory();
             net::loop event_loop;
             gateway::daemon daemon(event_loop, settings);
             daemon.Run();
           }});
}
