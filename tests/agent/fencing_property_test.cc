#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <optional>
#include <set>

#include "libwisteriaroute/agent/agent.h"

namespace wisteriaroute::agent {
namespace {

constexpr int kSchedules = 2'000;
constexpr int kFullSize = 100;

struct action {
  int kind = 0;
  int which = 0;
  int how = 0;
};

void showValue(const action& shown, std::ostream& out) {
  out << "{" << shown.kind << "," << shown.which << "," << shown.how << "}";
}

/**
 * Leaders of rising terms and a backend server that ignores fencing numbers.
 * Replaced leaders keep running and send their orders late and repeatedly.
 */
class order_world {
 public:
  order_world() { Restart(); }

  void Run(const action& next) {
    now_us_ += 100'000;
    switch (next.kind % 10) {
      case 0:
        ++term_;
        break;
      case 1:
        // Only the newest leader can commit an order.
        orders_.push_back({.order_id = ++index_,
                           .fencing = {term_, index_},
                           .kind = next.how % 3 == 0
                                       ? wire::order_kind::kStageMap
                                       : wire::order_kind::kArmMap,
                           .epoch = index_});
        break;
      case 2:
      case 3:
      case 4:
        Deliver(next);
        break;
      case 5:
        // Only the newest leader has a quorum that confirms sessions.
        confirmed_ = wire::fencing_number{term_, 0};
        Step(lease_extended{now_us_ + 1'000'000, *confirmed_});
        break;
      case 6:
      case 7:
        Answer(next);
        break;
      case 8:
        Step(group_result{.ok = true, .report = {.staged_epoch = index_}});
        break;
      default:
        if (next.how % 4 == 0) {
          Restart();
        }
        Step(tick{});
    }
  }

 private:
  void Restart() {
    state_ = StartAgent({.name = "a", .group = "g", .engine = true},
                        now_us_ + 1, now_us_);
    confirmed_.reset();
    forwarded_.clear();
    answers_.clear();
    in_progress_.reset();
    last_forwarded_ = {};
  }

  void Deliver(const action& next) {
    if (orders_.empty()) {
      return;
    }
    wire::order sent =
        orders_[static_cast<std::size_t>(next.which) % orders_.size()];
    if (next.how % 4 == 0) {
      // The newest leader repeats the order with its own term.
      sent.fencing.term = term_;
    }
    Step(control_received{sent});
  }

  void Answer(const action& next) {
    if (!in_progress_) {
      return;
    }
    const std::uint64_t id = *in_progress_;
    in_progress_.reset();
    const bool never_sent = next.how % 4 == 0;
    if (never_sent) {
      forwarded_.erase(id);
    }
    Step(order_answered{.order_id = id,
                        .never_sent = never_sent,
                        .result = next.how % 3 == 0
                                      ? wire::order_status::kFailed
                                      : wire::order_status::kDone});
  }

  void Step(const agent_event& event) {
    for (const agent_effect& effect : agent::Step(state_, event, now_us_)) {
      if (const auto* forward = std::get_if<forward_order>(&effect)) {
        CheckForwarded(forward->order);
      } else if (const auto* send = std::get_if<send_control>(&effect)) {
        if (const auto* result =
                std::get_if<wire::order_result>(&send->message)) {
          CheckAnswer(*result);
        }
      }
    }
  }

  void CheckForwarded(const wire::order& forwarded) {
    RC_ASSERT(confirmed_.has_value());
    RC_ASSERT(forwarded.fencing >= *confirmed_);
    RC_ASSERT(forwarded.fencing >= last_forwarded_);
    RC_ASSERT(forwarded_.insert(forwarded.order_id).second);
    RC_ASSERT(!in_progress_);
    last_forwarded_ = forwarded.fencing;
    in_progress_ = forwarded.order_id;
  }

  void CheckAnswer(const wire::order_result& result) {
    if (result.result == wire::order_status::kFenced) {
      RC_ASSERT(result.fencing < state_.orders.highest_fencing);
      return;
    }
    RC_ASSERT(forwarded_.count(result.order_id) == 1);
    const auto [known, first] = answers_.emplace(result.order_id, result);
    RC_ASSERT(first || known->second == result);
  }

  base::time_us now_us_ = 1'000'000;
  std::uint64_t term_ = 1;
  std::uint64_t index_ = 0;
  std::vector<wire::order> orders_;
  agent_state state_;
  std::optional<wire::fencing_number> confirmed_;
  wire::fencing_number last_forwarded_;
  std::set<std::uint64_t> forwarded_;
  std::map<std::uint64_t, wire::order_result> answers_;
  std::optional<std::uint64_t> in_progress_;
};

// Guards against orders of replaced leaders that reach a backend server, and
// against orders that run twice.
TEST_CASE("orders are fenced and run at most once while leaders change") {
  const auto number = rc::gen::resize(kFullSize, rc::gen::inRange(0, 840));
  const auto any_action = rc::gen::build<action>(
      rc::gen::set(&action::kind, number), rc::gen::set(&action::which, number),
      rc::gen::set(&action::how, number));
  auto params = rc::detail::configuration().testParams;
  params.maxSuccess = kSchedules;
  const auto result = rc::detail::checkTestable(
      [&] {
        const auto schedule = *rc::gen::scale(
            2.0, rc::gen::container<std::vector<action>>(any_action));
        order_world world;
        for (const action& next : schedule) {
          world.Run(next);
        }
      },
      rc::detail::TestMetadata{}, params);
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << "\n";
  CHECK(result.template is<rc::detail::SuccessResult>());
}

}  // namespace
}  // namespace wisteriaroute::agent
