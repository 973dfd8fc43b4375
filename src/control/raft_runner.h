#ifndef CONTROL_RAFT_RUNNER_H_
#define CONTROL_RAFT_RUNNER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "libwisteriaroute/control/settings.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/raft/raft.h"
#include "libwisteriaroute/storage/log_store.h"
#include "libwisteriaroute/storage/log_writer.h"

namespace wisteriaroute::control {

struct raft_runner_callbacks {
  /** Receives all effects except `persist`, in order. */
  std::function<void(raft::effect)> on_effect;
  /** The data directory is damaged; the process must exit. */
  std::function<void(const std::string& reason)> on_failed;
};

/** Runs the Raft reducer on the event loop; owns the data directory. */
class raft_runner {
 public:
  /**
   * Opens the data directory, and initializes it if it is empty. Waits while
   * the disk refuses to be written. Throws if the directory is damaged or in
   * use.
   */
  raft_runner(net::loop& event_loop,
              const control_settings& settings,
              raft_runner_callbacks callbacks);

  /**
   * Starts the Raft timer, and with it elections. The caller restores its state
   * from `stored_snapshot` first.
   */
  void Start();

  /** The latest snapshot; null if there is none. */
  const raft::snapshot* stored_snapshot() const;

  /** Handles an event after those in the queue. May be called in on_effect. */
  void Post(raft::event event);

  const raft::raft_state& state() const { return state_; }

 private:
  raft::stored_state Open(const control_settings& settings);
  raft::stored_state OpenOnce(const control_settings& settings);
  void Handle(const raft::event& event);
  void LogLostVoters();
  void SetDiskWritable(bool writable, const std::string& reason);

  raft_runner_callbacks callbacks_;
  storage::log_store store_;
  raft::raft_state state_;
  storage::log_writer writer_;
  net::timer tick_;
  std::deque<raft::event> queue_;
  bool handling_events_ = false;
  std::set<std::pair<std::string, std::uint64_t>> logged_losses_;
};

}  // namespace wisteriaroute::control

#endif  // CONTROL_RAFT_RUNNER_H_
