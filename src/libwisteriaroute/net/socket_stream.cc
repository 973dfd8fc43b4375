#include "libwisteriaroute/net/socket_stream.h"

#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace wisteriaroute::net {

namespace {

// Limit for one sendmsg call. Linux accepts at most 1,024 pieces; few writes
// have more than 64.
constexpr std::size_t kMaxPieces = 64;

bool WouldBlock(int error) {
  return error == EAGAIN || error == EWOULDBLOCK;
}

// Every socket error ends the connection, so no finer type is needed.
kj::Exception Disconnected(const char* call) {
  return KJ_EXCEPTION(DISCONNECTED, call, std::strerror(errno));
}

void Fulfil(kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>>& slot) {
  KJ_IF_MAYBE (fulfiller, slot) {
    auto ready = kj::mv(*fulfiller);
    slot = nullptr;
    ready->fulfill();
  }
}

}  // namespace

socket_stream::socket_stream(struct ev_loop* loop, int fd)
    : loop_(loop), fd_(fd) {
  const int on = 1;
  // Small messages must not wait for the acknowledgement of earlier ones.
  ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ev_io_init(
      &read_watcher_,
      [](struct ev_loop* l, ev_io* watcher, int) {
        ev_io_stop(l, watcher);
        Fulfil(static_cast<socket_stream*>(watcher->data)->read_fulfiller_);
      },
      fd_, EV_READ);
  read_watcher_.data = this;
  ev_io_init(
      &write_watcher_,
      [](struct ev_loop* l, ev_io* watcher, int) {
        ev_io_stop(l, watcher);
        Fulfil(static_cast<socket_stream*>(watcher->data)->write_fulfiller_);
      },
      fd_, EV_WRITE);
  write_watcher_.data = this;
}

socket_stream::~socket_stream() noexcept(false) {
  ev_io_stop(loop_, &read_watcher_);
  ev_io_stop(loop_, &write_watcher_);
  close(fd_);
  StartMessage();
}

void socket_stream::LimitInput(std::size_t bytes) {
  input_limited_ = bytes > 0;
  input_left_ = bytes;
}

void socket_stream::SetInputBudget(link_budget* budget) {
  if (input_budget_ != nullptr) {
    input_budget_->Remove(message_bytes_);
  }
  input_budget_ = budget;
  if (input_budget_ != nullptr) {
    input_budget_->Add(message_bytes_);
  }
}

void socket_stream::StartMessage() {
  if (input_budget_ != nullptr) {
    input_budget_->Remove(message_bytes_);
  }
  message_bytes_ = 0;
}

bool socket_stream::CountInput(std::size_t bytes) {
  if (input_limited_ && bytes > input_left_) {
    return false;
  }
  input_left_ -= input_limited_ ? bytes : 0;
  if (message_bytes_ == 0) {
    message_began_us_ = base::MonotonicUs();
  }
  message_bytes_ += bytes;
  if (input_budget_ != nullptr) {
    input_budget_->Add(bytes);
  }
  return true;
}

kj::Promise<void> socket_stream::WhenReadable() {
  auto pair = kj::newPromiseAndFulfiller<void>();
  read_fulfiller_ = kj::mv(pair.fulfiller);
  ev_io_start(loop_, &read_watcher_);
  return kj::mv(pair.promise);
}

kj::Promise<void> socket_stream::WhenWritable() {
  auto pair = kj::newPromiseAndFulfiller<void>();
  write_fulfiller_ = kj::mv(pair.fulfiller);
  ev_io_start(loop_, &write_watcher_);
  return kj::mv(pair.promise);
}

kj::Promise<void> socket_stream::WhenConnected() {
  return WhenWritable().then([this] {
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
      errno = error;
      kj::throwFatalException(Disconnected("connect"));
    }
  });
}

kj::Promise<size_t> socket_stream::read(void* buffer,
                                        size_t min_bytes,
                                        size_t max_bytes) {
  return tryRead(buffer, min_bytes, max_bytes)
      .then([min_bytes](size_t amount) -> size_t {
        if (amount < min_bytes) {
          kj::throwFatalException(
              KJ_EXCEPTION(DISCONNECTED, "the peer closed the connection"));
        }
        return amount;
      });
}

kj::Promise<size_t> socket_stream::tryRead(void* buffer,
                                           size_t min_bytes,
                                           size_t max_bytes) {
  return ReadLoop(static_cast<kj::byte*>(buffer), min_bytes, max_bytes, 0);
}

kj::Promise<size_t> socket_stream::ReadLoop(kj::byte* buffer,
                                            size_t min_bytes,
                                            size_t max_bytes,
                                            size_t already_read) {
  while (true) {
    const ssize_t n = ::read(fd_, buffer, max_bytes);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && WouldBlock(errno)) {
      return WhenReadable().then([=, this] {
        return ReadLoop(buffer, min_bytes, max_bytes, already_read);
      });
    }
    if (n < 0) {
      return Disconnected("read");
    }
    if (n == 0) {
      return already_read;
    }
    const auto got = static_cast<std::size_t>(n);
    if (!CountInput(got)) {
      return KJ_EXCEPTION(FAILED, "too many bytes before the authentication");
    }
    already_read += got;
    if (got >= min_bytes) {
      return already_read;
    }
    buffer += got;
    min_bytes -= got;
    max_bytes -= got;
  }
}

kj::Promise<void> socket_stream::write(const void* buffer, size_t size) {
  return WriteRest(
      kj::arr(kj::arrayPtr(static_cast<const kj::byte*>(buffer), size)));
}

kj::Promise<void> socket_stream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  return WriteRest(kj::heapArray(pieces));
}

kj::Promise<void> socket_stream::WriteRest(
    kj::Array<kj::ArrayPtr<const kj::byte>> pieces) {
  std::size_t first = 0;
  while (true) {
    while (first < pieces.size() && pieces[first].size() == 0) {
      ++first;
    }
    if (first == pieces.size()) {
      return kj::READY_NOW;
    }
    std::array<iovec, kMaxPieces> vectors;
    const std::size_t count = std::min(pieces.size() - first, kMaxPieces);
    for (std::size_t i = 0; i < count; ++i) {
      const auto& piece = pieces[first + i];
      vectors[i] = {.iov_base = const_cast<kj::byte*>(piece.begin()),
                    .iov_len = piece.size()};
    }
    msghdr message{};
    message.msg_iov = vectors.data();
    message.msg_iovlen = count;
    // MSG_NOSIGNAL: writing to a closed connection must not raise SIGPIPE.
    const ssize_t n = sendmsg(fd_, &message, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0 && WouldBlock(errno)) {
      auto rest = kj::heapArray(pieces.slice(first, pieces.size()));
      return WhenWritable().then([this, rest = kj::mv(rest)]() mutable {
        return WriteRest(kj::mv(rest));
      });
    }
    if (n < 0) {
      return Disconnected("sendmsg");
    }
    auto left = static_cast<std::size_t>(n);
    while (left > 0) {
      const std::size_t used = std::min(left, pieces[first].size());
      pieces[first] = pieces[first].slice(used, pieces[first].size());
      left -= used;
      if (pieces[first].size() == 0) {
        ++first;
      }
    }
  }
}

// Reads and the link's heartbeat detect a lost connection.
kj::Promise<void> socket_stream::whenWriteDisconnected() {
  return kj::NEVER_DONE;
}

void socket_stream::shutdownWrite() {
  shutdown(fd_, SHUT_WR);
}

}  // namespace wisteriaroute::net
