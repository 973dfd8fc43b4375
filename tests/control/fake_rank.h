#ifndef TESTS_CONTROL_FAKE_RANK_H_
#define TESTS_CONTROL_FAKE_RANK_H_

#include <map>
#include <optional>
#include <string>

#include "tests/control/fake_session.h"

namespace wisteriaroute::control {

/**
 * A rank of a lockstep group with its agent: carries out orders, refuses
 * those with a stale fencing number, and reports its step.
 */
class fake_rank {
 public:
  fake_rank(fake_cluster& cluster, std::string group, std::uint32_t rank)
      : cluster_(cluster),
        session_(cluster,
                 {.name = "agent-" + std::to_string(rank),
                  .role = wire::member_role::kAgent,
                  .incarnation = 1,
                  .backend = {.group = std::move(group),
                              .rank = rank,
                              .incarnation = cluster.random(),
                              .healthy = true}}) {
    session_.on_message = [this](const wire::control_message& message) {
      if (const auto* order = std::get_if<wire::order>(&message)) {
        HandleOrder(*order);
      } else if (const auto* update =
                     std::get_if<wire::config_update>(&message)) {
        session_.Update(session_.state().info, update->revision);
      }
    };
    // The first lease provides the fencing number; orders before are ignored.
    session_.on_lease = [this](const wire::fencing_number& number) {
      highest_ = std::max(highest_.value_or(number), number);
    };
    Report();
  }

  /** Restarts the agent and its engine. */
  void Restart() {
    ResetEngine();
    highest_.reset();
    session_.Restart();
    ReportNewIncarnation();
  }

  /** Restarts the engine only; the agent keeps running and reports it. */
  void RestartEngine() {
    ResetEngine();
    ReportNewIncarnation();
  }

  /** Freezes agent and engine; the other ranks wait at the step barrier. */
  void Freeze(base::time_us duration) { session_.Freeze(duration); }
  fake_session& session() { return session_; }

  std::uint64_t generation() const { return engine_.generation; }
  std::uint64_t step() const { return engine_.step; }

  /** Whether the rank can't run its next step, e.g. awaits a decision. */
  bool IsBlocked() const {
    return session_.frozen() || engine_.generation == 0 ||
           (engine_.armed && engine_.step >= engine_.armed->step);
  }

  /** Runs the next step and returns the map that the step used. */
  const wire::expert_map& RunStep() {
    if (engine_.decided && engine_.step >= engine_.decided->step) {
      engine_.map = engine_.staged[engine_.decided->epoch];
      engine_.epoch = engine_.decided->epoch;
      engine_.decided.reset();
      ++switches;
    }
    ++engine_.step;
    return engine_.map;
  }

  int switches = 0;
  int refusals = 0;

 private:
  struct map_switch {
    std::uint64_t epoch = 0;
    std::uint64_t step = 0;
  };
  struct engine {
    std::uint64_t generation = 0;
    /** The next step to run. */
    std::uint64_t step = 0;
    std::uint64_t epoch = 0;
    wire::expert_map map;
    std::map<std::uint64_t, wire::expert_map> staged;
    std::optional<map_switch> armed;
    std::optional<map_switch> decided;
  };

  void ResetEngine() {
    engine_ = {};
    ++engine_run_;
  }

  void ReportNewIncarnation() {
    wire::member_info info = session_.state().info;
    info.backend.incarnation = cluster_.random();
    session_.Update(std::move(info), session_.state().revision);
  }

  void HandleOrder(const wire::order& order) {
    if (!highest_) {
      return;
    }
    if (order.fencing < *highest_) {
      Answer(order, wire::order_status::kFenced);
      return;
    }
    highest_ = order.fencing;
    if (order.kind == wire::order_kind::kStageMap) {
      // Copying takes time, and the engine may restart before it ends.
      cluster_.At(cluster_.Upto(300'000), [this, order, run = engine_run_] {
        if (run == engine_run_) {
          Answer(order, Execute(order));
        }
      });
      return;
    }
    Answer(order, Execute(order));
  }

  wire::order_status Execute(const wire::order& order) {
    if (order.kind == wire::order_kind::kFormGroup) {
      if (order.generation > engine_.generation) {
        engine_ = {.generation = order.generation,
                   .epoch = order.epoch,
                   .map = order.map};
      }
      return order.generation == engine_.generation
                 ? wire::order_status::kDone
                 : wire::order_status::kFailed;
    }
    if (order.generation != engine_.generation) {
      return wire::order_status::kFailed;
    }
    switch (order.kind) {
      case wire::order_kind::kStageMap:
        engine_.staged[order.epoch] = order.map;
        return wire::order_status::kDone;
      case wire::order_kind::kArmMap:
        return Arm(order);
      default:
        return Decide(order);
    }
  }

  wire::order_status Arm(const wire::order& order) {
    if (!engine_.staged.contains(order.epoch)) {
      return wire::order_status::kFailed;
    }
    if (engine_.step > order.step) {
      ++refusals;
      return wire::order_status::kTooLate;
    }
    engine_.armed = {order.epoch, order.step};
    return wire::order_status::kDone;
  }

  wire::order_status Decide(const wire::order& order) {
    if (order.commit && engine_.epoch < order.epoch) {
      engine_.decided = {order.epoch, order.step};
    }
    if (engine_.armed && engine_.armed->epoch == order.epoch &&
        engine_.armed->step == order.step) {
      engine_.armed.reset();
    }
    return wire::order_status::kDone;
  }

  void Answer(const wire::order& order, wire::order_status status) {
    session_.Send(wire::order_result{.order_id = order.order_id,
                                     .fencing = order.fencing,
                                     .result = status,
                                     .step = engine_.step});
  }

  void Report() {
    cluster_.At(150'000, [this] {
      const wire::backend_info& backend = session_.state().info.backend;
      session_.Send(wire::group_report{
          .group = backend.group,
          .generation = engine_.generation,
          .rank = backend.rank,
          .backend_incarnation = backend.incarnation,
          .step = engine_.step,
          .map_epoch = engine_.epoch,
          // Slower than the real steps, so that some arms come too late.
          .step_time_us = 100'000});
      Report();
    });
  }

  fake_cluster& cluster_;
  fake_session session_;
  std::optional<wire::fencing_number> highest_;
  engine engine_;
  int engine_run_ = 0;
};

}  // namespace wisteriaroute::control

#endif  // TESTS_CONTROL_FAKE_RANK_H_
