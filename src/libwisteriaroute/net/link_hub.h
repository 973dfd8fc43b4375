#ifndef LIBWISTERIAROUTE_NET_LINK_HUB_H_
#define LIBWISTERIAROUTE_NET_LINK_HUB_H_

#include <ev.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/net/link.h"

namespace wisteriaroute::net {

/** Identifies a link within its hub; never reused. */
using link_id = std::uint64_t;
/** Identifies a dialled address within its hub; 0 for accepted links. */
using dial_id = std::uint64_t;

/** Callbacks of a hub. Each may send, and close and dial links. */
struct hub_callbacks {
  std::function<void(link_id, dial_id, const peer_identity&)> on_up;
  std::function<void(link_id, std::string_view body)> on_message;
  /** Called only for links that were up. */
  std::function<void(link_id, std::string_view reason)> on_down;
};

/**
 * Owns all links of a process. Accepts links and maintains one link to each
 * dialled address; reconnects with exponential back-off after a loss.
 */
class link_hub {
 public:
  link_hub(link_context context, hub_callbacks callbacks);
  ~link_hub();
  link_hub(const link_hub&) = delete;
  link_hub& operator=(const link_hub&) = delete;

  /**
   * Accepts links on `IP:port`; port 0 picks a free port. Returns the address.
   * Throws std::invalid_argument and std::system_error.
   */
  std::string Listen(std::string_view address);

  /** Maintains a link to `address` until Undial. Throws std::invalid_argument.
   */
  dial_id Dial(std::string_view address,
               base::time_ms heartbeat_ms = kLinkHeartbeatMs);
  void Undial(dial_id dial);

  /** Queues a message. Does nothing if the link no longer exists. */
  void Send(link_id id, std::string body);

  /** Closes a link, for instance after a malformed message. */
  void Close(link_id id, std::string_view reason);

  /**
   * Sets the number of links, of which half may be accepted links that aren't
   * authenticated. Default: a quarter of the descriptors of the process.
   */
  void SetMaxLinks(std::size_t count) { max_links_ = count; }

  std::size_t link_count() const { return links_.size(); }
  /** Bytes of incomplete messages, and of messages that peers haven't received.
   */
  std::size_t input_bytes() const { return input_budget_.used(); }
  std::size_t unsent_bytes() const { return unsent_budget_.used(); }
  /** Connections that were refused or closed because of a limit. */
  std::uint64_t refused() const { return refused_; }

 private:
  struct dialled {
    std::string address;
    base::time_ms heartbeat_ms = kLinkHeartbeatMs;
    link_id current = 0;
    base::time_us backoff_us = 0;
    std::unique_ptr<timer> retry;
  };
  struct listener {
    link_hub* hub = nullptr;
    int fd = -1;
    ev_io watcher;
    /** Runs while the process has no descriptors. */
    std::unique_ptr<timer> pause;
  };

  void Accept(listener& from);
  /** Whether another accepted link fits the limits; may close an older one. */
  bool HasRoom();
  void Refuse(int fd);
  /** Closes the link whose incomplete message is the oldest. */
  void CloseSlowestSender();
  /** Closes the link that has received nothing for longest, if it's stalled. */
  void CloseSlowestReader();
  void Connect(dial_id dial);
  void ScheduleRetry(dial_id dial);
  void AddLink(int fd, link::side side, dial_id dial);
  void HandleDown(link_id id, dial_id dial, bool was_up, std::string_view why);

  link_budget input_budget_;
  link_budget unsent_budget_;
  link_context context_;
  hub_callbacks callbacks_;
  std::size_t max_links_;
  std::uint64_t refused_ = 0;
  base::time_us next_refusal_log_us_ = 0;
  /** Accepted links that aren't authenticated, and when they were accepted. */
  std::map<link_id, base::time_us> handshakes_;
  link_id next_link_ = 1;
  dial_id next_dial_ = 1;
  std::map<link_id, std::unique_ptr<link>> links_;
  std::map<dial_id, dialled> dialled_;
  std::vector<std::unique_ptr<listener>> listeners_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_LINK_HUB_H_
