#ifndef LIBWISTERIAROUTE_AGENT_DAEMON_H_
#define LIBWISTERIAROUTE_AGENT_DAEMON_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "libwisteriaroute/agent/agent.h"
#include "libwisteriaroute/agent/engine_client.h"
#include "libwisteriaroute/agent/settings.h"
#include "libwisteriaroute/base/hlc.h"
#include "libwisteriaroute/base/metrics.h"
#include "libwisteriaroute/member/control_session.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/net/metrics_server.h"
#include "libwisteriaroute/net/settings_reload.h"

namespace wisteriaroute::agent {

/** Turns I/O into events for the reducer and performs its effects. */
class daemon {
 public:
  /** Throws if listening on the address or reading a file fails. */
  daemon(net::loop& event_loop, agent_settings settings);

  /** Address on which the agent accepts links. */
  const std::string& address() const { return address_; }

  /**
   * Announces that the agent is leaving and refuses new attempts, waits up to
   * `stop_limit_us` for those in progress, then stops the loop.
   */
  void Stop();

 private:
  enum class peer_kind { kEntry, kAdmin };

  net::hub_callbacks HubCallbacks();
  void HandleUp(net::link_id link,
                net::dial_id dial,
                const net::peer_identity& peer);
  void HandleMessage(net::link_id link, std::string_view body);
  void HandleAdmin(net::link_id link, std::string_view body);
  void HandleDown(net::link_id link);
  wire::member_info MemberInfo(const update_member& update) const;
  /**
   * Applies the log level and `controls`. Returns the changed keys of
   * `[process]`, and `backend_url`, if they need a restart; other keys of
   * `[agent]` are not compared. Reports invalid settings in `out` and applies
   * nothing then.
   */
  net::restart_list Reload(std::string_view text, base::findings& out);

  /** Queues an event and performs the effects of all queued events in order. */
  void Handle(agent_event event);
  void Run(const start_call& effect) { engine_.Start(effect); }
  void Run(const cancel_call& effect) { engine_.Cancel(effect); }
  void Run(const poll_backend& effect) { engine_.Poll(effect); }
  void Run(const forward_order& effect) { engine_.ForwardOrder(effect); }
  void Run(const send_work& effect);
  void Run(const close_link& effect);
  void Run(const send_control& effect);
  void Run(const update_member& effect);
  void Run(const record_event& effect);
  void Run(const count_metric& effect);
  void Run(const stop_process& effect);

  net::loop& event_loop_;
  agent_settings settings_;
  base::hybrid_clock clock_;
  base::event_ring timeline_;
  base::metrics metrics_;
  std::uint64_t process_incarnation_ = base::RandomU64();
  agent_state state_;
  engine_client engine_;
  net::link_hub hub_;
  std::string address_;
  std::map<net::link_id, peer_kind> peers_;
  std::unique_ptr<member::control_session> session_;
  std::optional<net::settings_reload> reload_;
  net::metrics_server metrics_server_;
  std::deque<agent_event> events_;
  bool handling_ = false;
  net::timer tick_;
  net::timer exit_;
  net::timer release_pages_;
};

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_DAEMON_H_
