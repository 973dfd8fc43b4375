#ifndef LIBWISTERIAROUTE_POLICY_EXPERT_LAYER_H_
#define LIBWISTERIAROUTE_POLICY_EXPERT_LAYER_H_

#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace wisteriaroute::policy {

/**
 * Placement of one layer's experts and the time that each rank needs. The
 * tokens of an expert are divided evenly among its replicas.
 */
class expert_layer {
 public:
  /**
   * `slots` holds rank after rank; `speed` is 1 for a healthy rank. A rank may
   * receive `copies_left[rank]` experts that it doesn't hold now; what is
   * received is taken off. Without the list there is no bound. In this layer
   * it may receive `layer_copies` of them at most.
   */
  expert_layer(
      std::span<const std::uint16_t> slots,
      std::uint32_t slots_per_rank,
      std::span<const double> share,
      std::span<const double> speed,
      std::span<std::uint32_t> copies_left = {},
      std::uint32_t layer_copies = std::numeric_limits<std::uint32_t>::max());

  /** An exchange or replacement of slot contents and what it does. */
  struct move {
    std::uint32_t rank = 0;
    std::uint32_t slot = 0;
    std::uint32_t other_rank = 0;
    std::uint32_t other_slot = 0;
    /** Replace the other slot's expert instead of exchanging both. */
    bool replicate = false;
    /** Time of the slowest rank that the move touches. */
    double touched_time = 0;
    std::uint32_t copies() const { return replicate ? 1 : 2; }
  };

  double MaxTime() const;
  std::uint32_t SlowestRank() const;

  /** A move that relieves the slowest rank; false if there is none. */
  bool FindMove(move& best) const;
  void Apply(const move& chosen);

  std::span<const std::uint16_t> slots() const { return slots_; }

 private:
  bool Holds(std::uint32_t rank, std::uint16_t expert) const;
  /** Whether the rank may get the expert; it may if it had it at first. */
  bool MayReceive(std::uint32_t rank, std::uint16_t expert) const;
  void CountReceived(std::uint32_t rank, std::uint16_t expert);
  bool HeldAtFirst(std::uint32_t rank, std::uint16_t expert) const;
  double Part(std::uint16_t expert) const { return part_[expert]; }
  void ConsiderExchange(std::uint32_t slot,
                        std::uint32_t other_rank,
                        std::uint32_t other_slot,
                        move& best) const;
  void ConsiderReplica(std::uint32_t slot,
                       std::uint32_t other_rank,
                       std::uint32_t other_slot,
                       move& best) const;
  void RebuildTimes();

  std::vector<std::uint16_t> slots_;
  std::vector<std::uint16_t> first_slots_;
  std::span<std::uint32_t> copies_left_;
  /** By rank, what it may still receive in this layer. */
  std::vector<std::uint32_t> layer_copies_left_;
  std::uint32_t slots_per_rank_;
  std::uint32_t ranks_;
  std::span<const double> share_;
  std::span<const double> speed_;
  std::vector<std::uint32_t> replicas_;
  /** Share of one replica of each expert. */
  std::vector<double> part_;
  std::vector<double> time_;
  /** Ranks by time, fastest first. */
  std::vector<std::uint32_t> order_;
  std::uint32_t slowest_ = 0;
};

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_EXPERT_LAYER_H_
