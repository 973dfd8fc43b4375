#include "libwisteriaroute/net/loop.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace wisteriaroute::net {

timer::timer(struct ev_loop* loop, std::function<void()> callback)
    : loop_(loop), callback_(std::move(callback)) {
  ev_timer_init(
      &watcher_,
      [](struct ev_loop*, ev_timer* watcher, int) {
        static_cast<timer*>(watcher->data)->callback_();
      },
      0, 0);
  watcher_.data = this;
}

timer::~timer() {
  Stop();
}

void timer::Start(base::time_us delay, base::time_us period) {
  Stop();
  ev_timer_set(&watcher_, static_cast<double>(delay) / 1e6,
               static_cast<double>(period) / 1e6);
  // The loop's cached time is outdated after a long callback; a timer relative
  // to it would fire early.
  ev_now_update(loop_);
  ev_timer_start(loop_, &watcher_);
}

void timer::Stop() {
  ev_timer_stop(loop_, &watcher_);
}

loop::loop()
    : ev_(ev_loop_new(EVFLAG_AUTO)), kj_loop_(*this), wait_scope_(kj_loop_) {
  if (ev_ == nullptr) {
    throw std::runtime_error("can't create the event loop");
  }
  // Writes to closed connections and pipes must return an error instead of
  // ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  // A write beyond the limit of a file's size then fails as on a full disk.
  std::signal(SIGXFSZ, SIG_IGN);
  ev_prepare_init(&prepare_, [](struct ev_loop*, ev_prepare* watcher, int) {
    loop& self = *static_cast<loop*>(watcher->data);
    self.RunPending();
    if (self.turn_began_us_ != 0) {
      self.longest_turn_us_ = std::max(
          self.longest_turn_us_, base::MonotonicUs() - self.turn_began_us_);
    }
  });
  prepare_.data = this;
  ev_prepare_start(ev_, &prepare_);
  ev_check_init(&check_, [](struct ev_loop*, ev_check* watcher, int) {
    static_cast<loop*>(watcher->data)->turn_began_us_ = base::MonotonicUs();
  });
  check_.data = this;
  ev_check_start(ev_, &check_);
  ev_idle_init(&idle_, [](struct ev_loop*, ev_idle*, int) {});
}

loop::~loop() {
  for (const auto& signal : signals_) {
    ev_signal_stop(ev_, &signal->watcher);
  }
  ev_prepare_stop(ev_, &prepare_);
  ev_check_stop(ev_, &check_);
  ev_idle_stop(ev_, &idle_);
  ev_loop_destroy(std::exchange(ev_, nullptr));
}

void loop::Run() {
  ev_run(ev_, 0);
}

void loop::Stop() {
  ev_break(ev_, EVBREAK_ALL);
}

void loop::Defer(std::function<void()> task) {
  deferred_.push_back(std::move(task));
  ev_idle_start(ev_, &idle_);
}

base::time_us loop::TakeLongestTurn() {
  return std::exchange(longest_turn_us_, 0);
}

void loop::OnSignal(int signal_number, std::function<void()> callback) {
  auto signal = std::make_unique<signal_watcher>();
  signal->callback = std::move(callback);
  ev_signal_init(
      &signal->watcher,
      [](struct ev_loop*, ev_signal* watcher, int) {
        static_cast<signal_watcher*>(watcher->data)->callback();
      },
      signal_number);
  signal->watcher.data = signal.get();
  ev_signal_start(ev_, &signal->watcher);
  signals_.push_back(std::move(signal));
}

// libev drives the loop, so kj must never block: no code of this project calls
// kj::Promise::wait.
bool loop::wait() {
  throw std::logic_error("kj must not block the event loop");
}

bool loop::poll() {
  return false;
}

void loop::setRunnable(bool runnable) {
  if (runnable && ev_ != nullptr) {
    ev_idle_start(ev_, &idle_);
  }
}

void loop::RunPending() {
  ev_idle_stop(ev_, &idle_);
  kj_loop_.run();
  while (!deferred_.empty()) {
    const auto tasks = std::exchange(deferred_, {});
    for (const auto& task : tasks) {
      task();
    }
    kj_loop_.run();
  }
}

}  // namespace wisteriaroute::net
