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
#include "libwisteriaroute/control/departure_table.h"
#include "libwisteriaroute/control/evacuation_table.h"
#include "libwisteriaroute/control/group_table.h"
#include "libwisteriaroute/control/quarantine_table.h"

namespace wisteriaroute::control {

/** The granted coordinator of a group that the platform forms. */
struct granted_coordinator {
  std::string name;
  std::string address;
  /** Incarnation of the coordinator's process. */
  std::uint64_t incarnation = 0;
  /** Log index of the grant command. */
  std::uint64_t term = 0;

  bool operator==(const granted_coordinator&) const = default;
};

/** The replicated state: the result of all committed commands. */
struct control_state {
  /** Log time, Unix ms: the highest `wall_ms` of all applied commands. */
  base::time_ms time_ms = 0;
  config_history config;
  claim_table claims;
  std::set<std::string, std::less<>> drained;
  evacuation_table evacuations;
  departure_table departures;
  quarantine_table quarantine;
  group_table groups;
  /** Keyed by group name. */
  std::map<std::string, granted_coordinator, std::less<>> coordinators;

  bool operator==(const control_state&) const = default;
};

/** Result of a command that only reports whether it changed the state. */
struct change_result {
  bool changed = false;

  bool operator==(const change_result&) const = default;
};

using command_result = std::
    variant<change_result, publish_result, claim_decision, quarantine_changes>;

/**
 * Applies a committed command. Deterministic: the result depends only on the
 * state, the command and its log index, so all replicas reach the same state.
 */
command_result Apply(control_state& state,
                     const command& value,
                     std::uint64_t index);

/** Serializes the whole state as a snapshot. */
std::string EncodeState(const control_state& state);

/** Throws wire::malformed_message. */
control_state DecodeState(std::string_view bytes);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_CONTROL_STATE_H_
