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
  /** The service whose server runs here. */
  std::string service;
  wire::rank_status status;
  /** What was sent last. */
  wire::rank_status sent;
  expert_counts counts;
  std::vector<std::uint64_t> counts_sent;
  std::optional<expert_lists> lists;
  bool lists_sent = false;
  /** Orders of lower terms are refused. */
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
/** Due every kSidecarTickUs. */
struct sidecar_tick {};

inline constexpr base::time_us kSidecarTickUs = 50'000;

using sidecar_event = std::variant<status_polled,
                                   counts_polled,
                                   lists_polled,
                                   order_received,
                                   order_answered,
                                   control_opened,
                                   sidecar_tick>;

// Effects.

struct poll_status {};
struct poll_counts {};
struct poll_lists {};
struct pass_order {
  wire::rank_order order;
};
struct send_status {
  wire::rank_status status;
};
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
                                    note_order,
                                    note_rank>;

/** One step. Never throws. */
std::vector<sidecar_effect> Step(sidecar_state& state,
                                 const sidecar_event& event,
                                 base::time_us now_us);

}  // namespace wisteriaroute::sidecar

#endif  // LIBWISTERIAROUTE_SIDECAR_SIDECAR_H_
