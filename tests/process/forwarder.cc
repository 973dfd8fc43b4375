#include "tests/process/forwarder.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

#include "libwisteriaroute/net/address.h"

namespace wisteriaroute::testing {

namespace {

constexpr int kPollMs = 5;

// Blocking writes can't deadlock, because both ends read all the time.
bool Copy(int from, int to, bool drop) {
  std::array<char, 65'536> buffer;
  const ssize_t count = read(from, buffer.data(), buffer.size());
  if (count <= 0) {
    return false;
  }
  if (drop) {
    return true;
  }
  ssize_t done = 0;
  while (done < count) {
    const ssize_t n =
        send(to, buffer.data() + done, static_cast<std::size_t>(count - done),
             MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    done += n;
  }
  return true;
}

}  // namespace

forwarder::forwarder(std::string target)
    : target_(std::move(target)), listener_(net::OpenListener("127.0.0.1:0")) {
  address_ = net::LocalAddress(listener_);
  thread_ = std::thread([this] { Run(); });
}

forwarder::~forwarder() {
  stop_ = true;
  thread_.join();
  for (const connection& each : connections_) {
    close(each.client);
    close(each.server);
  }
  close(listener_);
}

void forwarder::Accept() {
  const int client = accept(listener_, nullptr, nullptr);
  if (client < 0) {
    return;
  }
  const net::socket_address address = net::ParseAddress(target_);
  const int server = socket(address.storage.ss_family, SOCK_STREAM, 0);
  if (connect(server, address.get(), address.length) != 0) {
    close(client);
    close(server);
    return;
  }
  connections_.push_back({.client = client, .server = server});
}

bool forwarder::Forward(connection& target,
                        short client_events,
                        short server_events) {
  const bool drop = target.silent || partitioned_;
  const bool client_open =
      client_events == 0 || Copy(target.client, target.server, drop);
  const bool server_open =
      server_events == 0 || Copy(target.server, target.client, drop);
  // A silent connection stays open after one end has closed it, so the other
  // end doesn't notice.
  return drop || (client_open && server_open);
}

void forwarder::Run() {
  while (!stop_) {
    std::vector<pollfd> polled = {{.fd = listener_, .events = POLLIN}};
    for (const connection& each : connections_) {
      polled.push_back({.fd = each.client, .events = POLLIN});
      polled.push_back({.fd = each.server, .events = POLLIN});
    }
    poll(polled.data(), polled.size(), kPollMs);
    if (silence_open_.exchange(false)) {
      for (connection& each : connections_) {
        each.silent = true;
      }
    }
    for (std::size_t i = connections_.size(); i-- > 0;) {
      if (!Forward(connections_[i], polled[2 * i + 1].revents,
                   polled[2 * i + 2].revents)) {
        close(connections_[i].client);
        close(connections_[i].server);
        connections_.erase(connections_.begin() +
                           static_cast<std::ptrdiff_t>(i));
      }
    }
    if ((polled[0].revents & POLLIN) != 0) {
      Accept();
    }
  }
}

}  // namespace wisteriaroute::testing
