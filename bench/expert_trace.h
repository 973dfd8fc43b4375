#ifndef BENCH_EXPERT_TRACE_H_
#define BENCH_EXPERT_TRACE_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numbers>
#include <random>
#include <vector>

namespace wisteriaroute::bench {

/** How the popularity of experts changes over a synthetic trace of one day. */
enum class trace_kind { kDrift, kShift, kNoise, kSlowRank };

struct trace_shape {
  trace_kind kind = trace_kind::kDrift;
  std::uint32_t layers = 8;
  std::uint32_t experts = 64;
  std::uint32_t intervals = 288;
  std::uint32_t tokens_per_interval = 200'000;
  /** Standard deviation of the log of popularity within one kind of text. */
  double log_deviation = 0.7;
  /** Relative amplitude of the daily change of the mix, 0 to 1. */
  double daily_amplitude = 0.6;
  std::uint64_t seed = 20261204;
};

/**
 * Generates the load of experts from three kinds of text, each with its own
 * popular experts, whose mix changes over time.
 */
class expert_trace {
 public:
  explicit expert_trace(const trace_shape& shape)
      : shape_(shape), random_(shape.seed) {
    std::normal_distribution<double> normal;
    for (auto& kind : kinds_) {
      kind.resize(static_cast<std::size_t>(shape.layers) * shape.experts);
      for (double& weight : kind) {
        weight = std::exp(shape.log_deviation * normal(random_));
      }
    }
  }

  /** Returns the true share of each expert; the shares of a layer sum to 1. */
  std::vector<double> Share(std::uint32_t interval) const {
    const auto mix = Mix(interval);
    std::vector<double> share(kinds_[0].size(), 0);
    for (std::uint32_t l = 0; l < shape_.layers; ++l) {
      double total = 0;
      for (std::uint32_t e = 0; e < shape_.experts; ++e) {
        const std::size_t i = static_cast<std::size_t>(l) * shape_.experts + e;
        for (std::size_t k = 0; k < kinds_.size(); ++k) {
          share[i] += mix[k] * kinds_[k][i];
        }
        total += share[i];
      }
      for (std::uint32_t e = 0; e < shape_.experts; ++e) {
        share[static_cast<std::size_t>(l) * shape_.experts + e] /= total;
      }
    }
    return share;
  }

  /** Returns the observed tokens of each expert: the true shares with noise. */
  std::vector<std::uint32_t> Tokens(std::uint32_t interval) {
    std::normal_distribution<double> normal;
    const auto share = Share(interval);
    std::vector<std::uint32_t> tokens(share.size());
    for (std::size_t i = 0; i < share.size(); ++i) {
      const double mean = share[i] * shape_.tokens_per_interval;
      // Tokens of one text arrive together, so the noise is higher than for
      // independent tokens.
      const double deviation = std::sqrt(mean) * 2 + 0.05 * mean;
      tokens[i] = static_cast<std::uint32_t>(
          std::max(0.0, mean + deviation * normal(random_)));
    }
    return tokens;
  }

 private:
  std::array<double, 3> Mix(std::uint32_t interval) const {
    constexpr std::array<double, 3> kBase{0.5, 0.3, 0.2};
    if (shape_.kind == trace_kind::kNoise ||
        shape_.kind == trace_kind::kSlowRank) {
      return kBase;
    }
    if (shape_.kind == trace_kind::kShift) {
      return interval < shape_.intervals / 2 ? kBase
                                             : std::array{0.15, 0.2, 0.65};
    }
    std::array<double, 3> mix{};
    for (std::size_t k = 0; k < 3; ++k) {
      const double phase = 2 * std::numbers::pi *
                           (static_cast<double>(interval) / shape_.intervals +
                            static_cast<double>(k) / 3);
      mix[k] = kBase[k] * (1 + shape_.daily_amplitude * std::sin(phase));
    }
    return mix;
  }

  trace_shape shape_;
  std::mt19937_64 random_;
  std::array<std::vector<double>, 3> kinds_;
};

}  // namespace wisteriaroute::bench

#endif  // BENCH_EXPERT_TRACE_H_
