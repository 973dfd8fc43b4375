#ifndef LIBWISTERIAROUTE_MEMBER_SESSION_H_
#define LIBWISTERIAROUTE_MEMBER_SESSION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::member {

/**
 * Time between a member's heartbeats. Entries and agents need their lease
 * renewed; sidecars only keep their session.
 */
base::time_us HeartbeatPeriodUs(wire::member_role role);

/** A member's session with the control leader. */
struct session_state {
  wire::member_info info;
  /** Revision that the member has in force. */
  std::uint64_t revision = 0;
  bool ready = false;
  bool stopping = false;

  /** Links to control replicas that are up, with the replica's name. */
  std::map<net::link_id, std::string> controls;
  /** The link that holds the session, 0 if none does. */
  net::link_id session_link = 0;
  /** Whether the replica of session_link has acknowledged a heartbeat. */
  bool confirmed = false;
  std::set<net::link_id> refused_by;

  std::uint64_t next_sequence = 1;
  /** Sending times of heartbeats that aren't acknowledged. */
  std::map<std::uint64_t, base::time_us> sent_us;
  base::time_us next_heartbeat_us = 0;
  base::time_us next_probe_us = 0;
  /** Replicas that were tried since the last acknowledgement. */
  unsigned probes = 0;
  /** End of the lease; new work is accepted only before it. */
  base::time_us lease_until_us = 0;
  wire::fencing_number fencing;
};

struct control_up {
  net::link_id link = 0;
  std::string name;
};
struct control_down {
  net::link_id link = 0;
};
struct control_received {
  net::link_id link = 0;
  wire::control_message message;
};
/** The member has a revision in force, or its description changed. */
struct member_changed {
  wire::member_info info;
  std::uint64_t revision = 0;
  bool ready = false;
};
/** A message of the member for the leader. */
struct send_to_leader {
  wire::control_message message;
};
struct session_stop {};
struct session_tick {};

using session_event = std::variant<control_up,
                                   control_down,
                                   control_received,
                                   member_changed,
                                   send_to_leader,
                                   session_stop,
                                   session_tick>;

struct send_control {
  net::link_id link = 0;
  wire::control_message message;
};
/** The lease now ends at `until_us`; it never moves back. */
struct lease_extended {
  base::time_us until_us = 0;
  wire::fencing_number fencing;
};
/** A message of the leader for the member itself. */
struct deliver_to_member {
  wire::control_message message;
};
/** A session was opened with a (new) leader; repeat what is unanswered. */
struct session_opened {};
/** send_to_leader had no leader; the message was dropped. */
struct leader_unknown {
  wire::control_message message;
};

using session_effect = std::variant<send_control,
                                    lease_extended,
                                    deliver_to_member,
                                    session_opened,
                                    leader_unknown>;

/** One step of the session. Never throws. */
std::vector<session_effect> Step(session_state& state,
                                 const session_event& event,
                                 base::time_us now_us);

}  // namespace wisteriaroute::member

#endif  // LIBWISTERIAROUTE_MEMBER_SESSION_H_
