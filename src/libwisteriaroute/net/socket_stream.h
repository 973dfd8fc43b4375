#ifndef LIBWISTERIAROUTE_NET_SOCKET_STREAM_H_
#define LIBWISTERIAROUTE_NET_SOCKET_STREAM_H_

#include <ev.h>
#include <kj/async-io.h>

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

  /** Resolves when a connect in progress succeeds; rejects if it fails. */
  kj::Promise<void> WhenConnected();

 private:
  kj::Promise<void> WhenReadable();
  kj::Promise<void> WhenWritable();
  kj::Promise<size_t> ReadLoop(kj::byte* buffer,
                               size_t min_bytes,
                               size_t max_bytes,
                               size_t already_read);
  kj::Promise<void> WriteRest(kj::Array<kj::ArrayPtr<const kj::byte>> pieces);

  struct ev_loop* loop_;
  int fd_;
  ev_io read_watcher_;
  ev_io write_watcher_;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> read_fulfiller_;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> write_fulfiller_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_SOCKET_STREAM_H_
