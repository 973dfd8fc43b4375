#include "libwisteriaroute/policy/server_capacity.h"

#include <algorithm>
#include <cmath>

namespace wisteriaroute::policy {

namespace {

// Samples lose half of their weight in this time, so that an estimate follows a
// change within about two seconds.
constexpr double kHalfLifeUs = 1'000'000;
// Below this weight a server has no recent samples.
constexpr double kMinWeight = 0.25;
// Routes with fewer responses have no reliable usual response time.
constexpr double kMinResponses = 4;
// The usual response time of a route follows single responses at least at this
// rate. It may be slow, because the median cancels a common error.
constexpr double kMinRouteRate = 1.0 / 64;
constexpr double kVarianceRate = 1.0 / 128;
// Response times that vary by a factor of 1.6 are assumed until this number of
// samples shows how much they do.
constexpr double kInitialVariance = 0.25;
constexpr double kMinVarianceSamples = 16;
// Equal work isn't served in equal time on any machine.
constexpr double kMinVariance = 0.01;
// Slowness above the median that isn't disproportionate: a factor of 1.35.
constexpr double kTolerance = 0.3;
// Standard errors that are subtracted before a server counts as slow.
constexpr double kStandardErrors = 1;
// Where samples are sparse, one that deviates by more standard deviations shows
// that the server has changed: earlier samples keep only a part of their
// weight.
constexpr double kChangeDeviations = 2.25;
constexpr double kKeptAfterChange = 0.15;
constexpr double kSparseWeight = 6;
// Bounds the effect of a single sample: a factor of 33 either way.
constexpr double kMaxSlowness = 3.5;
// A server with a limit below 1 gets only probes.
constexpr double kMinLimit = 0.5;
// Fraction of the slots after the first good sample of a server that got only
// probes. Where each of many entries sees little of a server, a smaller step
// would wait for one probe after another.
constexpr double kFirstFraction = 0.5;
// Per good sample; doubles the limit in about three samples.
constexpr double kGrowth = 0.3;
// With more recent samples, each raises the limit by less.
constexpr double kFullGrowthWeight = 2;
// The limit is raised only below this part of the tolerance, so that it settles
// between the two.
constexpr double kGrowthTolerance = 0.5;
// Fraction of the limit that a good sample needs as load for the full growth.
constexpr double kLoadedFraction = 0.5;
constexpr double kRefusalFactor = 0.9;
constexpr double kFailureFactor = 0.7;
// Without samples for so long, the estimate is void.
constexpr base::time_us kForgetUs = 10'000'000;
// Probes are this far apart plus a random time up to the same, so that a
// recovered server gets requests from every entry within 3 s.
constexpr base::time_us kProbeUs = 1'000'000;
// At most this fraction of an entry's requests are probes: less than what the
// 95th percentile of response times shows.
constexpr double kProbeFraction = 0.025;
constexpr double kMaxProbeCredit = 2;
constexpr base::time_us kMedianUs = 100'000;
// Bounds memory when configurations with new routes follow each other.
constexpr std::size_t kMaxRoutes = 1'024;
constexpr double kLoggedChange = 0.25;
constexpr base::time_us kLogUs = 1'000'000;

double Left(base::time_us from_us, base::time_us now_us) {
  return std::exp2(-static_cast<double>(now_us - from_us) / kHalfLifeUs);
}

void Decay(server_capacity& server, base::time_us now_us) {
  if (now_us - server.at_us > kForgetUs) {
    server.limit = 0;
  }
  const double left = Left(server.at_us, now_us);
  server.slowness_sum *= left;
  server.load_sum *= left;
  server.weight *= left;
  server.at_us = now_us;
}

double Variance(const peer_capacity& peers) {
  return peers.variance_samples < kMinVarianceSamples
             ? kInitialVariance
             : std::max(peers.variance, kMinVariance);
}

/** Limit for changes: the present one or the declared slots. */
double Current(const server_capacity& server, double slots) {
  return server.limit > 0 ? std::min(server.limit, slots) : slots;
}

void Lower(server_capacity& server, double to, double slots) {
  const double limit =
      std::min(Current(server, slots), std::max(kMinLimit, to));
  server.limit = limit < slots ? limit : 0;
}

/** Raises the limit after a good sample at the load. */
void Raise(server_capacity& server, double load, double slots) {
  if (server.limit <= 0) {
    return;
  }
  // At a low load, good samples say little about a higher limit, and where
  // there are many samples, each contributes a part.
  const double evidence =
      std::min(1.0, load / (kLoadedFraction * server.limit)) *
      std::min(1.0, kFullGrowthWeight / server.weight);
  server.limit =
      server.limit < 1
          ? std::max(1.0, kFirstFraction * slots)
          : server.limit + evidence * std::max(1.0, kGrowth * server.limit);
  if (server.limit >= slots) {
    server.limit = 0;
  }
}

/** Whether the sample shows that the server has changed. */
bool IsChange(const server_capacity& server,
              const peer_capacity& peers,
              double slowness,
              double mean) {
  const double deviations = (slowness - mean) / std::sqrt(Variance(peers));
  // A recovery would otherwise be delayed by the many samples from before.
  const bool recovers = server.limit > 0 && mean - peers.median > kTolerance &&
                        deviations < -kChangeDeviations;
  return recovers || (server.weight < kSparseWeight &&
                      std::abs(deviations) > kChangeDeviations);
}

/** Adjusts the limit after a sample of slowness `last` above the median. */
void Adjust(server_capacity& server,
            const peer_capacity& peers,
            const capacity_sample& sample,
            double last) {
  const double mean = server.slowness_sum / server.weight - peers.median;
  const double error =
      kStandardErrors * std::sqrt(Variance(peers) / server.weight);
  const double excess = mean - error - kTolerance;
  if (excess > 0) {
    const double load = server.load_sum / server.weight;
    // Beyond its limit the response time of a server grows in proportion to its
    // load. Where it doesn't, the next samples lower the limit further.
    Lower(server, load * std::exp(kTolerance - mean), sample.slots);
    return;
  }
  if (!sample.in_progress && last <= kTolerance &&
      mean <= kGrowthTolerance * kTolerance) {
    Raise(server, sample.load, sample.slots);
  }
}

}  // namespace

void NoteSample(server_capacity& server,
                peer_capacity& peers,
                const capacity_sample& sample,
                base::time_us now_us) {
  constexpr double kMinMs = 0.1;
  const double log_ms = std::log(std::max(kMinMs, sample.elapsed_ms));
  if (peers.routes.size() >= kMaxRoutes &&
      !peers.routes.contains(sample.route)) {
    peers.routes.clear();
  }
  peer_capacity::route_time& route = peers.routes[std::string(sample.route)];
  Decay(server, now_us);
  const bool is_known = route.responses >= kMinResponses;
  // Beyond its slots a request waits, which says nothing about the server.
  const double waiting = std::log(std::max(1.0, sample.load / sample.slots));
  const double slowness =
      std::clamp(log_ms - route.log_ms - waiting, -kMaxSlowness, kMaxSlowness);
  const double server_mean = server.weight >= kMinWeight
                                 ? server.slowness_sum / server.weight
                                 : peers.median;
  if (!sample.in_progress) {
    const double rate = std::max(1 / (route.responses + 1), kMinRouteRate);
    // What the server contributes isn't part of the route's time.
    const double offset = is_known ? server_mean - peers.median : 0;
    route.log_ms += rate * (log_ms - route.log_ms - offset);
    ++route.responses;
  }
  if (!is_known) {
    return;
  }
  if (server.weight >= 1 && !sample.in_progress) {
    const double deviation = slowness - server_mean;
    peers.variance += kVarianceRate * (deviation * deviation - peers.variance);
  }
  if (IsChange(server, peers, slowness, server_mean)) {
    server.slowness_sum *= kKeptAfterChange;
    server.load_sum *= kKeptAfterChange;
    server.weight *= kKeptAfterChange;
  }
  server.slowness_sum += slowness;
  server.load_sum += sample.load;
  server.weight += 1;
  Adjust(server, peers, sample, slowness - peers.median);
}

void NoteRefusal(server_capacity& server,
                 std::optional<double> load,
                 double slots,
                 base::time_us now_us) {
  Decay(server, now_us);
  Lower(server, kRefusalFactor * load.value_or(Current(server, slots)), slots);
}

void NoteFailure(server_capacity& server, double slots, base::time_us now_us) {
  Decay(server, now_us);
  Lower(server, kFailureFactor * Current(server, slots), slots);
}

double SlotsHandledWell(const server_capacity& server,
                        double slots,
                        base::time_us now_us) {
  return now_us - server.at_us > kForgetUs ? slots : Current(server, slots);
}

bool IsMedianDue(const peer_capacity& peers, base::time_us now_us) {
  return now_us - peers.median_at_us >= kMedianUs;
}

std::optional<double> Slowness(const server_capacity& server,
                               base::time_us now_us) {
  if (server.weight * Left(server.at_us, now_us) < kMinWeight) {
    return std::nullopt;
  }
  return server.slowness_sum / server.weight;
}

void SetMedian(peer_capacity& peers,
               std::span<double> slowness,
               base::time_us now_us) {
  peers.median_at_us = now_us;
  if (slowness.empty()) {
    return;
  }
  // Of two servers, the faster one is the measure.
  const auto middle =
      slowness.begin() + static_cast<std::ptrdiff_t>((slowness.size() - 1) / 2);
  std::ranges::nth_element(slowness, middle);
  peers.median = *middle;
}

std::optional<double> UsualMs(const peer_capacity& peers,
                              std::string_view route) {
  const auto found = peers.routes.find(route);
  if (found == peers.routes.end() || found->second.responses < kMinResponses) {
    return std::nullopt;
  }
  return std::exp(found->second.log_ms + peers.median);
}

std::optional<double> ExpectedMs(const server_capacity& server,
                                 const peer_capacity& peers,
                                 std::string_view route,
                                 base::time_us now_us) {
  const std::optional<double> usual = UsualMs(peers, route);
  const std::optional<double> slowness = Slowness(server, now_us);
  if (!usual || !slowness) {
    return usual;
  }
  return *usual * std::exp(*slowness - peers.median);
}

void NoteRequest(peer_capacity& peers) {
  peers.probe_credit =
      std::min(kMaxProbeCredit, peers.probe_credit + kProbeFraction);
}

bool MayProbe(const peer_capacity& peers) {
  return peers.probe_credit >= 1;
}

bool IsProbeDue(const server_capacity& server,
                const peer_capacity& peers,
                base::time_us now_us) {
  return server.limit > 0 && MayProbe(peers) && now_us >= server.probe_due_us &&
         now_us - server.at_us <= kForgetUs;
}

void NoteSent(server_capacity& server,
              peer_capacity& peers,
              bool is_probe,
              std::uint64_t random,
              base::time_us now_us) {
  if (is_probe) {
    peers.probe_credit -= 1;
  }
  server.probe_due_us =
      now_us + kProbeUs +
      static_cast<base::time_us>(random % static_cast<std::uint64_t>(kProbeUs));
}

bool TakeChange(server_capacity& server, double slots, base::time_us now_us) {
  const double now = Current(server, slots);
  const double before =
      server.logged_limit > 0 ? std::min(server.logged_limit, slots) : slots;
  if (now_us - server.logged_us < kLogUs ||
      std::abs(now - before) < kLoggedChange * before) {
    return false;
  }
  server.logged_limit = now;
  server.logged_us = now_us;
  return true;
}

}  // namespace wisteriaroute::policy
