#ifndef WRCTL_ADMIN_CLIENT_H_
#define WRCTL_ADMIN_CLIENT_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/base/hlc.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/wire/control_messages.h"
#include "wrctl/client_settings.h"

namespace wisteriaroute::wrctl {

/** The answer of one process, or why there is none. */
struct process_answer {
  std::string address;
  bool answered = false;
  wire::admin_reply reply;
};

/**
 * Sends administrative requests and waits for their answers. Follows the
 * leader, and sends a request again after a lost link or an undecided answer;
 * each request is idempotent, or carries an operation id.
 */
class admin_client {
 public:
  explicit admin_client(const client_settings& settings);

  /**
   * Returns the leader's answer to `call`. Throws command_failure if it is a
   * refusal (kRefused) or isn't there at `until_us` (kUnreachable).
   */
  wire::admin_reply Call(wire::admin_call call, base::time_us until_us);

  /** Asks all addresses at once; those that don't answer in time are marked. */
  std::vector<process_answer> CallEach(std::span<const std::string> addresses,
                                       const wire::admin_call& call,
                                       base::time_us until_us);

 private:
  struct target {
    std::string address;
    /** 0 while the link is down. */
    net::link_id link = 0;
    bool was_up = false;
  };

  void HandleUp(net::link_id link, net::dial_id dial);
  void HandleMessage(net::link_id link, std::string_view body);
  void HandleDown(net::link_id link);
  void HandleReply(net::link_id link, wire::admin_reply reply);
  void FollowLeader(const wire::not_leader& message);

  net::dial_id DialOnce(const std::string& address);
  /** Runs the loop until `done_`, calling Advance, or until `until_us`. */
  void RunUntil(base::time_us until_us);
  /** Sends the request to the next replica if none is being asked. */
  void Advance();
  void ForgetAsked();
  /** Why no answer came, from what is known of each address. */
  std::string DescribeSilence() const;

  base::hybrid_clock clock_;
  net::loop loop_;
  std::map<net::dial_id, target> targets_;

  std::uint64_t correlation_ = 0;
  std::string request_;
  bool broadcast_ = false;
  bool done_ = false;
  wire::admin_reply reply_;
  std::map<net::dial_id, process_answer> answers_;

  net::dial_id asked_ = 0;
  net::dial_id preferred_ = 0;
  net::dial_id last_asked_ = 0;
  base::time_us asked_at_us_ = 0;
  base::time_us next_try_us_ = 0;
  /** The last reason why a replica gave no final answer. */
  std::string last_refusal_;
  // Declared last: its callbacks use the rest.
  net::link_hub hub_;
};

/** The time limit of --timeout-s from now on, or `fallback_s` if it is 0. */
base::time_us TimeLimit(double fallback_s);

}  // namespace wisteriaroute::wrctl

#endif  // WRCTL_ADMIN_CLIENT_H_
