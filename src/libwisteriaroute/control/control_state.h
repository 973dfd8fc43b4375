#ifndef LIBWISTERIAROUTE_CONTROL_CONTROL_STATE_H_
#define LIBWISTERIAROUTE_CONTROL_CONTROL_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "libwisteriaroute/control/claim_table.h"
#include "libwisteriaroute/control/command.h"
#include "libwisteriaroute/control/config_history.h"
#include "libwisteriaroute/control/group_table.h"
#include "libwisteriaroute/control/quarantine_table.h"

namespace wisteriaroute::control {

/** The coordinator of a group that the platform forms. */
struct granted_coordinator {
  std::string name;
  std::string address;
  /** Run of the process that has the part. */
  std::uint64_t incarnation = 0;
  std::uint64_t term = 0;

  bool operator==(const granted_coordinator&) const = default;
};

/** Everything that the replicated log has built up. */
struct control_state {
  /** The log's time, Unix ms: the highest of all commands. */
  base::time_ms time_ms = 0;
  config_history config;
  claim_table claims;
  std::set<std::string, std::less<>> drained;
  quarantine_table quarantine;
  group_table groups;
  /** By group. */
  std::map<std::string, granted_coordinator, std::less<>> coordinators;

  bool operator==(const control_state&) const = default;
};

/** Whether a command without a richer result changed anything. */
struct change_result {
  bool changed = false;

  bool operator==(const change_result&) const = default;
};

using command_result = std::
    variant<change_result, publish_result, claim_decision, quarantine_changes>;

/**
 * Applies a committed command. The result depends on the state, the command
 * and its index only, so that all replicas hold the same state.
 */
command_result Apply(control_state& state,
                     const command& value,
                     std::uint64_t index);

/** A snapshot of the whole state. */
std::string EncodeState(const control_state& state);

/** Throws wire::malformed_message. */
control_state DecodeState(std::string_view bytes);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_CONTROL_STATE_H_
