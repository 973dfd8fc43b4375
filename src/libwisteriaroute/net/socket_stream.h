#ifndef LIBWISTERIAROUTE_NET_SOCKET_STREAM_H_
#define LIBWISTERIAROUTE_NET_SOCKET_STREAM_H_

#include <ev.h>
#include <kj/async-io.h>

#include <cstddef>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/net/link_budget.h"

namespace wisteriaroute::net {

/** Adapts a non-blocking stream socket on libev to kj. Owns the socket. */
class socket_stream final : public kj::AsyncIoStream {
 public:
  socket_stream(struct ev_loop* loop, int fd);
  ~socket_stream() noexcept(false);

  kj::Promise<size_t> read(void* buffer,
                           size_t min_bytes,
                           size_t max_bytes) override;
  kj::Promise<size_t> tryRead(void* buffer,
                              size_t min_bytes,
                              size_t max_bytes) override;
  kj::Promise<void> write(const void* buffer, size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;

  /** Resolves when there is input, or the connection was lost. */
  kj::Promise<void> WhenReadable();

  /** Fails a read after `bytes` more bytes; 0: no limit. */
  void LimitInput(std::size_t bytes);
  /** Counts the bytes of incomplete messages toward a budget of all links. */
  void SetInputBudget(link_budget* budget);
  /** Says that the bytes read so far belong to complete messages. */
  void StartMessage();
  /** Bytes of the incomplete message, and when the first of them was read. */
  std::size_t message_bytes() const { return message_bytes_; }
  base::time_us message_began_us() const { return message_began_us_; }

  /** Resolves when a connect in progress succeeds; rejects if it fails. */
  kj::Promise<void> WhenConnected();

 private:
  /** Returns false if the limit of the input is exceeded. */
  bool CountInput(std::size_t bytes);
  kj::Promise<void> WhenWritable();
  kj::Promise<size_t> ReadLoop(kj::byte* buffer,
                               size_t min_bytes,
                               size_t max_bytes,
                               size_t already_read);
  kj::Promise<void> WriteRest(kj::Array<kj::ArrayPtr<const kj::byte>> pieces);

  struct ev_loop* loop_;
  int fd_;
  /** Bytes that may still be read, if the input is limited. */
  std::size_t input_left_ = 0;
  bool input_limited_ = false;
  link_budget* input_budget_ = nullptr;
  std::size_t message_bytes_ = 0;
  base::time_us message_began_us_ = 0;
  ev_io read_watcher_;
  ev_io write_watcher_;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> read_fulfiller_;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> write_fulfiller_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_SOCKET_STREAM_H_
