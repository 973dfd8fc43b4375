#ifndef LIBWISTERIAROUTE_NET_LINK_H_
#define LIBWISTERIAROUTE_NET_LINK_H_

#include <capnp/rpc-twoparty.h>
#include <link.capnp.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/hlc.h"
#include "libwisteriaroute/net/link_budget.h"
#include "libwisteriaroute/net/link_stream.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/net/socket_stream.h"

namespace wisteriaroute::net {

/**
 * Default heartbeat of a link. A silent connection is closed after three
 * heartbeats and replaced within 3 s, including the reconnect.
 */
inline constexpr base::time_ms kLinkHeartbeatMs = 500;

/** Identity that a process sends in the handshake. */
struct peer_identity {
  std::string name;
  /** `entry`, `control`, `agent` or `wrctl`. */
  std::string role;
  /** Random number that identifies this run of the process. */
  std::uint64_t incarnation = 0;
  std::string data_center;
  /** Address on which the process accepts links; may be empty. */
  std::string address;
  /**
   * On the dialling side: interval of its pings on an idle link. Both sides use
   * it and close the link after three intervals without a message.
   */
  base::time_ms heartbeat_ms = kLinkHeartbeatMs;
};

/** Context shared by all links of a process. */
struct link_context {
  loop* event_loop = nullptr;
  peer_identity self;
  std::string cluster_key;
  base::hybrid_clock* clock = nullptr;
  /** Limits of all links together; null: none. */
  link_budget* input_budget = nullptr;
  link_budget* unsent_budget = nullptr;
};

/** Callbacks of a link. Each may close the link. */
struct link_callbacks {
  std::function<void(const peer_identity&)> on_up;
  std::function<void(std::string_view body)> on_message;
  std::function<void(std::string_view reason)> on_down;
};

/** Maximum size of a message body; sending a larger one closes the link. */
inline constexpr std::size_t kMaxMessageBytes = 8 * 1024 * 1024;

/**
 * An authenticated connection for messages. Messages that are sent in one loop
 * iteration are batched into RPC calls. After `on_down` the link can't be used.
 */
class link {
 public:
  enum class side { kDialled, kAccepted };

  /** Takes ownership of a non-blocking socket, connected or connecting. */
  link(const link_context& context,
       int fd,
       side which,
       link_callbacks callbacks);
  ~link();
  link(const link&) = delete;
  link& operator=(const link&) = delete;

  /** Queues a message. Drops it before `on_up` and after Close. */
  void Send(std::string body);

  /** Ends the link; `on_down` is called later in this loop iteration. */
  void Close(std::string_view reason);

  bool up() const { return state_ == state::kUp; }
  bool closed() const { return state_ == state::kClosed; }
  /** Bytes of messages that the peer hasn't received. */
  std::size_t unsent_bytes() const {
    return outgoing_bytes_ + in_flight_bytes_;
  }
  /** Since when messages are unsent without one of them being received. */
  base::time_us unsent_since_us() const { return unsent_since_us_; }
  /** Bytes of the message that is being received, and since when. */
  std::size_t message_bytes() const { return stream_.message_bytes(); }
  base::time_us message_began_us() const { return stream_.message_began_us(); }

 private:
  enum class state { kHandshake, kUp, kClosed };
  friend class gate_server;
  friend class channel_server;

  class task_errors final : public kj::TaskSet::ErrorHandler {
   public:
    explicit task_errors(link& owner) : owner_(owner) {}
    void taskFailed(kj::Exception&& exception) override;

   private:
    link& owner_;
  };

  void StartClient();
  kj::Promise<void> RunClientHandshake();
  void CompleteHandshake(const peer_identity& peer,
                         proto::Channel::Client channel);
  void Flush();
  void CheckLiveness();
  void SendPing();
  void Receive(capnp::List<proto::Message>::Reader batch);
  void Detach(kj::Promise<void> promise);
  /** Removes what the link holds from the budgets of all links. */
  void ReleaseBudgets();

  link_context context_;
  side side_;
  link_callbacks callbacks_;
  state state_ = state::kHandshake;
  socket_stream stream_;
  link_stream messages_;
  capnp::TwoPartyVatNetwork network_;
  std::unique_ptr<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpc_;
  kj::Maybe<proto::Channel::Client> channel_;
  timer liveness_timer_;
  /** Heartbeat of the dialling side; both sides use it. */
  base::time_us heartbeat_us_;
  base::time_us last_message_us_;
  bool ping_pending_ = false;
  bool flush_scheduled_ = false;
  std::vector<std::string> outgoing_;
  std::size_t outgoing_bytes_ = 0;
  std::size_t in_flight_bytes_ = 0;
  std::size_t in_flight_calls_ = 0;
  base::time_us unsent_since_us_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  task_errors task_errors_{*this};
  // Declared last: its destructor cancels the continuations that use the other
  // members.
  kj::TaskSet tasks_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_LINK_H_
