#include "libwisteriaroute/net/link_hub.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/net/address.h"

namespace wisteriaroute::net {

namespace {

constexpr base::time_us kMinBackoffUs = 50'000;
constexpr base::time_us kMaxBackoffUs = 1'000'000;
// Far above the 2,710 members of one control replica at full size. Limits the
// resources that unauthenticated connections can use.
constexpr std::size_t kMaxLinks = 8'192;

// Returns a random delay between half and all of the back-off, so processes
// that lost the same peer don't reconnect at the same time.
base::time_us Jittered(base::time_us backoff) {
  return backoff / 2 +
         static_cast<base::time_us>(
             base::RandomU64() % static_cast<std::uint64_t>(backoff / 2 + 1));
}

}  // namespace

link_hub::link_hub(link_context context, hub_callbacks callbacks)
    : context_(std::move(context)), callbacks_(std::move(callbacks)) {}

link_hub::~link_hub() {
  for (const auto& listener : listeners_) {
    ev_io_stop(context_.event_loop->ev(), &listener->watcher);
    close(listener->fd);
  }
}

std::string link_hub::Listen(std::string_view address) {
  auto entry = std::make_unique<listener>();
  entry->hub = this;
  entry->fd = OpenListener(address);
  ev_io_init(
      &entry->watcher,
      [](struct ev_loop*, ev_io* watcher, int) {
        auto* self = static_cast<listener*>(watcher->data);
        self->hub->Accept(self->fd);
      },
      entry->fd, EV_READ);
  entry->watcher.data = entry.get();
  ev_io_start(context_.event_loop->ev(), &entry->watcher);
  listeners_.push_back(std::move(entry));
  return LocalAddress(listeners_.back()->fd);
}

void link_hub::Accept(int fd) {
  while (true) {
    const int accepted =
        accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    if (links_.size() >= kMaxLinks) {
      close(accepted);
      continue;
    }
    AddLink(accepted, link::side::kAccepted, 0);
  }
}

dial_id link_hub::Dial(std::string_view address, base::time_ms heartbeat_ms) {
  ParseAddress(address);
  const dial_id dial = next_dial_++;
  dialled_[dial] = {.address = std::string(address),
                    .heartbeat_ms = heartbeat_ms};
  Connect(dial);
  return dial;
}

void link_hub::Undial(dial_id dial) {
  const auto it = dialled_.find(dial);
  if (it == dialled_.end()) {
    return;
  }
  const link_id current = it->second.current;
  dialled_.erase(it);
  Close(current, "no longer dialled");
}

void link_hub::Connect(dial_id dial) {
  const auto it = dialled_.find(dial);
  if (it == dialled_.end()) {
    return;
  }
  const socket_address address = ParseAddress(it->second.address);
  const int fd = socket(address.storage.ss_family,
                        SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    ScheduleRetry(dial);
    return;
  }
  if (connect(fd, address.get(), address.length) != 0 && errno != EINPROGRESS) {
    close(fd);
    ScheduleRetry(dial);
    return;
  }
  AddLink(fd, link::side::kDialled, dial);
}

void link_hub::ScheduleRetry(dial_id dial) {
  const auto it = dialled_.find(dial);
  if (it == dialled_.end()) {
    return;
  }
  dialled& entry = it->second;
  entry.backoff_us =
      std::clamp(entry.backoff_us * 2, kMinBackoffUs, kMaxBackoffUs);
  if (entry.retry == nullptr) {
    entry.retry = std::make_unique<timer>(context_.event_loop->ev(),
                                          [this, dial] { Connect(dial); });
  }
  entry.retry->Start(Jittered(entry.backoff_us));
}

void link_hub::AddLink(int fd, link::side side, dial_id dial) {
  const link_id id = next_link_++;
  auto was_up = std::make_shared<bool>(false);
  link_callbacks callbacks;
  callbacks.on_up = [this, id, dial, was_up](const peer_identity& peer) {
    *was_up = true;
    const auto it = dialled_.find(dial);
    if (it != dialled_.end()) {
      it->second.backoff_us = 0;
    }
    callbacks_.on_up(id, dial, peer);
  };
  callbacks.on_message = [this, id](std::string_view body) {
    callbacks_.on_message(id, body);
  };
  callbacks.on_down = [this, id, dial, was_up](std::string_view reason) {
    HandleDown(id, dial, *was_up, reason);
  };
  link_context context = context_;
  if (dial != 0) {
    dialled_[dial].current = id;
    context.self.heartbeat_ms = dialled_[dial].heartbeat_ms;
  }
  links_[id] = std::make_unique<link>(context, fd, side, std::move(callbacks));
}

void link_hub::HandleDown(link_id id,
                          dial_id dial,
                          bool was_up,
                          std::string_view why) {
  const std::string reason(why);
  // The link owns the callback that calls this function, so it must outlive the
  // call.
  auto node = links_.extract(id);
  if (!node.empty()) {
    context_.event_loop->Defer(
        [dead = std::shared_ptr<link>(std::move(node.mapped()))] {});
  }
  ScheduleRetry(dial);
  if (was_up) {
    callbacks_.on_down(id, reason);
  }
}

void link_hub::Send(link_id id, std::string body) {
  const auto it = links_.find(id);
  if (it != links_.end()) {
    it->second->Send(std::move(body));
  }
}

void link_hub::Close(link_id id, std::string_view reason) {
  const auto it = links_.find(id);
  if (it != links_.end()) {
    it->second->Close(reason);
  }
}

}  // namespace wisteriaroute::net
