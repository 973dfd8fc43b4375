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

/** The answer of one process to a request to several processes. */
struct process_answer {
  std::string address;
  bool answered = false;
  wire::admin_reply reply;
};

/**
 * Sends administrative requests and waits for their answers. Follows redirects
 * to the leader. Retries a request after a lost link, a missing answer or the
 * answer kUnavailable; each request is idempotent or has an operation id.
 */
class admin_client {
 public:
  explicit admin_client(const client_settings& settings);

  /**
   * Returns the leader's answer to `call`. Throws command_failure with kRefused
   * if control refuses, or with kUnreachable if there is no answer by the
   * monotonic time `deadline_us`.
   */
  wire::admin_reply Call(wire::admin_call call, base::time_us deadline_us);

  /**
   * Sends `call` to all addresses in parallel. Processes that do not answer by
   * `deadline_us` are in the result with `answered` false.
   */
  std::vector<process_answer> CallEach(std::span<const std::string> addresses,
                                       const wire::admin_call& call,
                                       base::time_us deadline_us);

 private:
  struct target {
    std::string address;
    /** 0 while the link is down. */
    net::link_id link = 0;
    bool was_connected = false;
  };

  void HandleUp(net::link_id link, net::dial_id dial);
  void HandleMessage(net::link_id link, std::string_view body);
  void HandleDown(net::link_id link);
  void HandleReply(net::link_id link, wire::admin_reply reply);
  void FollowLeader(const wire::not_leader& message);

  net::dial_id DialOnce(const std::string& address);
  /** Runs the loop and calls Advance until `done_` is set or `deadline_us`. */
  void RunUntil(base::time_us deadline_us);
  /** Sends the request to the next replica if no replica is being asked. */
  void Advance();
  void ClearCurrentDial();
  /** Error message for a time-out, with the link state of each address. */
  std::string DescribeTimeout() const;

  base::hybrid_clock clock_;
  net::loop loop_;
  std::map<net::dial_id, target> targets_;

  std::uint64_t correlation_ = 0;
  std::string request_;
  bool broadcast_ = false;
  bool done_ = false;
  wire::admin_reply reply_;
  std::map<net::dial_id, process_answer> answers_;

  net::dial_id current_dial_ = 0;
  net::dial_id preferred_dial_ = 0;
  net::dial_id last_dial_ = 0;
  base::time_us request_sent_us_ = 0;
  base::time_us next_attempt_us_ = 0;
  /** Why the last attempt got no final answer. */
  std::string last_error_;
  // Declared last: its callbacks use the other members.
  net::link_hub hub_;
};

/** Monotonic time --timeout-s from now, or `default_s` if the flag is 0. */
base::time_us DeadlineUs(double default_s);

}  // namespace wisteriaroute::wrctl

#endif  // WRCTL_ADMIN_CLIENT_H_
