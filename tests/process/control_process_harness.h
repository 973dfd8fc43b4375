#ifndef TESTS_PROCESS_CONTROL_PROCESS_HARNESS_H_
#define TESTS_PROCESS_CONTROL_PROCESS_HARNESS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "libwisteriaroute/base/hlc.h"
#include "libwisteriaroute/member/control_session.h"
#include "libwisteriaroute/net/link_hub.h"
#include "libwisteriaroute/net/loop.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::testing {

/** Runs three control replicas as processes, with clients in the test. */
class control_harness {
 public:
  /** Starts all replicas of a new cluster. */
  control_harness();
  /** Kills the replicas and removes their directories. */
  ~control_harness();
  control_harness(const control_harness&) = delete;
  control_harness& operator=(const control_harness&) = delete;

  void Start(std::size_t replica, bool bootstrap = false);
  void Signal(std::size_t replica, int signal_number);
  /** Sends the signal and waits until it exits; returns the exit status. */
  int SignalAndWait(std::size_t replica, int signal_number);
  void WipeDisk(std::size_t replica);
  /** While its disk is full, the process can write no data to files. */
  void SetDiskFull(std::size_t replica, bool full);
  /** Whether the process that was started last still runs. */
  bool IsAlive(std::size_t replica) const;
  /** Returns the size of all files in its data directory. */
  std::uintmax_t DataBytes(std::size_t replica) const;

  bool RunUntil(const std::function<bool()>& condition,
                base::time_us limit_us = 10'000'000);
  void RunFor(base::time_us duration_us);
  /** Like RunUntil, for conditions that run the event loop themselves. */
  bool Eventually(const std::function<bool()>& condition,
                  base::time_us limit_us = 10'000'000);

  /** Sends a request to one replica; returns the key of its `replies`. */
  std::uint64_t Send(std::size_t replica, wire::admin_call call);
  /** Sends a call to all replicas until one decides it or the limit passes. */
  std::optional<wire::admin_reply> Call(const wire::admin_call& call,
                                        base::time_us limit_us = 5'000'000);
  /** Returns the JSON of an accepted call; null otherwise. */
  nlohmann::json CallJson(const wire::admin_call& call);
  /** Returns the replica that the status names as leader. */
  std::optional<std::size_t> Leader(base::time_us limit_us = 5'000'000);
  /** Returns a request that adds a region to revision `base`. */
  wire::publish_request MakeRegionRequest(std::uint64_t base,
                                          const std::string& name);

  /** What a member in the test's process has received from control. */
  struct member_view {
    wisteriaroute::member::control_session* session = nullptr;
    std::uint64_t revision = 0;
    base::time_us lease_until_us = 0;
    std::vector<wire::control_message> messages;
  };
  member_view& AddMember(const std::string& name, wire::member_role role);

  std::map<std::uint64_t, wire::admin_reply> replies;
  std::vector<std::string> addresses;

 private:
  void Bootstrap(std::size_t replica);
  struct simulated_member;

  void WriteSettings(std::size_t replica);
  std::string Path(std::size_t replica, const std::string& suffix) const;
  void HandleMessage(std::string_view body);

  net::loop loop_;
  base::hybrid_clock clock_;
  std::string folder_;
  std::vector<int> pids_;
  std::map<net::dial_id, std::size_t> dials_;
  std::map<std::size_t, net::link_id> links_;
  std::unique_ptr<net::link_hub> hub_;
  std::vector<std::unique_ptr<simulated_member>> members_;
  std::uint64_t last_correlation_ = 0;
};

}  // namespace wisteriaroute::testing

#endif  // TESTS_PROCESS_CONTROL_PROCESS_HARNESS_H_
