#ifndef TESTS_NET_RAW_SERVER_H_
#define TESTS_NET_RAW_SERVER_H_

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "libwisteriaroute/net/address.h"
#include "libwisteriaroute/net/loop.h"
#include "tests/run_until.h"

namespace wisteriaroute::testing {

/** A listener on the test's loop whose connections the test reads and writes.
 */
class raw_server {
 public:
  raw_server() : listener_(net::OpenListener("127.0.0.1:0")) {}
  ~raw_server() {
    Close();
    close(listener_);
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  std::string url() const {
    return "http://" + net::LocalAddress(listener_) + "/";
  }
  void Accept(net::loop& event_loop) {
    REQUIRE(RunUntil(event_loop, [&] {
      if (fd_ < 0) {
        fd_ = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
      }
      return fd_ >= 0;
    }));
  }
  void Send(std::string_view bytes) const {
    CHECK(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(bytes.size()));
  }
  /** Sends `part` repeatedly until the client closes; `sent` counts bytes. */
  void SendWithoutEnd(net::loop& event_loop, std::string part) {
    part_ = std::move(part);
    flood_.emplace(event_loop.ev(), [this] { Flood(); });
    flood_->Start(1'000, 1'000);
  }
  std::size_t sent() const { return sent_; }
  bool peer_closed() const { return peer_closed_; }
  /** The connection is reset, as by a crash. */
  void Reset() {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    Close();
  }
  /** Nothing more is sent, but the connection stays open. */
  void HalfClose() const { shutdown(fd_, SHUT_WR); }
  /** Reads until a request's header is complete. */
  void ReadHeader(net::loop& event_loop) const {
    std::string header;
    REQUIRE(RunUntil(event_loop, [&] {
      char one = 0;
      while (header.find("\r\n\r\n") == std::string::npos &&
             recv(fd_, &one, 1, MSG_DONTWAIT) == 1) {
        header += one;
      }
      return header.find("\r\n\r\n") != std::string::npos;
    }));
  }
  void Close() {
    if (fd_ >= 0) {
      close(std::exchange(fd_, -1));
    }
  }

 private:
  void Flood() {
    // Bounded, so that the client on the same loop gets its turn.
    for (int i = 0; i < 64 && !peer_closed_; ++i) {
      const ssize_t count = send(fd_, part_.data() + offset_,
                                 part_.size() - offset_, MSG_NOSIGNAL);
      if (count < 0) {
        peer_closed_ = errno != EAGAIN;
        return;
      }
      sent_ += static_cast<std::size_t>(count);
      offset_ = (offset_ + static_cast<std::size_t>(count)) % part_.size();
    }
  }

  int listener_;
  int fd_ = -1;
  std::string part_;
  std::size_t offset_ = 0;
  std::size_t sent_ = 0;
  bool peer_closed_ = false;
  std::optional<net::timer> flood_;
};

}  // namespace wisteriaroute::testing

#endif  // TESTS_NET_RAW_SERVER_H_
