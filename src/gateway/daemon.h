#ifndef GATEWAY_DAEMON_H_
#define GATEWAY_DAEMON_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "gateway/settings.h"
#include "libwisteriaroute/base/hlc.h"
#include "libwisteriaroute/base/metrics.h"
#include "libwisteriaroute/gateway/gateway.h"
#include "libwisteriaroute/member/control_session.h"
#include "libwisteriaroute/net/http_client.h"
#include "libwisteriaroute/net/http_server.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/net/memory_budget.h"
#include "libwisteriaroute/net/metrics_server.h"
#include "libwisteriaroute/net/settings_reload.h"
#include "protocol/protocol.h"

namespace wisteriaroute::gateway {

/**
 * Forwards requests to backend servers that report directly to control, without
 * agents. Translates I/O into events of the reducer and its effects into I/O.
 */
class daemon {
 public:
  daemon(net::loop& event_loop, gateway_settings settings);

  /**
   * Runs until SIGTERM or SIGINT. Then fails the readiness check, accepts new
   * connections for settle_ms, and returns when all caller connections are
   * closed or drain_limit_ms has passed.
   */
  void Run();

 private:
  /** A request in progress, kept to be sent in further attempts. */
  struct open_request {
    explicit open_request(net::memory_budget* budget)
        : held(budget, net::memory_use::kRequests),
          answer(budget, net::memory_use::kAnswers) {}

    net::http_server_request request;
    net::memory_charge held;
    net::memory_charge answer;
    /** Transfer of the latest attempt. */
    net::transfer_id transfer = 0;
    /** The caller has much unread, so the server's answer isn't read. */
    bool blocked = false;
  };

  net::http_server_callbacks CallerCallbacks();
  member::control_session_callbacks SessionCallbacks();
  wire::member_info Describe() const;

  void HandleRequest(net::exchange_id exchange,
                     net::http_server_request request);
  void HandleReadinessCheck(net::exchange_id exchange);
  void HandleControl(const wire::control_message& message);
  void HandleDocument(const wire::config_update& update);
  void SetCallerLimits();

  void Handle(gateway_event event);
  void Run(const gateway_effect& effect);
  void Start(const start_attempt& attempt);
  /** Stops or restarts reading the answer to a stream's request. */
  void SetBlocked(net::exchange_id exchange, bool blocked);
  /** Counts what is held of an answer; gives the answer up above the budget. */
  void AccountAnswer(net::exchange_id exchange);
  /** Gives up the answer of which most is held; returns whether it was large.
   */
  bool ShedLargestAnswer();
  void ShedAnswer(net::exchange_id exchange);
  void Probe(const probe_server& probe);
  void SendRefusal(const refuse& answer);
  void WriteToCaller(const write_stream& chunk);

  /**
   * Applies changed settings that can change at run time. Returns those that
   * need a restart.
   */
  net::restart_list Reload(std::string_view text, base::findings& out);
  std::string RenderMetrics();
  void ReportMemory();

  bool IsReadyNow() const;
  void UpdateSession();
  void Stop();
  void StopIfDrained();

  net::loop& loop_;
  gateway_settings settings_;
  protocol::any_protocol protocol_;
  std::uint64_t incarnation_;
  base::hybrid_clock clock_;
  net::memory_budget budget_;
  net::link_hub hub_;
  net::http_server caller_server_;
  net::http_server readiness_server_;
  net::http_client backend_client_;
  std::optional<member::control_session> session_;
  std::optional<net::settings_reload> reload_;
  base::metrics metrics_;
  net::metrics_server metrics_server_;
  gateway_state state_;
  std::deque<gateway_event> events_;
  bool handling_events_ = false;
  bool tick_active_ = false;
  std::map<exchange_id, open_request> requests_;
  std::map<attempt_id, net::transfer_id> transfers_;
  net::timer tick_;
  net::timer drain_timer_;
  std::uint64_t revision_ = 0;
  base::time_us lease_until_us_ = 0;
  /** When SIGTERM or SIGINT was received; 0 if neither was. */
  base::time_us stop_requested_us_ = 0;
  /** The drain limit has passed, and all requests were answered. */
  bool ended_ = false;
};

}  // namespace wisteriaroute::gateway

#endif  // GATEWAY_DAEMON_H_
