#include "libwisteriaroute/net/link_stream.h"

#include <capnp/rpc.capnp.h>
#include <kj/exception.h>

#include <utility>

namespace wisteriaroute::net {

link_stream::link_stream(socket_stream& socket,
                         std::function<std::size_t()> queued)
    : socket_(socket), messages_(socket), queued_(std::move(queued)) {
  socket_.LimitInput(kMaxHandshakeBytes);
}

void link_stream::SetAuthenticated() {
  authenticated_ = true;
  socket_.LimitInput(0);
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> link_stream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> fd_space,
    capnp::ReaderOptions options,
    kj::ArrayPtr<capnp::word> scratch_space) {
  if (queued_() > kMaxQueuedMessages) {
    Refuse("the peer doesn't read the answers to its calls");
  }
  socket_.StartMessage();
  if (authenticated_) {
    return Read(fd_space, options, scratch_space);
  }
  // The limit of a message is chosen when the message arrives: the RPC system
  // asks for the next message before it has handled the one that authenticates
  // the peer.
  return socket_.WhenReadable().then(
      [=, this]() mutable { return Read(fd_space, options, scratch_space); });
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> link_stream::Read(
    kj::ArrayPtr<kj::AutoCloseFd> fd_space,
    capnp::ReaderOptions options,
    kj::ArrayPtr<capnp::word> scratch_space) {
  if (!authenticated_) {
    options.traversalLimitInWords = kMaxHandshakeBytes / sizeof(capnp::word);
  }
  // The size in a message's header is checked before memory is allocated.
  return messages_.tryReadMessage(fd_space, options, scratch_space)
      .then([this](kj::Maybe<capnp::MessageReaderAndFds>&& received) {
        socket_.StartMessage();
        KJ_IF_MAYBE (message, received) {
          CountCalls(*message->reader);
        }
        return kj::mv(received);
      });
}

// The RPC system keeps an answer until the peer finishes the call, without a
// limit of its own.
void link_stream::CountCalls(capnp::MessageReader& message) {
  switch (message.getRoot<capnp::rpc::Message>().which()) {
    case capnp::rpc::Message::BOOTSTRAP:
    case capnp::rpc::Message::CALL:
      ++open_calls_;
      break;
    case capnp::rpc::Message::FINISH:
      open_calls_ -= open_calls_ > 0 ? 1 : 0;
      break;
    default:
      break;
  }
  if (open_calls_ > kMaxOpenCalls) {
    Refuse("the peer doesn't finish its calls");
  }
}

void link_stream::Refuse(std::string_view reason) {
  refusal_ = reason;
  // The RPC system otherwise keeps the connection, with all its answers, until
  // the peer has read what was written before.
  socket_.shutdownWrite();
  kj::throwFatalException(KJ_EXCEPTION(FAILED, refusal_.c_str()));
}

kj::Promise<void> link_stream::writeMessage(
    kj::ArrayPtr<const int> fds,
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) {
  return messages_.writeMessage(fds, segments);
}

kj::Promise<void> link_stream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>>
        messages) {
  return messages_.writeMessages(messages);
}

kj::Maybe<int> link_stream::getSendBufferSize() {
  return messages_.getSendBufferSize();
}

kj::Promise<void> link_stream::end() {
  return messages_.end();
}

}  // namespace wisteriaroute::net
