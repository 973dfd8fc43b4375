#ifndef ENTRY_DAEMON_H_
#define ENTRY_DAEMON_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "libwisteriaroute/base/event_ring.h"
#include "libwisteriaroute/base/hlc.h"
#include "libwisteriaroute/base/metrics.h"
#include "libwisteriaroute/entry/configuration_mirror.h"
#include "libwisteriaroute/entry/settings.h"
#include "libwisteriaroute/entry/step.h"
#include "libwisteriaroute/member/control_session.h"
#include "libwisteriaroute/net/http_server.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/net/memory_budget.h"
#include "libwisteriaroute/net/settings_reload.h"

namespace wisteriaroute::entry {

/** Runs an entry: connects its reducer to HTTP, links and the clock. */
class daemon {
 public:
  /** Throws if the settings can't be used, such as an unreadable key file. */
  daemon(net::loop& event_loop, const settings_file& settings);

  /** Listens and blocks until the entry has stopped. */
  void Run();

 private:
  net::hub_callbacks HubCallbacks();
  net::http_server_callbacks HttpCallbacks();
  member::control_session_callbacks SessionCallbacks();
  wire::member_info Describe() const;
  /**
   * Applies changed settings. Returns what takes effect only after a restart;
   * if the file has errors, adds them to `out` and changes nothing.
   */
  net::restart_list Reload(std::string_view text, base::findings& out);

  void HandleRequest(net::exchange_id id, net::http_server_request request);
  void ReportMemory();
  void Handle(const entry_event& event);
  void HandleUp(net::link_id link,
                net::dial_id dial,
                const net::peer_identity& peer);
  void HandleMessage(net::link_id link, std::string_view body);
  void HandleAdmin(net::link_id link, const wire::admin_request& request);
  void HandleControl(const wire::control_message& message);
  void ApplyUpdate(const wire::config_update& update);
  void UpdateSession();

  // Executes an effect; one overload for each type.
  void Run(const http_respond& effect);
  void Run(const stream_start& effect);
  void Run(const stream_write& effect);
  void Run(const stream_end& effect);
  void Run(const stream_abort& effect);
  void Run(const respond_metrics& effect);
  void Run(const send_work& effect);
  void Run(const send_control& effect);
  void Run(const dial_agent& effect);
  void Run(const undial_agent& effect);
  void Run(const add_timeline& effect);
  void Run(const count_metric& effect);
  void Run(const latency_metric& effect);
  void Run(const stop_listening& effect);
  void Run(const stopped& effect);

  net::loop& loop_;
  settings_file settings_;
  std::uint64_t incarnation_;
  base::hybrid_clock clock_;
  base::event_ring timeline_;
  base::metrics metrics_;
  entry_state state_;
  configuration_mirror mirror_;
  bool was_ready_ = false;
  net::memory_budget budget_;
  net::link_hub hub_;
  net::http_server http_;
  /** What requests in progress hold. */
  std::map<net::exchange_id, net::memory_charge> held_;
  std::optional<member::control_session> session_;
  std::optional<net::settings_reload> reload_;
  std::map<std::string, net::dial_id> dials_;
  std::set<net::link_id> agent_links_;
  net::timer tick_;
  net::timer exit_;
};

}  // namespace wisteriaroute::entry

#endif  // ENTRY_DAEMON_H_
