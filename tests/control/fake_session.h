#ifndef TESTS_CONTROL_FAKE_SESSION_H_
#define TESTS_CONTROL_FAKE_SESSION_H_

#include <functional>
#include <iterator>
#include <map>
#include <string>
#include <utility>

#include "libwisteriaroute/member/session.h"
#include "tests/control/fake_cluster.h"

namespace wisteriaroute::control {

/**
 * Runs the production session reducer of a member with its own clock rate and
 * links to all replicas of a fake cluster.
 */
class fake_session {
 public:
  fake_session(fake_cluster& cluster, wire::member_info info)
      : cluster_(cluster), rate_(0.97 + 0.06 * cluster.Fraction()) {
    state_.info = std::move(info);
    client_ = cluster.AddClient(
        {.on_open =
             [this](std::size_t replica, net::link_id link) {
               links_[link] = replica;
               Handle(member::control_up{link, fake_cluster::Name(replica)});
             },
         .on_message =
             [this](net::link_id link, const wire::control_message& message) {
               Handle(member::control_received{link, message});
             },
         .on_close = [this](net::link_id link) { HandleClose(link); }});
    for (std::size_t i = 0; i < 3; ++i) {
      cluster.Open(client_, i);
    }
    Tick();
  }
  fake_session(const fake_session&) = delete;
  fake_session& operator=(const fake_session&) = delete;

  /** Called with messages of the leader for the member. */
  std::function<void(const wire::control_message&)> on_message;
  std::function<void(const wire::fencing_number&)> on_lease;

  /** Restarts the process, which loses its lease and its links. */
  void Restart() {
    wire::member_info info = state_.info;
    ++info.incarnation;
    state_ = {.info = std::move(info)};
    frozen_until_us_ = 0;
    deferred_.clear();
    ++run_;
    const std::map<net::link_id, std::size_t> links = links_;
    for (const auto& [link, replica] : links) {
      cluster_.Close(link);
    }
  }

  /** Closes a random link; it is reopened later. */
  void BreakLink(base::time_us until_reopened_us) {
    if (links_.empty()) {
      return;
    }
    auto victim = links_.begin();
    std::advance(victim, cluster_.Pick(links_.size()));
    reopen_us_ = until_reopened_us;
    cluster_.Close(victim->first);
  }

  /** Stops the process for a while; its clock keeps running. */
  void Freeze(base::time_us duration) {
    // Never shortened, because the deferred events would be reordered.
    frozen_until_us_ = std::max(frozen_until_us_, cluster_.now_us + duration);
  }
  bool frozen() const { return cluster_.now_us < frozen_until_us_; }

  void Update(wire::member_info info, std::uint64_t revision) {
    Handle(member::member_changed{std::move(info), revision, true});
  }
  void Send(wire::control_message message) {
    Handle(member::send_to_leader{std::move(message)});
  }

  base::time_us LocalUs() const {
    return static_cast<base::time_us>(static_cast<double>(cluster_.now_us) *
                                      rate_);
  }
  const member::session_state& state() const { return state_; }
  /** Number of this run of the process. */
  int run() const { return run_; }

 private:
  void HandleClose(net::link_id link) {
    const std::size_t replica = links_[link];
    links_.erase(link);
    cluster_.At(50'000 + cluster_.Upto(reopen_us_),
                [this, replica] { cluster_.Open(client_, replica); });
    Handle(member::control_down{link});
  }

  void Tick() {
    cluster_.At(100'000, [this] {
      Handle(member::session_tick{});
      Tick();
    });
  }

  void Handle(const member::session_event& event) {
    if (frozen() || !deferred_.empty()) {
      // Messages that arrive during a freeze are read when it ends.
      deferred_.push_back(event);
      Resume();
      return;
    }
    Run(event);
  }

  void Resume() {
    if (frozen()) {
      cluster_.At(frozen_until_us_ - cluster_.now_us, [this] { Resume(); });
      return;
    }
    for (const member::session_event& event : std::exchange(deferred_, {})) {
      Run(event);
    }
  }

  void Run(const member::session_event& event) {
    for (const member::session_effect& effect :
         member::Step(state_, event, LocalUs())) {
      if (const auto* send = std::get_if<member::send_control>(&effect)) {
        cluster_.SendToReplica(send->link, send->message);
      } else if (const auto* got =
                     std::get_if<member::deliver_to_member>(&effect)) {
        if (on_message) {
          on_message(got->message);
        }
      } else if (const auto* lease =
                     std::get_if<member::lease_extended>(&effect)) {
        if (on_lease) {
          on_lease(lease->fencing);
        }
      }
    }
  }

  fake_cluster& cluster_;
  double rate_;
  std::size_t client_ = 0;
  member::session_state state_;
  std::map<net::link_id, std::size_t> links_;
  int run_ = 0;
  base::time_us reopen_us_ = 100'000;
  base::time_us frozen_until_us_ = 0;
  std::vector<member::session_event> deferred_;
};

}  // namespace wisteriaroute::control

#endif  // TESTS_CONTROL_FAKE_SESSION_H_
