#include "libwisteriaroute/net/link_hub.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/base/log.h"
#include "libwisteriaroute/net/address.h"
#include "libwisteriaroute/net/descriptors.h"

namespace wisteriaroute::net {

namespace {

constexpr base::time_us kMinBackoffUs = 50'000;
constexpr base::time_us kMaxBackoffUs = 1'000'000;
// Part of the process's descriptors that links may use by default.
constexpr std::size_t kDescriptorsPerLink = 4;
// Limits of all links together: eight of the largest messages each. Processes
// have 112 MB of memory at least.
constexpr std::size_t kMaxInputBytes = 8 * kMaxMessageBytes;
constexpr std::size_t kMaxUnsentBytes = 8 * kMaxMessageBytes;
// A sender is closed for the limit of all links only if it has sent this much.
constexpr std::size_t kLargeInputBytes = 64 * 1024;
// A reader is closed for the limit of all links only if it has received nothing
// for this long; a new configuration may exceed the limit for a moment.
constexpr base::time_us kStalledUs = 1'000'000;
// A handshake takes a few round trips. Above the limit of links that aren't
// authenticated, older ones make room for new ones; younger ones don't, so that
// some handshakes succeed when many processes connect at once.
constexpr base::time_us kSlowHandshakeUs = 500'000;
// Time without accepting if the process has no descriptors. The listener stays
// readable, so the loop would spin.
constexpr base::time_us kAcceptPauseUs = 100'000;
constexpr base::time_us kRefusalLogPeriodUs = 10'000'000;

// Returns a random delay between half and all of the back-off, so processes
// that lost the same peer don't reconnect at the same time.
base::time_us Jittered(base::time_us backoff) {
  return backoff / 2 +
         static_cast<base::time_us>(
             base::RandomU64() % static_cast<std::uint64_t>(backoff / 2 + 1));
}

}  // namespace

link_hub::link_hub(link_context context, hub_callbacks callbacks)
    : input_budget_(kMaxInputBytes, [this] { CloseSlowestSender(); }),
      unsent_budget_(kMaxUnsentBytes, [this] { CloseSlowestReader(); }),
      context_(std::move(context)),
      callbacks_(std::move(callbacks)),
      max_links_(DescriptorLimit() / kDescriptorsPerLink) {
  context_.input_budget = &input_budget_;
  context_.unsent_budget = &unsent_budget_;
}

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
        self->hub->Accept(*self);
      },
      entry->fd, EV_READ);
  entry->watcher.data = entry.get();
  entry->pause = std::make_unique<timer>(
      context_.event_loop->ev(), [this, self = entry.get()] {
        ev_io_start(context_.event_loop->ev(), &self->watcher);
      });
  ev_io_start(context_.event_loop->ev(), &entry->watcher);
  listeners_.push_back(std::move(entry));
  return LocalAddress(listeners_.back()->fd);
}

void link_hub::Accept(listener& from) {
  while (true) {
    const int accepted =
        accept4(from.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      if (errno == EMFILE || errno == ENFILE) {
        ev_io_stop(context_.event_loop->ev(), &from.watcher);
        from.pause->Start(kAcceptPauseUs);
      }
      return;
    }
    if (HasRoom()) {
      AddLink(accepted, link::side::kAccepted, 0);
    } else {
      Refuse(accepted);
    }
  }
}

bool link_hub::HasRoom() {
  if (links_.size() >= max_links_) {
    return false;
  }
  if (handshakes_.size() < max_links_ / 2) {
    return true;
  }
  const auto [oldest, since_us] = *handshakes_.begin();
  if (base::MonotonicUs() - since_us < kSlowHandshakeUs) {
    return false;
  }
  ++refused_;
  handshakes_.erase(oldest);
  Close(oldest, "too many connections that aren't authenticated");
  return true;
}

void link_hub::Refuse(int fd) {
  close(fd);
  ++refused_;
  const base::time_us now = base::MonotonicUs();
  if (now >= next_refusal_log_us_) {
    next_refusal_log_us_ = now + kRefusalLogPeriodUs;
    base::LogWarning("links_refused",
                     {{"cause", "limit"},
                      {"links", std::uint64_t{links_.size()}},
                      {"not_authenticated", std::uint64_t{handshakes_.size()}},
                      {"refused", refused_}});
  }
}

void link_hub::CloseSlowestSender() {
  link* slowest = nullptr;
  for (const auto& [id, one] : links_) {
    if (one->message_bytes() >= kLargeInputBytes && !one->closed() &&
        (slowest == nullptr ||
         one->message_began_us() < slowest->message_began_us())) {
      slowest = one.get();
    }
  }
  if (slowest != nullptr) {
    ++refused_;
    slowest->Close("incomplete messages of all links exceed their limit");
  }
}

void link_hub::CloseSlowestReader() {
  link* slowest = nullptr;
  for (const auto& [id, one] : links_) {
    if (one->unsent_bytes() > 0 && !one->closed() &&
        (slowest == nullptr ||
         one->unsent_since_us() < slowest->unsent_since_us())) {
      slowest = one.get();
    }
  }
  if (slowest != nullptr &&
      base::MonotonicUs() - slowest->unsent_since_us() >= kStalledUs) {
    ++refused_;
    slowest->Close("unsent messages of all links exceed their limit");
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
    handshakes_.erase(id);
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
  if (side == link::side::kAccepted) {
    handshakes_[id] = base::MonotonicUs();
  }
  links_[id] = std::make_unique<link>(context, fd, side, std::move(callbacks));
}

void link_hub::HandleDown(link_id id,
                          dial_id dial,
                          bool was_up,
                          std::string_view why) {
  const std::string reason(why);
  handshakes_.erase(id);
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
