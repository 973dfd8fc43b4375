#include "libwisteriaroute/policy/expert_load.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>

namespace wisteriaroute::policy {

namespace {

// Bounds of the weight of a new observation. The weight falls while residuals
// look like noise, so that the estimate settles, and rises while successive
// residuals agree in sign, which means that the estimate lags behind a drift.
constexpr double kMinGain = 0.03;
constexpr double kMaxGain = 0.7;
constexpr double kInitialGain = 0.15;
constexpr double kGainRise = 1.5;
constexpr double kGainFall = 0.95;
// Weight of one correlation of successive residuals in their average.
constexpr double kCorrelationGain = 0.2;
// A layer counts as drifting if its average correlation exceeds both
// kMinDriftCorrelation and kDriftErrors standard errors of the average from
// noise alone (0.33 / sqrt(experts)).
constexpr double kMinDriftCorrelation = 0.1;
constexpr double kDriftErrors = 4.0;
// A layer is settled if its weight of new observations is at most this.
constexpr double kSettledGain = 0.1;
constexpr double kVarianceGain = 0.05;
// Mean of the squared normalized residuals of a layer; 1 is expected from
// noise alone, and drift within one interval stays below this.
constexpr double kShiftThreshold = 4.0;
// Observations needed to estimate the variance before shifts can be detected.
constexpr std::uint32_t kWarmUpObservations = 6;

struct layer_view {
  std::span<double> share;
  std::span<double> variance;
  std::span<double> error_variance;
  std::span<double> residual;
  double& gain;
  double& correlation;
  std::uint32_t& age;
};

double NormalizedResidual(const layer_view& layer,
                          std::span<const std::uint32_t> tokens,
                          double total) {
  double sum = 0;
  for (std::size_t e = 0; e < tokens.size(); ++e) {
    const double residual = tokens[e] / total - layer.share[e];
    const double expected = layer.variance[e] + layer.error_variance[e];
    sum += residual * residual / std::max(expected, 1e-12);
  }
  return sum / static_cast<double>(tokens.size());
}

// Mean product of this residual and the last one, in units of the variance.
double ResidualCorrelation(const layer_view& layer,
                           std::span<const std::uint32_t> tokens,
                           double total) {
  double sum = 0;
  double scale = 0;
  for (std::size_t e = 0; e < tokens.size(); ++e) {
    sum += (tokens[e] / total - layer.share[e]) * layer.residual[e];
    scale += layer.variance[e];
  }
  return scale > 0 ? sum / scale : 0;
}

// Weight of this observation. After the start or a shift, all observations
// weigh the same until the steady weight is reached.
double NextGain(const layer_view& layer,
                std::span<const std::uint32_t> tokens,
                double total) {
  if (layer.age >= kWarmUpObservations) {
    if (NormalizedResidual(layer, tokens, total) > kShiftThreshold) {
      layer.age = 0;
      layer.gain = kInitialGain;
      layer.correlation = 0;
    } else {
      layer.correlation +=
          kCorrelationGain *
          (ResidualCorrelation(layer, tokens, total) - layer.correlation);
      const double experts = static_cast<double>(tokens.size());
      const bool drifting = layer.correlation >
                            std::max(kMinDriftCorrelation,
                                     kDriftErrors * 0.33 / std::sqrt(experts));
      layer.gain = std::clamp(layer.gain * (drifting ? kGainRise : kGainFall),
                              kMinGain, kMaxGain);
    }
  }
  return std::max(layer.gain, 1.0 / (layer.age + 1));
}

void UpdateLayer(const layer_view& layer,
                 std::span<const std::uint32_t> tokens,
                 bool first) {
  const double total = std::accumulate(tokens.begin(), tokens.end(), 0.0);
  if (total <= 0) {
    return;
  }
  const double gain = NextGain(layer, tokens, total);
  const double variance_gain =
      std::max(kVarianceGain, 1.0 / std::max(layer.age, 1U));
  for (std::size_t e = 0; e < tokens.size(); ++e) {
    const double residual = tokens[e] / total - layer.share[e];
    // The first residual after the start or a shift does not measure noise.
    if (layer.age > 0) {
      // Residuals contain the error of the estimate as well as the noise.
      const double noise =
          std::max(residual * residual - layer.error_variance[e], 0.0);
      layer.variance[e] += variance_gain * (noise - layer.variance[e]);
    } else if (first) {
      layer.variance[e] = tokens[e] / (total * total);
    }
    layer.share[e] += gain * residual;
    layer.residual[e] = residual;
    layer.error_variance[e] =
        (1 - gain) * (1 - gain) * layer.error_variance[e] +
        gain * gain * layer.variance[e];
  }
  ++layer.age;
}

}  // namespace

expert_load MakeExpertLoad(std::uint32_t layers, std::uint32_t experts) {
  const std::size_t size = static_cast<std::size_t>(layers) * experts;
  expert_load load{.layers = layers, .experts = experts};
  load.share.assign(size, 1.0 / experts);
  load.variance.assign(size, 0);
  load.error_variance.assign(size, 0);
  load.residual.assign(size, 0);
  load.gain.assign(layers, kInitialGain);
  load.correlation.assign(layers, 0);
  load.age.assign(layers, 0);
  return load;
}

bool IsSettled(const expert_load& load, std::uint32_t layer) {
  return load.age[layer] >= 2 * kWarmUpObservations &&
         load.gain[layer] <= kSettledGain;
}

void Observe(expert_load& load, std::span<const std::uint32_t> tokens) {
  if (tokens.size() != load.share.size()) {
    throw std::invalid_argument("expert tokens don't match the group's size");
  }
  for (std::uint32_t l = 0; l < load.layers; ++l) {
    const std::size_t first = static_cast<std::size_t>(l) * load.experts;
    const layer_view layer{
        std::span(load.share).subspan(first, load.experts),
        std::span(load.variance).subspan(first, load.experts),
        std::span(load.error_variance).subspan(first, load.experts),
        std::span(load.residual).subspan(first, load.experts),
        load.gain[l],
        load.correlation[l],
        load.age[l]};
    UpdateLayer(layer, tokens.subspan(first, load.experts),
                load.observations == 0);
  }
  ++load.observations;
}

}  // namespace wisteriaroute::policy
