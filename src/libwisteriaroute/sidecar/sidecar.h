#ifndef LIBWISTERIAROUTE_SIDECAR_SIDECAR_H_
#define LIBWISTERIAROUTE_SIDECAR_SIDECAR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/sidecar/placement_cache.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::sidecar {

/** Tokens that the rank has counted since it started, by set and expert. */
struct expert_counts {
  std::uint64_t formation = 0;
  /** Last step that the rank started. */
  std::uint64_t step = 0;
  std::vector<std::uint64_t> totals;
};

/** Experts that the rank holds in the map in use, by set. */
struct expert_lists {
  std::uint64_t formation = 0;
  std::uint64_t map_version = 0;
  std::vector<wire::expert_list> experts;
};

/** State of the sidecar of one rank. Changed only by Step. */
struct sidecar_state {
  /** Name of this process among the members, and its incarnation. */
  std::string name;
  std::uint64_t incarnation = 0;
  /** The service whose server runs here, and the server's `IP:port`. */
  std::string service;
  std::string server;
  wire::rank_status status;
  /** The status last sent to the coordinator. */
  wire::rank_status last_sent_status;
  /** Counts at the start of the current window; unset between windows. */
  std::optional<expert_counts> window_start;
  base::time_us window_start_us = 0;
  /** Number of counters of the rank; 0: unknown. */
  std::size_t counter_count = 0;
  /** Counts of the last window until they are sent. */
  std::vector<std::uint32_t> window_tokens;
  std::uint64_t window_first_step = 0;
  std::uint64_t window_last_step = 0;
  placement_cache placements;
  /** The last version that the rank was ordered to prepare. */
  std::uint64_t ordered_version = 0;
  std::optional<expert_lists> lists;
  /** When the lists are next sent to the coordinator. */
  base::time_us next_lists_us = 0;
  /** The latest grant from control for the group of the rank. */
  std::optional<wire::coordinator_grant> grant;
  /**
   * Whether the coordinator can be reached: the link to it is up, or it is this
   * process.
   */
  bool coordinator_reachable = false;
  base::time_us link_changed_us = 0;
  wire::rank_presence last_sent_presence;
  base::time_us next_presence_us = 0;
  /** Orders of lower terms are refused; without a grant, all orders are. */
  std::uint64_t highest_term = 0;
  /** `highest_term` when the current status poll began. */
  std::uint64_t poll_term = 0;
  bool polling_status = false;
  /** The status may have changed after the current poll began. */
  bool poll_status_again = false;
  bool polling_counts = false;
  bool polling_lists = false;
  /** When the rank last answered a status poll; 0: never. */
  base::time_us last_status_us = 0;
  /** Whether the last status poll was answered. */
  bool rank_reachable = false;
  base::time_us next_status_us = 0;
  base::time_us next_counts_us = 0;
  base::time_us next_send_us = 0;
  /** Until then the status is polled faster: a map change is in progress. */
  base::time_us busy_until_us = 0;
};

// Events.

/** The rank answered; `ok` is false if there was no readable answer. */
struct status_polled {
  bool ok = false;
  wire::rank_status status;
};
struct counts_polled {
  bool ok = false;
  expert_counts counts;
};
struct lists_polled {
  bool ok = false;
  expert_lists lists;
};
/** An order of the coordinator arrived. */
struct order_received {
  wire::rank_order order;
};
/** An order to the rank was answered or failed. */
struct order_answered {
  wire::rank_order_kind kind = wire::rank_order_kind::kPrepare;
  /** HTTP status; 0: no answer. */
  unsigned status = 0;
};
/**
 * A session with a (new) leader of control was opened. The leader knows nothing
 * about the rank yet.
 */
struct control_opened {};
struct grant_received {
  wire::coordinator_grant grant;
};
/** The link to the coordinator came up or went down. */
struct coordinator_link_changed {
  bool up = false;
};
/** Occurs every kSidecarTickUs. */
struct sidecar_tick {};

inline constexpr base::time_us kSidecarTickUs = 10'000;

using sidecar_event = std::variant<status_polled,
                                   counts_polled,
                                   lists_polled,
                                   order_received,
                                   order_answered,
                                   control_opened,
                                   grant_received,
                                   coordinator_link_changed,
                                   sidecar_tick>;

// Effects.

struct poll_status {};
struct poll_counts {};
struct poll_lists {};
/** Forwards an order to the rank. */
struct forward_order {
  wire::rank_order order;
};
/** Sends the status of the rank to the coordinator. */
struct send_status {
  wire::rank_status status;
};
/** Sends the presence of the rank to control. */
struct send_presence {
  wire::rank_presence presence;
};
/**
 * Keeps a link to the coordinator at this address, and to no other one. Empty:
 * to none.
 */
struct follow_coordinator {
  std::string address;
};
/** This process coordinates the group under this grant from now on. */
struct start_coordinating {
  wire::coordinator_grant grant;
};
/** This process no longer coordinates the group. */
struct stop_coordinating {};
/** Logs and counts what happened to an order. */
struct log_order {
  wire::rank_order order;
  std::string outcome;
};
/** Logs that the rank stopped or resumed answering status polls. */
struct log_reachability {
  bool reachable = false;
  /** Time since the last answered poll; 0 if there was none. */
  base::time_ms silent_ms = 0;
  std::uint64_t formation = 0;
  std::uint64_t map_version = 0;
};

using sidecar_effect = std::variant<poll_status,
                                    poll_counts,
                                    poll_lists,
                                    forward_order,
                                    send_status,
                                    send_presence,
                                    follow_coordinator,
                                    start_coordinating,
                                    stop_coordinating,
                                    log_order,
                                    log_reachability>;

/** Processes one event and returns the resulting effects. Never throws. */
std::vector<sidecar_effect> Step(sidecar_state& state,
                                 const sidecar_event& event,
                                 base::time_us now_us);

}  // namespace wisteriaroute::sidecar

#endif  // LIBWISTERIAROUTE_SIDECAR_SIDECAR_H_
