#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>

#include "libwisteriaroute/net/http_client.h"
#include "libwisteriaroute/net/http_server.h"
#include "tests/net/raw_server.h"
#include "tests/run_until.h"

namespace wisteriaroute::net {
namespace {

using testing::raw_server;
using testing::RunUntil;

constexpr std::size_t kMiB = 1024 * 1024;
// More than the buffers of both sockets hold.
constexpr std::size_t kLargeBytes = 48 * kMiB;
// Room that Linux gives the buffers of both sockets at most by default.
constexpr std::size_t kSocketBytes = 16 * kMiB;
constexpr std::size_t kOneRead = 16 * 1024;

/** Runs the loop for some time. */
void RunFor(loop& event_loop, base::time_us duration_us) {
  RunUntil(
      event_loop, [] { return false; }, duration_us);
}

/** A transfer whose data are counted, and that may pause itself. */
struct counted_transfer {
  std::size_t bytes = 0;
  std::optional<http_client_result> result;
  bool pause_at_data = false;
  transfer_id id = 0;

  void Start(http_client& client, http_client_request request) {
    id = client.Start(
        std::move(request),
        {.on_data =
             [this, &client](std::string_view data) {
               bytes += data.size();
               if (pause_at_data) {
                 client.Pause(id);
               }
             },
         .on_done = [this](const http_client_result& end) { result = end; }});
  }
};

/** A server on the test's loop that streams `kLargeBytes`. */
struct large_stream_server {
  explicit large_stream_server(loop& event_loop)
      : server(event_loop,
               {},
               {.on_request =
                    [this](exchange_id id, http_server_request) {
                      exchange = id;
                      server.StartStream(id, 200, {});
                      server.Write(id, std::string(kLargeBytes, 'x'));
                      server.EndStream(id);
                    }}),
        url("http://" + server.Listen("127.0.0.1:0") + "/") {}

  exchange_id exchange = 0;
  http_server server;
  std::string url;
};

// Guards against a process that reads a response faster than its caller does,
// and keeps the difference in memory.
TEST_CASE("a paused transfer leaves the response with its server") {
  loop event_loop;
  http_client client(event_loop);
  large_stream_server sending(event_loop);
  counted_transfer transfer;
  transfer.pause_at_data = true;
  transfer.Start(client, {.url = sending.url});
  REQUIRE(RunUntil(event_loop, [&] { return transfer.bytes > 0; }));
  RunFor(event_loop, 300'000);
  CHECK(transfer.bytes <= kOneRead);
  CHECK(client.held_bytes() <= kOneRead);
  CHECK_FALSE(transfer.result);

  SUBCASE("until it is resumed") {
    transfer.pause_at_data = false;
    client.Resume(transfer.id);
    REQUIRE(RunUntil(event_loop, [&] { return transfer.result.has_value(); }));
    CHECK(transfer.result->ok);
    CHECK(transfer.bytes == kLargeBytes);
  }
  SUBCASE("piece by piece if it is paused again") {
    for (int i = 0; i < 3; ++i) {
      const std::size_t before = transfer.bytes;
      client.Resume(transfer.id);
      REQUIRE(RunUntil(event_loop, [&] { return transfer.bytes > before; }));
      RunFor(event_loop, 20'000);
      CHECK(transfer.bytes <= before + kOneRead);
    }
  }
  SUBCASE("and can be cancelled") {
    client.Cancel(transfer.id);
    CHECK(client.held_bytes() == 0);
    CHECK(RunUntil(event_loop, [&] { return client.transfer_count() == 0; }));
  }
}

TEST_CASE("a paused transfer ends at its time limit") {
  loop event_loop;
  http_client client(event_loop);
  large_stream_server sending(event_loop);
  counted_transfer transfer;
  transfer.pause_at_data = true;
  transfer.Start(client, {.url = sending.url, .timeout_ms = 300});
  REQUIRE(RunUntil(event_loop, [&] { return transfer.result.has_value(); }));
  CHECK_FALSE(transfer.result->ok);
  CHECK(transfer.result->error == "timed out");
  CHECK(transfer.bytes <= kOneRead);
  CHECK(client.held_bytes() == 0);
}

TEST_CASE("a transfer that is paused before its connect receives nothing") {
  loop event_loop;
  http_client client(event_loop);
  raw_server server;
  counted_transfer transfer;
  transfer.Start(client, {.url = server.url()});
  client.Pause(transfer.id);
  server.Accept(event_loop);
  server.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  server.Close();
  RunFor(event_loop, 100'000);
  CHECK(transfer.bytes == 0);
  // Neither the data nor the end of the connection are lost.
  CHECK_FALSE(transfer.result);
  client.Resume(transfer.id);
  REQUIRE(RunUntil(event_loop, [&] { return transfer.result.has_value(); }));
  CHECK(transfer.result->ok);
  CHECK(transfer.bytes == 4);
}

TEST_CASE("pausing ignores unknown and ended transfers") {
  loop event_loop;
  http_client client(event_loop);
  client.Pause(17);
  client.Resume(17);
  raw_server server;
  counted_transfer transfer;
  transfer.Start(client, {.url = server.url()});
  client.Cancel(transfer.id);
  client.Pause(transfer.id);
  client.Resume(transfer.id);
  CHECK(client.transfer_count() == 0);
}

// A connection that isn't read wouldn't serve the next request.
TEST_CASE("a connection is read again after its paused transfer is complete") {
  loop event_loop;
  http_client client(event_loop);
  http_server* answering = nullptr;
  http_server server(event_loop, {},
                     {.on_request = [&](exchange_id id, http_server_request) {
                       answering->Respond(id, 200, {}, "body");
                     }});
  answering = &server;
  const std::string url = "http://" + server.Listen("127.0.0.1:0") + "/";
  for (int i = 0; i < 2; ++i) {
    counted_transfer transfer;
    transfer.pause_at_data = true;
    transfer.Start(client, {.url = url, .reuse_connection = true});
    REQUIRE(RunUntil(event_loop, [&] { return transfer.result.has_value(); }));
    CHECK(transfer.result->ok);
    CHECK(transfer.bytes == 4);
  }
  CHECK(client.connections_made() == 1);
}

TEST_CASE("the client counts the bytes that it holds") {
  loop event_loop;
  http_client client(event_loop);
  raw_server server;
  counted_transfer transfer;

  SUBCASE("of requests that the server doesn't read") {
    transfer.Start(client, {.method = "POST",
                            .url = server.url(),
                            .body = std::string(kLargeBytes, 'b')});
    CHECK(client.held_bytes() >= kLargeBytes);
    server.Accept(event_loop);
    RunFor(event_loop, 100'000);
    CHECK(client.held_bytes() >= kLargeBytes - kSocketBytes);
    client.Cancel(transfer.id);
    CHECK(client.held_bytes() == 0);
  }
  SUBCASE("but not of requests that were sent") {
    transfer.Start(client, {.method = "POST",
                            .url = server.url(),
                            .body = std::string(1'000, 'b')});
    CHECK(client.held_bytes() >= 1'000);
    server.Accept(event_loop);
    CHECK(RunUntil(event_loop, [&] { return client.held_bytes() == 0; }));
  }
  SUBCASE("of incomplete lines") {
    transfer.Start(client, {.url = server.url()});
    server.Accept(event_loop);
    RunFor(event_loop, 20'000);
    server.Send("HTTP/1.1 200 OK\r\nx-name: " + std::string(1'000, 'x'));
    CHECK(RunUntil(event_loop, [&] { return client.held_bytes() >= 1'000; }));
    server.Send("\r\nContent-Length: 4\r\n\r\nbo");
    CHECK(RunUntil(event_loop, [&] { return transfer.bytes == 2; }));
    CHECK(client.held_bytes() == 0);
    server.Send("dy");
    REQUIRE(RunUntil(event_loop, [&] { return transfer.result.has_value(); }));
    CHECK(transfer.result->ok);
    CHECK(client.held_bytes() == 0);
  }
}

}  // namespace
}  // namespace wisteriaroute::net
