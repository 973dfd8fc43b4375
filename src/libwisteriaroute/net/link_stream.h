#ifndef LIBWISTERIAROUTE_NET_LINK_STREAM_H_
#define LIBWISTERIAROUTE_NET_LINK_STREAM_H_

#include <capnp/serialize-async.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "libwisteriaroute/net/socket_stream.h"

namespace wisteriaroute::net {

/** Bytes that a peer may send before it is authenticated. */
inline constexpr std::size_t kMaxHandshakeBytes = 16 * 1024;
/** Calls of a peer that it hasn't finished. */
inline constexpr std::size_t kMaxOpenCalls = 4'096;
/** Messages to a peer, including answers, that it hasn't read. */
inline constexpr std::size_t kMaxQueuedMessages = 4'096;

/** The RPC messages of a link, with limits to what a peer can make it hold. */
class link_stream final : public capnp::MessageStream {
 public:
  /** `queued` returns the number of messages that wait to be sent. */
  link_stream(socket_stream& socket, std::function<std::size_t()> queued);

  /** Why the peer was refused; empty if it wasn't. */
  const std::string& refusal() const { return refusal_; }

  /** Until then the peer may send at most kMaxHandshakeBytes. */
  void SetAuthenticated();

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
      kj::ArrayPtr<kj::AutoCloseFd> fd_space,
      capnp::ReaderOptions options,
      kj::ArrayPtr<capnp::word> scratch_space) override;
  kj::Promise<void> writeMessage(
      kj::ArrayPtr<const int> fds,
      kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
  kj::Promise<void> writeMessages(
      kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>>
          messages) override;
  kj::Maybe<int> getSendBufferSize() override;
  kj::Promise<void> end() override;

 private:
  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> Read(
      kj::ArrayPtr<kj::AutoCloseFd> fd_space,
      capnp::ReaderOptions options,
      kj::ArrayPtr<capnp::word> scratch_space);
  void CountCalls(capnp::MessageReader& message);
  /** Ends the connection. */
  [[noreturn]] void Refuse(std::string_view reason);

  socket_stream& socket_;
  capnp::AsyncIoMessageStream messages_;
  std::function<std::size_t()> queued_;
  bool authenticated_ = false;
  std::size_t open_calls_ = 0;
  std::string refusal_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_LINK_STREAM_H_
