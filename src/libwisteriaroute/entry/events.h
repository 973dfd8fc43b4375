#ifndef LIBWISTERIAROUTE_ENTRY_EVENTS_H_
#define LIBWISTERIAROUTE_ENTRY_EVENTS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/config/object_set.h"
#include "libwisteriaroute/net/http_server.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/wire/control_messages.h"
#include "libwisteriaroute/wire/work_messages.h"

namespace wisteriaroute::entry {

// Events.

struct http_received {
  net::exchange_id exchange = 0;
  net::http_server_request request;
  /** Wall clock, Unix milliseconds. */
  base::time_ms wall_ms = 0;
  /** Random number that is mixed into the state's generator. */
  std::uint64_t seed = 0;
};
/**
 * The caller closed its connection before the response was complete, or its
 * stream was aborted because it read too slowly.
 */
struct caller_left {
  net::exchange_id exchange = 0;
};
struct agent_link_up {
  net::link_id link = 0;
  /** The agent's name. */
  std::string agent;
};
struct agent_link_down {
  net::link_id link = 0;
};
struct work_received {
  net::link_id link = 0;
  wire::work_message message;
};
struct control_received {
  wire::control_message message;
};
/**
 * A session with control's leader was opened, perhaps a new leader. Messages
 * that are not answered yet must be sent again.
 */
struct control_opened {};
/** A message to control was dropped because no leader is known. */
struct control_dropped {
  wire::control_message message;
};
struct lease_extended {
  /** End of the lease on the monotonic clock. */
  base::time_us until_us = 0;
};
/** A revision of the configuration was received and parsed. */
struct configuration_applied {
  std::shared_ptr<const config::object_set> set;
  std::uint64_t revision = 0;
};
/** Must occur every 20 to 100 ms; drives time-outs and resends. */
struct tick {
  /** Random number that is mixed into the state's generator. */
  std::uint64_t seed = 0;
};
/** The process was asked to stop. */
struct shutdown {};

using entry_event = std::variant<http_received,
                                 caller_left,
                                 agent_link_up,
                                 agent_link_down,
                                 work_received,
                                 control_received,
                                 control_opened,
                                 control_dropped,
                                 lease_extended,
                                 configuration_applied,
                                 tick,
                                 shutdown>;

// Effects.

/** Sends a whole response. */
struct http_respond {
  net::exchange_id exchange = 0;
  unsigned status = 0;
  net::http_headers headers;
  std::string body;
};
/** Sends the head of a response whose body follows in parts. */
struct stream_start {
  net::exchange_id exchange = 0;
  unsigned status = 0;
  net::http_headers headers;
};
struct stream_write {
  net::exchange_id exchange = 0;
  std::string data;
};
struct stream_end {
  net::exchange_id exchange = 0;
};
/** Cuts the connection, so that the caller sees an incomplete response. */
struct stream_abort {
  net::exchange_id exchange = 0;
};
/** Responds with the process's metrics. */
struct respond_metrics {
  net::exchange_id exchange = 0;
};
struct send_work {
  net::link_id link = 0;
  wire::work_message message;
};
struct send_control {
  wire::control_message message;
};
/** Opens a link to an agent and keeps it open until `undial_agent`. */
struct dial_agent {
  std::string agent;
  std::string address;
};
struct undial_agent {
  std::string agent;
};
/** Adds an event to the process's time line. */
struct add_timeline {
  std::string kind;
  std::string request_id;
  std::string group;
  std::string server;
  std::uint64_t revision = 0;
  std::string detail;
};
struct count_metric {
  std::string series;
  std::uint64_t increment = 1;
};
struct latency_metric {
  std::string name;
  base::time_us latency_us = 0;
};
/** The settle time is over; closes the listening socket. */
struct stop_listening {};
/** No requests are left; the process can exit. */
struct stopped {};

using entry_effect = std::variant<http_respond,
                                  stream_start,
                                  stream_write,
                                  stream_end,
                                  stream_abort,
                                  respond_metrics,
                                  send_work,
                                  send_control,
                                  dial_agent,
                                  undial_agent,
                                  add_timeline,
                                  count_metric,
                                  latency_metric,
                                  stop_listening,
                                  stopped>;

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_EVENTS_H_
