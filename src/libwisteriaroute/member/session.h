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
  /** Configuration revision that the member has in force. */
  std::uint64_t revision = 0;
  bool ready = false;
  bool stopping = false;

  /** Open links to control replicas, with the replica's name. */
  std::map<net::link_id, std::string> controls;
  /** The link that holds the session, 0 if none does. */
  net::link_id session_link = 0;
  /** Whether the replica of session_link has acknowledged a heartbeat. */
  bool confirmed = false;
  /** Links of which messages were dropped while another one held the session;
   * removed when their replica is asked to repeat them. */
  std::set<net::link_id> incomplete_links;
  /** Links whose replica has answered that it isn't the leader. */
  std::set<net::link_id> non_leader_links;

  std::uint64_t next_sequence = 1;
  /** Sending times of unacknowledged heartbeats, by sequence. */
  std::map<std::uint64_t, base::time_us> heartbeat_sent_us;
  base::time_us next_heartbeat_us = 0;
  base::time_us next_probe_us = 0;
  /** Number of attempts to open a session since the last acknowledgement. */
  unsigned probe_count = 0;
  /** End of the lease; the member accepts new work only before it. */
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
/** The member's description, revision in force or readiness changed. */
struct member_changed {
  wire::member_info info;
  std::uint64_t revision = 0;
  bool ready = false;
};
/** Send the message from the member to the leader. */
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
/**
 * The lease now ends at `until_us`. It only grows until session_stop, which
 * sets it to 0.
 */
struct lease_extended {
  base::time_us until_us = 0;
  wire::fencing_number fencing;
};
/** A message from the leader for the member. */
struct deliver_to_member {
  wire::control_message message;
};
/**
 * A session with a leader was opened. The member resends its unanswered
 * messages.
 */
struct session_opened {};
/** The message of a send_to_leader was dropped: no leader is known. */
struct leader_unknown {
  wire::control_message message;
};

using session_effect = std::variant<send_control,
                                    lease_extended,
                                    deliver_to_member,
                                    session_opened,
                                    leader_unknown>;

/** Processes one event and returns the effects. Never throws. */
std::vector<session_effect> Step(session_state& state,
                                 const session_event& event,
                                 base::time_us now_us);

}  // namespace wisteriaroute::member

#endif  // LIBWISTERIAROUTE_MEMBER_SESSION_H_
