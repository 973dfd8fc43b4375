#include "libwisteriaroute/net/link_hub.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "libwisteriaroute/net/address.h"
#include "tests/run_until.h"

namespace wisteriaroute::net {
namespace {

using testing::RunUntil;

struct endpoint {
  endpoint(loop& event_loop, std::string name, std::string key)
      : hub({.event_loop = &event_loop,
             .self = {.name = std::move(name), .role = "entry"},
             .cluster_key = std::move(key),
             .clock = &clock},
            {.on_up =
                 [this](link_id id, dial_id, const peer_identity& peer) {
                   link = id;
                   peers.push_back(peer.name);
                 },
             .on_message =
                 [this](link_id id, std::string_view body) {
                   messages.emplace_back(body);
                   if (echo) {
                     hub.Send(id, std::string(body));
                   }
                 },
             .on_down =
                 [this](link_id, std::string_view reason) {
                   down_reasons.emplace_back(reason);
                 }}) {}

  base::hybrid_clock clock;
  link_id link = 0;
  bool echo = false;
  std::vector<std::string> peers;
  std::vector<std::string> messages;
  std::vector<std::string> down_reasons;
  link_hub hub;
};

TEST_CASE("two processes exchange messages over a link") {
  loop event_loop;
  endpoint server(event_loop, "server", "a shared cluster key");
  const std::string address = server.hub.Listen("127.0.0.1:0");

  SUBCASE("a client that knows the cluster key is accepted") {
    endpoint client(event_loop, "client", "a shared cluster key");
    server.echo = true;
    client.hub.Dial(address);
    REQUIRE(RunUntil(event_loop, [&] { return !client.peers.empty(); }));
    CHECK(client.peers.front() == "server");
    CHECK(server.peers.front() == "client");

    SUBCASE("and messages arrive complete and in order") {
      std::vector<std::string> sent;
      for (int i = 0; i < 1'000; ++i) {
        sent.push_back("message " + std::to_string(i));
      }
      sent.push_back(std::string(kMaxMessageBytes, 'x'));
      for (const std::string& body : sent) {
        client.hub.Send(client.link, body);
      }
      REQUIRE(RunUntil(event_loop,
                       [&] { return client.messages.size() == sent.size(); }));
      CHECK(server.messages == sent);
      CHECK(client.messages == sent);
    }

    SUBCASE("and a closed link is dialled again") {
      server.hub.Close(server.link, "test");
      REQUIRE(RunUntil(event_loop, [&] { return client.peers.size() == 2; }));
      CHECK(client.down_reasons.size() == 1);
    }

    SUBCASE("and a message over the limit closes the link") {
      client.hub.Send(client.link, std::string(kMaxMessageBytes + 1, 'x'));
      REQUIRE(RunUntil(event_loop,
                       [&] { return client.down_reasons.size() == 1; }));
      CHECK(server.messages.empty());
    }
  }

  SUBCASE("an idle link uses the heartbeat that the client asks for") {
    endpoint client(event_loop, "client", "a shared cluster key");
    constexpr base::time_ms kLongHeartbeatMs = 2'000;
    client.hub.Dial(address, kLongHeartbeatMs);
    REQUIRE(RunUntil(event_loop, [&] { return !server.peers.empty(); }));
    // Longer than three default heartbeats, after which a link is closed.
    const base::time_us until =
        base::MonotonicUs() + 3 * kLinkHeartbeatMs * 1'000 + 700'000;
    RunUntil(event_loop, [&] { return base::MonotonicUs() > until; });
    CHECK(client.down_reasons.empty());
    CHECK(server.down_reasons.empty());
  }

  SUBCASE("a client with another key never gets a channel") {
    endpoint intruder(event_loop, "intruder", "some other cluster key");
    intruder.hub.Dial(address);
    RunUntil(event_loop, [&] { return server.hub.link_count() > 0; });
    CHECK(RunUntil(event_loop, [&] { return server.hub.link_count() == 0; }));
    CHECK(server.peers.empty());
    CHECK(intruder.peers.empty());
  }

  SUBCASE("bytes that are no RPC frame close only their connection") {
    const socket_address target = ParseAddress(address);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(fd, target.get(), target.length) == 0);
    const std::string garbage(4'096, '\xff');
    CHECK(write(fd, garbage.data(), garbage.size()) > 0);
    RunUntil(event_loop, [&] { return server.hub.link_count() > 0; });
    CHECK(RunUntil(event_loop, [&] { return server.hub.link_count() == 0; }));
    close(fd);
    endpoint client(event_loop, "client", "a shared cluster key");
    client.hub.Dial(address);
    CHECK(RunUntil(event_loop, [&] { return !client.peers.empty(); }));
  }

  SUBCASE("a connection that never starts the handshake is closed") {
    const socket_address target = ParseAddress(address);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(fd, target.get(), target.length) == 0);
    RunUntil(event_loop, [&] { return server.hub.link_count() > 0; });
    CHECK(RunUntil(event_loop, [&] { return server.hub.link_count() == 0; }));
    close(fd);
  }
}

}  // namespace
}  // namespace wisteriaroute::net
