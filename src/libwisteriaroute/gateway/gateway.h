#ifndef LIBWISTERIAROUTE_GATEWAY_GATEWAY_H_
#define LIBWISTERIAROUTE_GATEWAY_GATEWAY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libwisteriaroute/base/metrics.h"
#include "libwisteriaroute/config/traffic_set.h"
#include "libwisteriaroute/gateway/cold_servers.h"
#include "libwisteriaroute/gateway/crash_watch.h"
#include "libwisteriaroute/gateway/event_framer.h"
#include "libwisteriaroute/gateway/messages.h"
#include "libwisteriaroute/gateway/retry_budget.h"
#include "libwisteriaroute/gateway/servers.h"
#include "libwisteriaroute/policy/contention.h"
#include "libwisteriaroute/policy/slowdown_reserve.h"
#include "libwisteriaroute/policy/stream_limit.h"

namespace wisteriaroute::gateway {

/** Number of a request of a caller and its response; assigned by the daemon and
 * never reused. */
using exchange_id = std::uint64_t;
/** Number of an attempt; assigned by the reducer and never reused. */
using attempt_id = std::uint64_t;

struct gateway_options {
  retry_limits retries;
  /**
   * Requests that may wait at a server beyond its slots. Servers reject
   * requests beyond a short queue.
   */
  double server_queue = 2;
  /** Minimum remaining time for which an attempt is started. */
  base::time_ms min_attempt_ms = 20;
  /** Time without an event after which a stream moves to another server. */
  base::time_ms silent_stream_ms = 1'800;
  /** Time that a group needs to run again once its last lost rank is back. */
  base::time_ms group_start_ms = 600;
  /** Whether servers outside of groups get only as many concurrent requests as
   * they are observed to handle well. */
  bool server_limits = false;
  /** Maximum size of a response that isn't a stream, and of one event of a
   * stream. A faulty server may send an unlimited number of bytes. */
  std::size_t max_response_bytes = 8 * 1024 * 1024;
  std::size_t max_event_bytes = 1024 * 1024;
};

enum class request_phase : std::uint8_t {
  /** An attempt is in progress; nothing has been sent to the caller. */
  kSent,
  /** The caller has been sent the head and at least one event. */
  kStreaming,
};

/** A caller's request that hasn't been completely answered. */
struct request_state {
  exchange_id exchange = 0;
  caller_request request;
  /** Keeps `route` alive when the configuration changes. */
  std::shared_ptr<const config::traffic_index> traffic;
  const config::route* route = nullptr;
  std::string service;
  std::string workspace;
  std::optional<int> priority;
  base::time_us arrived_us = 0;
  /** When the response is due: the earlier of the deadline and the route's
   * timeout. */
  base::time_us deadline_us = 0;
  request_phase phase = request_phase::kSent;

  attempt_id attempt = 0;
  std::string server;
  /** Incarnation of the server that the attempt was sent to. */
  std::uint64_t server_incarnation = 0;
  base::time_us attempt_started_us = 0;
  /** When the attempt has run for several times the usual time; 0: unknown, or
   * the server has responded. */
  base::time_us overdue_us = 0;
  /** Servers that the request was sent to. */
  std::set<std::string> tried_servers;
  /** Attempts that may have reached a server. */
  int attempts = 0;
  /** Whether a server may have run the request. */
  bool may_have_run = false;

  /** Head of the response to the current attempt. */
  std::optional<response_head> head;
  std::string body;
  /** Last failure response of a server after which the request was retried;
   * forwarded to the caller if no later attempt gets a usable response. */
  std::optional<response_head> failure_head;
  std::string failure_body;

  event_framer framer;
  std::optional<std::uint64_t> last_event_id;
  /** Whether the caller has been sent an event without an id. */
  bool has_unnumbered_events = false;
  base::time_us last_event_us = 0;
  /** The caller has much unread, so nothing is read from the server. */
  bool blocked = false;
  /** The next gap between events was caused by the caller. */
  bool gap_is_callers = false;
  std::uint64_t events = 0;
  /** Events of the current attempt. */
  std::uint64_t attempt_events = 0;
  base::time_us first_event_us = 0;
};

/**
 * The process is told to stop. Requests that arrive after `settled_us`, when
 * the platform sends no new callers, are taken only if they end before
 * `end_us`.
 */
struct stop_requested {
  base::time_us settled_us = 0;
  base::time_us end_us = 0;
};

struct gateway_state {
  gateway_options options;
  std::shared_ptr<const config::traffic_index> traffic;
  server_table servers;
  std::map<exchange_id, request_state> requests;
  std::map<attempt_id, exchange_id> attempts;
  std::map<std::string, retry_budget, std::less<>> budgets;
  /** Stream limits of pools that respond with streams. */
  std::map<std::string, policy::stream_limit, std::less<>> stream_limits;
  /** Reserves of pools whose servers run in passes. */
  std::map<std::string, policy::slowdown_reserve, std::less<>>
      slowdown_reserves;
  /** Competition for the capacity of each service. */
  std::map<std::string, policy::contention, std::less<>> contentions;
  /** By service; only where server_limits applies. */
  std::map<std::string, policy::peer_capacity, std::less<>> peer_capacities;
  crash_watch crashes;
  cold_watch cold;
  /** Set while the process is stopping. */
  std::optional<stop_requested> stopping;
  attempt_id next_attempt = 1;
  std::uint64_t random = 1;
};

// Events.

struct traffic_published {
  std::shared_ptr<const config::traffic_index> traffic;
};
struct options_changed {
  gateway_options options;
};
struct members_updated {
  wire::member_update update;
};
struct request_arrived {
  exchange_id exchange = 0;
  caller_request request;
};
struct caller_left {
  exchange_id exchange = 0;
};
/** The caller of a stream has much unread, or has read most of it. */
struct stream_blocked {
  exchange_id exchange = 0;
  bool blocked = false;
};
/** There is no memory for the answer that is being received. */
struct answer_shed {
  exchange_id exchange = 0;
};
struct attempt_head {
  attempt_id attempt = 0;
  response_head head;
};
struct attempt_data {
  attempt_id attempt = 0;
  std::string data;
};
struct attempt_ended {
  attempt_id attempt = 0;
  /** Whether a complete response was received. */
  bool ok = false;
  /** Nothing was sent to the server. */
  bool never_sent = false;
  std::string error;
};
/** The result of probe_server. */
struct probe_ended {
  std::string server;
  std::uint64_t incarnation = 0;
  /** The host answered that nothing listens at the address. */
  bool refused = false;
};
struct quarantine_changed {
  wire::quarantine_update update;
};
/** Another entry has seen that a server crashed. */
struct server_crash_reported {
  wire::server_crash crash;
};
/** A session with a leader of control was opened. */
struct control_opened {};
/** Control has acknowledged a heartbeat, so what it sent before has been read.
 */
struct control_confirmed {};
/** `end_us` of stop_requested has come: all requests in progress end now. */
struct stop_due {};
/** Due every kGatewayTickUs while NeedsTick(). */
struct gateway_tick {};

inline constexpr base::time_us kGatewayTickUs = 50'000;

using gateway_event = std::variant<traffic_published,
                                   options_changed,
                                   members_updated,
                                   request_arrived,
                                   caller_left,
                                   stream_blocked,
                                   answer_shed,
                                   attempt_head,
                                   attempt_data,
                                   attempt_ended,
                                   probe_ended,
                                   quarantine_changed,
                                   server_crash_reported,
                                   control_opened,
                                   control_confirmed,
                                   stop_requested,
                                   stop_due,
                                   gateway_tick>;

// Effects.

struct start_attempt {
  attempt_id attempt = 0;
  exchange_id exchange = 0;
  /** `IP:port` of the server. */
  std::string address;
  attempt_terms terms;
  /** Whether a connection that has been idle for a while may be used. */
  bool may_use_idle = false;
};
struct cancel_attempt {
  attempt_id attempt = 0;
};
/** Connect to a server and close the connection, without a request. */
struct probe_server {
  std::string server;
  std::uint64_t incarnation = 0;
  /** `IP:port` of the server. */
  std::string address;
};
/** Send a message to the leader of control; lost if none is known. */
struct send_control {
  wire::control_message message;
};
/** Respond with an error of the gateway itself. */
struct refuse {
  exchange_id exchange = 0;
  unsigned status = 503;
  std::string code;
  /** Time after which the caller may retry; 0: not stated. */
  base::time_ms retry_after_ms = 0;
};
/** Forward a server's complete response. */
struct relay {
  exchange_id exchange = 0;
  unsigned status = 0;
  net::http_headers headers;
  std::string body;
};
struct start_stream {
  exchange_id exchange = 0;
  unsigned status = 0;
  net::http_headers headers;
};
struct write_stream {
  exchange_id exchange = 0;
  std::string data;
};
struct end_stream {
  exchange_id exchange = 0;
};
/** Close the caller's connection before its response is complete. */
struct abort_stream {
  exchange_id exchange = 0;
};
/** Write an event to the log. */
struct note {
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};

/** Increment a counter; `series` includes its labels. */
struct count {
  std::string series;
};
/** Record a latency in a histogram. */
struct measure {
  const char* name = "";
  base::time_us latency_us = 0;
};

using gateway_effect = std::variant<start_attempt,
                                    cancel_attempt,
                                    probe_server,
                                    send_control,
                                    refuse,
                                    relay,
                                    start_stream,
                                    write_stream,
                                    end_stream,
                                    abort_stream,
                                    note,
                                    count,
                                    measure>;
using gateway_effects = std::vector<gateway_effect>;

/** Applies one event to the state and returns the effects to carry out. Never
 * throws. */
gateway_effects Step(gateway_state& state,
                     const gateway_event& event,
                     base::time_us now_us);

/** Whether gateway_tick events are due. */
bool NeedsTick(const gateway_state& state);

/** Sets the gauges to the current state of the gateway. */
void ReportGauges(gateway_state& state,
                  base::time_us now_us,
                  base::metrics& out);

/** Number of cold servers of each service that limits them. */
std::map<std::string, int> CountCold(const gateway_state& state,
                                     base::time_us now_us);

/** Whether the gateway can serve: it has a configuration and knows a server. */
bool IsReady(const gateway_state& state);

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_GATEWAY_H_
