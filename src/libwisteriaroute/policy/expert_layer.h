#ifndef LIBWISTERIAROUTE_POLICY_EXPERT_LAYER_H_
#define LIBWISTERIAROUTE_POLICY_EXPERT_LAYER_H_

#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace wisteriaroute::policy {

/**
 * Placement of the experts of one layer, with the relative time that each rank
 * needs for its tokens. The tokens of an expert are divided evenly among its
 * replicas.
 */
class expert_layer {
 public:
  /**
   * `slots` lists the slots of all ranks in rank order; `speed` is the relative
   * speed of each rank, 1 if healthy. A rank may receive up to
   * `copies_left[rank]` experts that it didn't hold initially, at most
   * `layer_copies` of them in this layer; Apply() reduces `copies_left`. An
   * empty `copies_left` means no limit. `share`, `speed` and `copies_left` must
   * outlive the object.
   */
  expert_layer(
      std::span<const std::uint16_t> slots,
      std::uint32_t slots_per_rank,
      std::span<const double> share,
      std::span<const double> speed,
      std::span<std::uint32_t> copies_left = {},
      std::uint32_t layer_copies = std::numeric_limits<std::uint32_t>::max());

  /** An exchange of two experts or the replacement of one, with its effect. */
  struct move {
    std::uint32_t rank = 0;
    std::uint32_t slot = 0;
    std::uint32_t other_rank = 0;
    std::uint32_t other_slot = 0;
    /** Replaces the expert in the other slot instead of exchanging both. */
    bool replicate = false;
    /** Time of the slowest rank that the move affects, after the move. */
    double max_affected_time = 0;
    std::uint32_t copies() const { return replicate ? 1 : 2; }
  };

  double MaxTime() const;
  std::uint32_t SlowestRank() const;

  /** Finds the best move that takes load off the slowest rank. Returns false if
   * no move helps. */
  bool FindMove(move& best) const;
  void Apply(const move& chosen);

  std::span<const std::uint16_t> slots() const { return slots_; }

 private:
  bool Holds(std::uint32_t rank, std::uint16_t expert) const;
  /** Whether the rank may receive the expert: it held it initially, or its copy
   * limits allow it. */
  bool MayReceive(std::uint32_t rank, std::uint16_t expert) const;
  void CountReceived(std::uint32_t rank, std::uint16_t expert);
  bool HeldInitially(std::uint32_t rank, std::uint16_t expert) const;
  double ReplicaShare(std::uint16_t expert) const {
    return replica_share_[expert];
  }
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
  std::vector<std::uint16_t> initial_slots_;
  std::span<std::uint32_t> copies_left_;
  /** Copies that each rank may still receive in this layer. */
  std::vector<std::uint32_t> layer_copies_left_;
  std::uint32_t slots_per_rank_;
  std::uint32_t ranks_;
  std::span<const double> share_;
  std::span<const double> speed_;
  std::vector<std::uint32_t> replicas_;
  /** Share of one replica of each expert. */
  std::vector<double> replica_share_;
  std::vector<double> time_;
  /** Ranks by time, fastest first. */
  std::vector<std::uint32_t> order_;
  std::uint32_t slowest_ = 0;
};

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_EXPERT_LAYER_H_
