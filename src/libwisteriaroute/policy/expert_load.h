#ifndef LIBWISTERIAROUTE_POLICY_EXPERT_LOAD_H_
#define LIBWISTERIAROUTE_POLICY_EXPERT_LOAD_H_

#include <cstdint>
#include <span>
#include <vector>

namespace wisteriaroute::policy {

/** Estimated popularity of the experts of a group, as shares of each layer. */
struct expert_load {
  std::uint32_t layers = 0;
  std::uint32_t experts = 0;
  /** Index: layer * experts + expert. Each layer adds up to 1. */
  std::vector<double> share;
  /** Variance of one observation of each share. */
  std::vector<double> variance;
  /** Variance of the estimate of each share. */
  std::vector<double> error_variance;
  /** Residuals of the last observation. */
  std::vector<double> residual;
  /** Per layer: weight of a new observation once the estimate has settled. */
  std::vector<double> gain;
  /** Per layer: smoothed correlation of successive residuals. */
  std::vector<double> correlation;
  /** Per layer: observations since the start or the last shift. */
  std::vector<std::uint32_t> age;
  std::uint64_t observations = 0;
};

/** An estimate without observations: all experts are equally popular. */
expert_load MakeExpertLoad(std::uint32_t layers, std::uint32_t experts);

/** Whether a layer's recent observations differ from the estimate only by
 * noise. */
bool IsSettled(const expert_load& load, std::uint32_t layer);

/**
 * Updates the estimate with the tokens that each expert received in one
 * interval, indexed by layer and expert. Layers without tokens keep their
 * estimate. Throws std::invalid_argument if the size doesn't match.
 */
void Observe(expert_load& load, std::span<const std::uint32_t> tokens);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_EXPERT_LOAD_H_
