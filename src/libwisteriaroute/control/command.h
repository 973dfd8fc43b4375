#ifndef LIBWISTERIAROUTE_CONTROL_COMMAND_H_
#define LIBWISTERIAROUTE_CONTROL_COMMAND_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "libwisteriaroute/control/claim_table.h"
#include "libwisteriaroute/control/config_history.h"
#include "libwisteriaroute/control/departure_table.h"
#include "libwisteriaroute/control/group_table.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::control {

/** Advances the log time and removes expired claims and suspects. */
struct clock_tick {
  base::time_ms retention_ms = 0;

  bool operator==(const clock_tick&) const = default;
};

struct claim_command {
  wire::claim_request request;
  claim_limits limits;

  bool operator==(const claim_command&) const = default;
};

/**
 * Makes a member the coordinator of a group. The log index of the command is
 * the coordinator's term.
 */
struct grant_command {
  std::string group;
  std::string name;
  /** Link address. */
  std::string address;
  /** Incarnation of the member's process. */
  std::uint64_t incarnation = 0;
  /**
   * Term of the grant that this one replaces; 0: none. The command changes
   * nothing if the current grant has another term.
   */
  std::uint64_t replaces = 0;

  bool operator==(const grant_command&) const = default;
};

using command_body = std::variant<clock_tick,
                                  publish_command,
                                  claim_command,
                                  wire::claim_move,
                                  wire::claim_outcome,
                                  wire::drain_request,
                                  wire::suspect_report,
                                  wire::suspect_cleared,
                                  wire::release_quarantine,
                                  form_group_command,
                                  stage_map_command,
                                  arm_map_command,
                                  decide_map_command,
                                  wire::publish_document,
                                  grant_command,
                                  wire::crash_reports,
                                  wire::answers_begun,
                                  wire::evacuation_order,
                                  departure_command>;

/** One entry of the replicated log. */
struct command {
  /** Wall clock of the proposing leader, Unix ms. */
  base::time_ms wall_ms = 0;
  /** Incarnation of the proposing replica, and its proposal id. */
  std::uint64_t proposer = 0;
  std::uint64_t proposal = 0;
  command_body body;

  bool operator==(const command&) const = default;
};

std::string EncodeCommand(const command& value);

/** Throws wire::malformed_message. */
command DecodeCommand(std::string_view bytes);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_COMMAND_H_
