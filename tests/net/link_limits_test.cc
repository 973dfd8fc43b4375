#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "libwisteriaroute/net/address.h"
#include "libwisteriaroute/net/link_hub.h"
#include "tests/run_until.h"

namespace wisteriaroute::net {
namespace {

using testing::RunUntil;

// Guards against peers on a network that anybody can use. All of them know the
// (empty) cluster key where they need it.

constexpr base::time_ms kLongHeartbeatMs = 10'000;

struct server {
  explicit server(loop& event_loop)
      : hub({.event_loop = &event_loop,
             .self = {.name = "server", .role = "control"},
             .clock = &clock},
            {.on_up = [this](link_id id,
                             dial_id,
                             const peer_identity&) { up.push_back(id); },
             .on_message = [](link_id, std::string_view) {},
             .on_down =
                 [this](link_id, std::string_view reason) {
                   down_reasons.emplace_back(reason);
                 }}),
        address(hub.Listen("127.0.0.1:0")) {}

  /** Whether a link was closed for a reason that contains `text`. */
  bool WasClosedFor(std::string_view text) const {
    return std::ranges::any_of(down_reasons, [&](const std::string& reason) {
      return reason.find(text) != std::string::npos;
    });
  }

  base::hybrid_clock clock;
  std::vector<link_id> up;
  std::vector<std::string> down_reasons;
  link_hub hub;
  std::string address;
};

int Connect(const std::string& address) {
  const socket_address to = ParseAddress(address);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  // Little of what the server sends is held by the socket.
  const int bytes = 4'096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  REQUIRE(connect(fd, to.get(), to.length) == 0);
  return fd;
}

std::string Words32(std::initializer_list<std::uint32_t> words) {
  std::string text;
  for (const std::uint32_t word : words) {
    for (int shift = 0; shift < 32; shift += 8) {
      text += static_cast<char>(word >> shift & 255);
    }
  }
  return text;
}

// Messages of Cap'n Proto's RPC protocol: the frame, the root pointer, the
// discriminant, a pointer to the body, and the body, which begins with the id.
std::string Bootstrap(std::uint32_t id) {
  return Words32({0, 5, 0, 0x00010001, 8, 0, 0, 0x00010001, id, 0, 0, 0});
}
std::string Finish(std::uint32_t id) {
  return Words32({0, 4, 0, 0x00010001, 4, 0, 0, 0x00000001, id, 0});
}

/**
 * A peer that completes the handshake on a thread and from then on neither
 * reads nor runs its loop; it sends `bytes` as they are.
 */
class silent_peer {
 public:
  silent_peer(const std::string& address, std::string bytes)
      : thread_([this, address, bytes = std::move(bytes)] {
          Run(address, bytes);
        }) {}
  ~silent_peer() {
    stopping_ = true;
    thread_.join();
  }
  silent_peer(const silent_peer&) = delete;
  silent_peer& operator=(const silent_peer&) = delete;

 private:
  void Run(const std::string& address, const std::string& bytes) {
    loop event_loop;
    base::hybrid_clock clock;
    const int fd = Connect(address);
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    link one({.event_loop = &event_loop,
              .self = {.name = "peer",
                       .role = "entry",
                       .heartbeat_ms = kLongHeartbeatMs},
              .clock = &clock},
             fd, link::side::kDialled, {});
    RunUntil(event_loop, [&] { return one.up(); });
    for (std::size_t sent = 0; sent < bytes.size() && !stopping_;) {
      const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent,
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0 && errno != EAGAIN) {
        break;
      }
      sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    }
    while (!stopping_) {
      usleep(1'000);
    }
  }

  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

TEST_CASE("a peer that isn't authenticated may send little") {
  loop event_loop;
  server target(event_loop);
  const int fd = Connect(target.address);
  const auto is_closed = [&] {
    std::array<char, 64 * 1024> answers;
    const ssize_t count =
        recv(fd, answers.data(), answers.size(), MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
  };
  // Much less than the time limit of a handshake, which isn't what is tested.
  constexpr base::time_us kSoonUs = 1'000'000;

  SUBCASE("a large message") {
    const std::string head = Words32({0, 1024 * 1024});
    REQUIRE(write(fd, head.data(), head.size()) > 0);
    CHECK(RunUntil(event_loop, is_closed, kSoonUs));
  }
  SUBCASE("many small messages") {
    std::string messages;
    for (std::uint32_t id = 0; messages.size() < 2 * kMaxHandshakeBytes; ++id) {
      messages += Bootstrap(id);
    }
    REQUIRE(write(fd, messages.data(), messages.size()) > 0);
    CHECK(RunUntil(event_loop, is_closed, kSoonUs));
  }
  CHECK(target.hub.input_bytes() == 0);
  close(fd);
}

TEST_CASE("a handshake has a time limit that bytes don't extend") {
  loop event_loop;
  server target(event_loop);
  const int fd = Connect(target.address);
  const std::string message = Bootstrap(1);
  std::size_t sent = 0;
  timer drip(event_loop.ev(), [&] {
    sent +=
        send(fd, message.data() + sent % message.size(), 1, MSG_NOSIGNAL) > 0
            ? 1
            : 0;
  });
  drip.Start(50'000, 50'000);
  REQUIRE(RunUntil(event_loop, [&] { return target.hub.link_count() == 1; }));
  CHECK(RunUntil(event_loop, [&] { return target.hub.link_count() == 0; }));
  CHECK(sent > 5);
  close(fd);
}

TEST_CASE("connections that aren't authenticated leave room for links") {
  loop event_loop;
  server target(event_loop);
  constexpr std::size_t kMaxLinks = 8;
  target.hub.SetMaxLinks(kMaxLinks);
  std::vector<int> silent;
  for (std::size_t i = 0; i < 3 * kMaxLinks; ++i) {
    silent.push_back(Connect(target.address));
  }
  RunUntil(event_loop, [&] { return target.hub.refused() > 0; });
  CHECK(target.hub.link_count() <= kMaxLinks / 2);
  CHECK(target.hub.refused() > 0);
  base::hybrid_clock clock;
  bool up = false;
  link_hub client(
      {.event_loop = &event_loop,
       .self = {.name = "client", .role = "entry"},
       .clock = &clock},
      {.on_up = [&](link_id, dial_id, const peer_identity&) { up = true; },
       .on_message = [](link_id, std::string_view) {},
       .on_down = [](link_id, std::string_view) {}});
  client.Dial(target.address);
  CHECK(RunUntil(event_loop, [&] { return up; }));
  for (const int fd : silent) {
    close(fd);
  }
}

TEST_CASE("a peer that reads nothing is closed at the limit of its queue") {
  loop event_loop;
  server target(event_loop);
  const silent_peer peer(target.address, "");
  REQUIRE(RunUntil(event_loop, [&] { return target.up.size() == 1; }));
  for (int i = 0; i < 6; ++i) {
    target.hub.Send(target.up[0], std::string(kMaxMessageBytes, 'x'));
  }
  CHECK(RunUntil(event_loop,
                 [&] { return target.WasClosedFor("reads too slowly"); }));
  CHECK(target.hub.unsent_bytes() == 0);
}

// Each link is below its own limit.
TEST_CASE("peers that read nothing share a limit, which spares the others") {
  loop event_loop;
  server target(event_loop);
  std::vector<std::unique_ptr<silent_peer>> peers;
  for (int i = 0; i < 4; ++i) {
    peers.push_back(std::make_unique<silent_peer>(target.address, ""));
  }
  REQUIRE(RunUntil(event_loop, [&] { return target.up.size() == 4; }));
  for (const link_id link : target.up) {
    for (int i = 0; i < 3; ++i) {
      target.hub.Send(link, std::string(kMaxMessageBytes, 'x'));
    }
  }
  // Above the limit for a moment, as with a new configuration.
  CHECK(target.hub.unsent_bytes() == 12 * kMaxMessageBytes);
  RunUntil(
      event_loop, [] { return false; }, 1'500'000);
  CHECK(target.down_reasons.empty());

  base::hybrid_clock clock;
  std::size_t received = 0;
  bool down = false;
  link_hub ordinary(
      {.event_loop = &event_loop,
       .self = {.name = "ordinary", .role = "entry"},
       .clock = &clock},
      {.on_up = [](link_id, dial_id, const peer_identity&) {},
       .on_message = [&](link_id, std::string_view) { ++received; },
       .on_down = [&](link_id, std::string_view) { down = true; }});
  ordinary.Dial(target.address);
  REQUIRE(RunUntil(event_loop, [&] { return target.up.size() == 5; }));
  target.hub.Send(target.up[4], std::string(kMaxMessageBytes, 'x'));
  for (int i = 0; i < 4; ++i) {
    target.hub.Send(target.up[4], "a");
  }
  REQUIRE(RunUntil(event_loop, [&] { return received == 5; }));
  CHECK_FALSE(down);
  CHECK(target.WasClosedFor("unsent messages of all links"));
  CHECK(target.hub.unsent_bytes() <= 8 * kMaxMessageBytes);
}

TEST_CASE("large incomplete messages of all peers share a limit") {
  loop event_loop;
  server target(event_loop);
  constexpr std::size_t kMostBytes = 8 * kMaxMessageBytes;
  const std::string part =
      Words32({0, 1024 * 1024}) + std::string(kMaxMessageBytes - 8, '\0');
  std::vector<std::unique_ptr<silent_peer>> peers;
  for (int i = 0; i < 12; ++i) {
    peers.push_back(std::make_unique<silent_peer>(target.address, part));
  }
  std::size_t most = 0;
  CHECK(RunUntil(event_loop, [&] {
    most = std::max(most, target.hub.input_bytes());
    return target.WasClosedFor("incomplete messages of all links");
  }));
  CHECK(most <= kMostBytes);
}

TEST_CASE("a peer can't make the process keep answers without end") {
  loop event_loop;
  server target(event_loop);
  std::string bytes;
  // Less than a heartbeat, after which the answers would be freed as well.
  constexpr base::time_us kLimitUs = 8'000'000;

  SUBCASE("by calls that it doesn't finish") {
    for (std::uint32_t id = 0; id < 2 * kMaxOpenCalls; ++id) {
      bytes += Bootstrap(100'000 + id);
    }
    const silent_peer peer(target.address, bytes);
    CHECK(RunUntil(
        event_loop,
        [&] { return target.WasClosedFor("doesn't finish its calls"); },
        kLimitUs));
  }
  SUBCASE("by answers that it doesn't read") {
    // Enough answers to fill the buffers of both sockets.
    for (std::uint32_t id = 0; id < 150'000; ++id) {
      bytes += Bootstrap(100'000 + id) + Finish(100'000 + id);
    }
    const silent_peer peer(target.address, bytes);
    CHECK(RunUntil(
        event_loop,
        [&] { return target.WasClosedFor("doesn't read the answers"); },
        kLimitUs));
  }
}

}  // namespace
}  // namespace wisteriaroute::net
