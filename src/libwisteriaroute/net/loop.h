#ifndef LIBWISTERIAROUTE_NET_LOOP_H_
#define LIBWISTERIAROUTE_NET_LOOP_H_

#include <ev.h>
#include <kj/async.h>

#include <functional>
#include <memory>
#include <vector>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::net {

/** A libev timer with a callback; stops when destroyed. */
class timer {
 public:
  timer(struct ev_loop* loop, std::function<void()> callback);
  ~timer();
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;

  /** Calls back after `delay`, and then every `period` unless that is 0. */
  void Start(base::time_us delay, base::time_us period = 0);
  void Stop();

 private:
  struct ev_loop* loop_;
  std::function<void()> callback_;
  ev_timer watcher_;
};

/**
 * The event loop of a process. libev drives it and runs kj's event loop inside,
 * so Cap'n Proto RPC shares the thread.
 */
class loop final : private kj::EventPort {
 public:
  loop();
  ~loop();
  loop(const loop&) = delete;
  loop& operator=(const loop&) = delete;

  struct ev_loop* ev() {
    return ev_;
  }

  /** Runs until Stop is called. */
  void Run();
  void Stop();

  /** Runs `task` at the end of the current loop iteration. */
  void Defer(std::function<void()> task);

  /**
   * Returns the longest time that the loop ran without waiting for events, and
   * resets it.
   */
  base::time_us TakeLongestTurn();

  /** Calls back when the process receives `signal_number`. */
  void OnSignal(int signal_number, std::function<void()> callback);

 private:
  struct signal_watcher {
    ev_signal watcher;
    std::function<void()> callback;
  };

  bool wait() override;
  bool poll() override;
  void setRunnable(bool runnable) override;
  void RunPending();

  struct ev_loop* ev_;
  ev_prepare prepare_;
  ev_check check_;
  base::time_us turn_began_us_ = 0;
  base::time_us longest_turn_us_ = 0;
  ev_idle idle_;
  std::vector<std::function<void()>> deferred_;
  std::vector<std::unique_ptr<signal_watcher>> signals_;
  kj::EventLoop kj_loop_;
  kj::WaitScope wait_scope_;
};

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_LOOP_H_
