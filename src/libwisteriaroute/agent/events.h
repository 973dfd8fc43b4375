#ifndef LIBWISTERIAROUTE_AGENT_EVENTS_H_
#define LIBWISTERIAROUTE_AGENT_EVENTS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/base/event_ring.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/wire/control_messages.h"
#include "libwisteriaroute/wire/work_messages.h"

namespace wisteriaroute::agent {

// Inputs of the reducer.

struct entry_up {
  net::link_id link = 0;
};
struct entry_down {
  net::link_id link = 0;
};
struct entry_received {
  net::link_id link = 0;
  wire::work_message message;
};

/** Status and headers of a response. */
struct call_head {
  wire::attempt_id attempt;
  std::uint16_t status = 0;
  wire::header_list headers;
};
struct call_data {
  wire::attempt_id attempt;
  /** Tokens in `data`; 0 if `data` is part of a plain body. */
  std::uint32_t token_count = 0;
  std::string data;
};
struct call_finished {
  wire::attempt_id attempt;
  std::string reason;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
  std::uint32_t cached_tokens = 0;
};
enum class call_failure : std::uint8_t {
  /** Nothing was sent: the backend server has not seen the request. */
  kNeverSent,
  /** The connection closed before the response was complete. */
  kBroken,
  /** The response violates the engine protocol. */
  kMalformed,
};
struct call_failed {
  wire::attempt_id attempt;
  call_failure failure = call_failure::kBroken;
};

/** Result of a health poll. */
struct health_result {
  std::uint64_t poll = 0;
  bool ok = false;
  /**
   * No connection was made: it was refused, so the process is gone, or the
   * connect timed out.
   */
  bool refused = false;
  /** Changes when the server restarts; empty if it reports none. */
  std::string instance;
};
/** Result of a load poll; `load` is empty if the poll failed. */
struct load_result {
  bool ok = false;
  wire::load_report load;
};
/** One change of the prefix cache of the engine. */
struct cache_change {
  std::uint64_t sequence = 0;
  bool added = false;
  std::uint64_t block = 0;
};
struct cache_result {
  std::vector<cache_change> changes;
};
struct group_result {
  bool ok = false;
  wire::group_report report;
};
struct order_answered {
  std::uint64_t order_id = 0;
  /** Nothing was sent; control may repeat the order. */
  bool never_sent = false;
  wire::order_status result = wire::order_status::kFailed;
  std::uint64_t step = 0;
  std::string message;
};

/** A quorum confirmed the lease and the lowest valid fencing number. */
struct lease_extended {
  base::time_us until_us = 0;
  wire::fencing_number fencing;
};
struct control_received {
  wire::control_message message;
};
struct session_opened {};
/** Planned stop of the process, on SIGTERM or SIGINT. */
struct stop_requested {};
struct tick {};

using agent_event = std::variant<entry_up,
                                 entry_down,
                                 entry_received,
                                 call_head,
                                 call_data,
                                 call_finished,
                                 call_failed,
                                 health_result,
                                 load_result,
                                 cache_result,
                                 group_result,
                                 order_answered,
                                 lease_extended,
                                 control_received,
                                 session_opened,
                                 stop_requested,
                                 tick>;

// Outputs of the reducer.

/**
 * Sends a request to the backend server. The response of a generation starts at
 * token offset `resume_from`.
 */
struct start_call {
  std::shared_ptr<const wire::submit> work;
  std::uint64_t resume_from = 0;
  /** Replaces a stalled or lost connection of the same attempt. */
  bool is_reconnect = false;
};
/** Ends a call; no event for it may follow. */
struct cancel_call {
  wire::attempt_id attempt;
};
struct send_work {
  net::link_id link = 0;
  wire::work_message message;
};
struct close_link {
  net::link_id link = 0;
  std::string reason;
};
struct send_control {
  wire::control_message message;
};
/** The agent's description or revision changed. */
struct update_member {
  wire::backend_info backend;
  bool leaving = false;
  std::uint64_t revision = 0;
  bool ready = false;
};
enum class poll_kind : std::uint8_t { kHealth, kLoad, kCache, kGroup };
struct poll_backend {
  poll_kind kind = poll_kind::kHealth;
  /** Health poll: its number. Cache poll: the last sequence number seen. */
  std::uint64_t number = 0;
};
/** Sends an order to the backend server. */
struct forward_order {
  wire::order order;
};
/** Adds an event to the timeline; logs it as well if it is a state change. */
struct record_event {
  std::string kind;
  std::string request_id;
  std::string detail;
  bool state_change = false;
};
struct count_metric {
  std::string series;
};
struct stop_process {};

using agent_effect = std::variant<start_call,
                                  cancel_call,
                                  send_work,
                                  close_link,
                                  send_control,
                                  update_member,
                                  poll_backend,
                                  forward_order,
                                  record_event,
                                  count_metric,
                                  stop_process>;

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_EVENTS_H_
