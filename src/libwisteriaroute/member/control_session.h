#ifndef LIBWISTERIAROUTE_MEMBER_CONTROL_SESSION_H_
#define LIBWISTERIAROUTE_MEMBER_CONTROL_SESSION_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "libwisteriaroute/member/session.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/net/loop.h"

namespace wisteriaroute::member {

struct control_session_callbacks {
  /**
   * A message from the leader for the member: config_update, member_update,
   * quarantine_update, claim_reply, order...
   */
  std::function<void(const wire::control_message&)> on_message;
  std::function<void(base::time_us until_us, const wire::fencing_number&)>
      on_lease;
  std::function<void()> on_opened;
  /** A message passed to Send was dropped because no leader is known. */
  std::function<void(const wire::control_message&)> on_dropped;
};

/**
 * Runs a session with the control leader over a link hub that the daemon owns.
 * The daemon forwards its hub callbacks; each Handle function returns whether
 * the link belongs to this session.
 */
class control_session {
 public:
  control_session(net::loop& event_loop,
                  net::link_hub& hub,
                  std::span<const std::string> control_addresses,
                  wire::member_info info,
                  control_session_callbacks callbacks,
                  bool learn_controls = false);

  bool HandleUp(net::link_id link,
                net::dial_id dial,
                const net::peer_identity& peer);
  bool HandleMessage(net::link_id link, std::string_view body);
  bool HandleDown(net::link_id link);

  /**
   * Dials the new replicas in `addresses`. Closes the links to replicas that
   * are missing from it, unless the session learns replicas from the leader.
   */
  void SetControls(std::span<const std::string> addresses);

  /** Sends to the leader; calls on_dropped if none is known. */
  void Send(wire::control_message message);

  /**
   * Reports to control the member's description, the revision that it has in
   * force, and whether it is ready.
   */
  void Update(wire::member_info info, std::uint64_t revision, bool ready);

  /** Ends the session and releases the lease. */
  void Stop();

  const session_state& state() const { return state_; }

 private:
  void DialLeader(const wire::not_leader& refusal);
  void Dial(const std::string& address);
  void Handle(const session_event& event);
  void Run(const session_effect& effect);

  net::link_hub& hub_;
  bool learn_controls_;
  control_session_callbacks callbacks_;
  session_state state_;
  std::map<net::dial_id, net::link_id> links_by_dial_;
  std::map<std::string, net::dial_id> dials_by_address_;
  net::timer tick_;
};

/**
 * Returns callbacks for a hub whose links all belong to `session`. They log
 * when a link comes up or goes down. The session may be created later, but
 * before the first callback.
 */
net::hub_callbacks ControlLinks(std::optional<control_session>& session);

}  // namespace wisteriaroute::member

#endif  // LIBWISTERIAROUTE_MEMBER_CONTROL_SESSION_H_
