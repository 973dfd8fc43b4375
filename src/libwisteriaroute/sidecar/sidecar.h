#ifndef LIBWISTERIAROUTE_SIDECAR_SIDECAR_H_
#define LIBWISTERIAROUTE_SIDECAR_SIDECAR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::sidecar {

/** What the rank counted since it started, by set and expert. */
struct expert_counts {
  std::uint64_t formation = 0;
  std::vector<std::uint64_t> totals;
};

/** What the rank holds in the map in use. */
struct expert_lists {
  std::uint64_t formation = 0;
  std::uint64_t map_version = 0;
  std::vector<wire::expert_list> experts;
};

/** State of the sidecar of one rank. Changed only by Step. */
struct sidecar_state {
  /** Name of this process among control's members, and its run. */
  std::string name;
  std::uint64_t incarnation = 0;
  /** The service whose server runs here, and the server's `IP:port`. */
  std::string service;
  std::string server;
  wire::rank_status status;
  /** What was sent last. */
  wire::rank_status sent;
  /** Counts at the beginning of the window in progress; nothing between. */
  std::optional<expert_counts> window_start;
  /** Numbers that the rank counts; 0: not known. */
  std::size_t count_numbers = 0;
  /** Counts of the last window that weren't sent. */
  std::vector<std::uint32_t> window_tokens;
  std::optional<expert_lists> lists;
  /** The coordinator is told the lists again from this time on. */
  base::time_us next_lists_us = 0;
  /** Who coordinates the group, as control told it. */
  std::optional<wire::coordinator_grant> grant;
  /** Whether the link to the coordinator is up; it is beside us or not. */
  bool linked = false;
  base::time_us link_changed_us = 0;
  wire::rank_presence presence_sent;
  base::time_us next_presence_us = 0;
  /** Orders of lower terms are refused; all are until a grant was heard. */
  std::uint64_t highest_term = 0;
  /** `highest_term` when the poll of the status in progress began. */
  std::uint64_t poll_term = 0;
  bool polling_status = false;
  bool polling_counts = false;
  bool polling_lists = false;
  /** When the rank last told its state; 0: it hasn't. */
  base::time_us heard_us = 0;
  /** Whether the last call was answered. */
  bool reachable = false;
  base::time_us next_status_us = 0;
  base::time_us next_counts_us = 0;
  base::time_us next_send_us = 0;
  /** A change of map is in progress; the rank is looked at more often. */
  base::time_us busy_until_us = 0;
};

// Events.

/** An answer of the rank; `ok` is false if there was none that can be read. */
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
struct order_received {
  wire::rank_order order;
};
/** The rank answered an order, or didn't. */
struct order_answered {
  wire::rank_order_kind kind = wire::rank_order_kind::kPrepare;
  unsigned status = 0;
};
/** A session with a (new) leader was opened; it knows nothing. */
struct control_opened {};
struct grant_received {
  wire::coordinator_grant grant;
};
/** The link to the coordinator that is followed came up or went down. */
struct coordinator_link_changed {
  bool up = false;
};
/** Due every kSidecarTickUs. */
struct sidecar_tick {};

inline constexpr base::time_us kSidecarTickUs = 50'000;

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
struct pass_order {
  wire::rank_order order;
};
/** To the coordinator. */
struct send_status {
  wire::rank_status status;
};
/** To control. */
struct send_presence {
  wire::rank_presence presence;
};
/** Keeps a link to this coordinator, and to no other one. */
struct follow_coordinator {
  std::string address;
};
/** This process coordinates the group from now on. */
struct take_part {
  wire::coordinator_grant grant;
};
struct give_up_part {};
/** A decision for the log. */
struct note_order {
  wire::rank_order order;
  std::string outcome;
};

/** The rank was lost or found again. */
struct note_rank {
  bool reachable = false;
  /** Time since the last answer. */
  base::time_ms silent_ms = 0;
  std::uint64_t formation = 0;
  std::uint64_t map_version = 0;
};

using sidecar_effect = std::variant<poll_status,
                                    poll_counts,
                                    poll_lists,
                                    pass_order,
                                    send_status,
                                    send_presence,
                                    follow_coordinator,
                                    take_part,
                                    give_up_part,
                                    note_order,
                                    note_rank>;

/** One step. Never throws. */
std::vector<sidecar_effect> Step(sidecar_state& state,
                                 const sidecar_event& event,
                                 base::time_us now_us);

}  // namespace wisteriaroute::sidecar

#endif  // LIBWISTERIAROUTE_SIDECAR_SIDECAR_H_
