#ifndef SIDECAR_DAEMON_H_
#define SIDECAR_DAEMON_H_

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "libwisteriaroute/base/hlc.h"
#include "libwisteriaroute/base/metrics.h"
#include "libwisteriaroute/base/process_settings.h"
#include "libwisteriaroute/coordinator/coordinator.h"
#include "libwisteriaroute/member/control_session.h"
#include "libwisteriaroute/net/http_client.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/net/metrics_server.h"
#include "libwisteriaroute/net/settings_reload.h"
#include "libwisteriaroute/sidecar/sidecar.h"

namespace wisteriaroute::sidecar {

/** Settings of a sidecar: `[process]` and `[sidecar]`. */
struct sidecar_settings {
  base::process_settings process;
  /** `IP:port` of the server of the rank. */
  std::string server;
  std::string service;
};

/** Parses the text of a settings file; faults are added to `out`. */
sidecar_settings ParseSidecarSettings(std::string_view text,
                                      std::string_view file,
                                      base::findings& out);

/**
 * Reports the status of a rank to the coordinator of its group and forwards the
 * coordinator's orders to the rank. Coordinates the group itself while it has
 * control's grant.
 */
class daemon {
 public:
  daemon(net::loop& event_loop, sidecar_settings settings);

  /** Runs until SIGTERM or SIGINT. */
  void Run();

 private:
  member::control_session_callbacks SessionCallbacks();
  net::hub_callbacks LinkCallbacks();
  void HandleUp(net::link_id link,
                net::dial_id dial,
                const net::peer_identity& peer);
  void HandleMessage(net::link_id link, std::string_view body);
  void HandleDown(net::link_id link, std::string_view reason);
  void Follow(const std::string& address);
  void Handle(sidecar_event event);
  void Run(const sidecar_effect& effect);
  void Coordinate(const coordinator::coordinator_event& event);
  void Run(const coordinator::coordinator_effect& effect);
  /**
   * Sends a GET request to the rank's server. Calls `done` with the body, or
   * with nothing if the call failed or the status isn't 200.
   */
  void Get(const char* path,
           std::function<void(std::optional<std::string>)> done);
  void Post(const wire::rank_order& order);
  net::restart_list Reload(std::string_view text, base::findings& out);
  std::string RenderMetrics();

  net::loop& loop_;
  sidecar_settings settings_;
  std::uint64_t incarnation_;
  base::hybrid_clock clock_;
  net::link_hub hub_;
  net::http_client server_;
  std::optional<member::control_session> session_;
  sidecar_state state_;
  coordinator::coordinator_state coordinator_;
  /** The link to the coordinator on another host; 0: none. */
  net::dial_id coordinator_dial_ = 0;
  net::link_id coordinator_link_ = 0;
  std::deque<sidecar_event> events_;
  /** Whether Handle is running; events that arrive meanwhile are queued. */
  bool handling_events_ = false;
  std::optional<net::settings_reload> reload_;
  base::metrics metrics_;
  net::metrics_server metrics_server_;
  net::timer tick_;
  net::timer coordinator_tick_;
};

}  // namespace wisteriaroute::sidecar

#endif  // SIDECAR_DAEMON_H_
