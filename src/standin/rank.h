#ifndef STANDIN_RANK_H_
#define STANDIN_RANK_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::standin {

struct rank_settings {
  std::string group;
  std::uint32_t rank = 0;
  base::time_us step_time_us = 5'000;
  /** Bytes that staging a map copies per layer and expert slot. */
  std::uint64_t slot_bytes = 1'000'000;
  /** Read rate of the weight store that they are copied from. */
  std::uint64_t store_bytes_per_s = 500'000'000;
  /** Refuse orders with a stale fencing number; false: apply and count them. */
  bool checks_fencing = true;
};

/** HTTP status and body of the response to an order. */
struct order_answer {
  unsigned status = 200;
  nlohmann::json body;
};

/**
 * A simulated rank of a model group. It counts steps and stages expert maps.
 * Once armed, it stops at the armed step unless control has committed or
 * aborted the map change, and waits for the decision.
 */
class rank {
 public:
  explicit rank(rank_settings settings, base::time_us now_us);

  /** Advances to `now_us`, then applies an order of `POST /orders`. */
  order_answer Apply(const nlohmann::json& order, base::time_us now_us);
  /** Completes staging and runs the steps that are due by `now_us`. */
  void Advance(base::time_us now_us);

  /** Returns the body of `GET /group`. */
  nlohmann::json Report() const;

  /**
   * Returns synthetic token counts for the steps since the last call, indexed
   * by layer * experts + expert; empty if layers * experts exceeds 1,000,000.
   */
  std::vector<std::uint32_t> TakeExpertTokens(base::time_us now_us);

  /** Whether the rank has stopped at an armed step without a decision. */
  bool waiting() const;

 private:
  /** Step of a generation from which a map epoch is used. */
  struct epoch_start {
    std::uint64_t step = 0;
    std::uint64_t generation = 0;
    std::uint64_t epoch = 0;
    std::uint64_t map_digest = 0;
  };
  struct staged_map {
    std::uint64_t epoch = 0;
    std::uint64_t map_digest = 0;
    base::time_us ready_us = 0;
    bool ready = false;
  };
  struct armed_step {
    std::uint64_t epoch = 0;
    std::uint64_t step = 0;
    /** The decision of control; empty until it is known. */
    std::optional<bool> commit;
  };

  /** Updates the highest fencing number; returns whether to refuse. */
  bool Fenced(const nlohmann::json& order);
  order_answer Answer(unsigned status, std::string_view result) const;
  order_answer Stage(const nlohmann::json& order, base::time_us now_us);
  order_answer Arm(const nlohmann::json& order);
  order_answer Decide(const nlohmann::json& order);
  order_answer Form(const nlohmann::json& order, base::time_us now_us);
  void BeginEpoch(std::uint64_t epoch, std::uint64_t map_digest);

  rank_settings settings_;
  std::uint64_t generation_ = 0;
  std::uint64_t step_ = 0;
  /** Steps in all generations. */
  std::uint64_t total_steps_ = 0;
  base::time_us next_step_us_ = 0;
  std::uint64_t staged_epoch_ = 0;
  std::optional<staged_map> staging_;
  std::optional<armed_step> armed_;
  std::deque<epoch_start> epoch_history_;
  /** Highest fencing number received: term and index. */
  std::pair<std::uint64_t, std::uint64_t> highest_fencing_{0, 0};
  std::uint64_t orders_applied_ = 0;
  std::uint64_t orders_refused_ = 0;
  /** Orders that were applied in spite of a stale fencing number. */
  std::uint64_t stale_applied_ = 0;
  nlohmann::json models_ = nlohmann::json::array();
  std::string role_ = "mixed";
  std::uint64_t layers_ = 0;
  std::uint64_t experts_ = 0;
  /** Value of `total_steps_` at the last TakeExpertTokens. */
  std::uint64_t reported_steps_ = 0;
};

}  // namespace wisteriaroute::standin

#endif  // STANDIN_RANK_H_
