#ifndef TESTS_COORDINATOR_SHIFT_REPLAY_H_
#define TESTS_COORDINATOR_SHIFT_REPLAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "libwisteriaroute/coordinator/coordinator.h"
#include "libwisteriaroute/sidecar/sidecar.h"

namespace wisteriaroute::coordinator {

struct replay_settings {
  std::uint32_t ranks = 24;
  wire::placement_shape shape;
  /** The n-th most popular expert gets a share proportional to n^-zipf. Gives
   * the skew of 2.4 to 3.1 that was measured after shifts, with 63 ranks. */
  double zipf = 0.6;
  base::time_us shift_period_us = 2'400'000;
  base::time_us duration_us = 36'000'000;
  /** Choices of experts by the requests of a rank in a pass, in each set. */
  std::uint32_t choices = 128;
  /** Part of a pass that doesn't depend on the placement, and the part of the
   * experts at skew 1. */
  base::time_us own_us = 18'000;
  base::time_us experts_us = 18'000;
  /** Bandwidth of a host in each direction. */
  double bytes_per_us = 1;
  /** Pace of the last rank between these times; 1: healthy. */
  double slow_pace = 1;
  /** Whether ranks report their pace. */
  bool report_pace = true;
  base::time_us slow_from_us = 0;
  base::time_us slow_until_us = 0;
  std::uint32_t seed = 1;
};

/** Times since the shift, of the first map change that begins after it. */
struct replay_stages {
  std::uint64_t version = 0;
  base::time_us detected_us = -1;
  base::time_us begun_us = -1;
  base::time_us ordered_us = -1;
  base::time_us copied_us = -1;
  base::time_us prepared_us = -1;
  base::time_us held_us = -1;
  base::time_us armed_us = -1;
  base::time_us in_force_us = -1;
  double skew_before = 0;
  double skew_after = 0;
  /** When the skew first was at most kFittingSkew; -1: never. */
  base::time_us fitting_us = -1;
};

inline constexpr double kFittingSkew = 1.4;

struct replay_result {
  std::vector<replay_stages> shifts;
  double mean_skew = 0;
  double mean_pass_us = 0;
  std::uint64_t passes = 0;
  std::uint64_t copies = 0;
  std::uint64_t changes = 0;
  std::uint64_t false_alarms = 0;
  base::time_us held_us = 0;
  /** Whether all ranks used one map in each pass. */
  bool consistent = true;
  double coordinator_bytes_in_per_s = 0;
  double coordinator_bytes_out_per_s = 0;
  /** Processor time of the coordinator's decisions. */
  double coordinator_cpu = 0;
};

/**
 * Runs the sidecars and the coordinator of a group over sampled demand: Zipf
 * popularity of the experts, which shifts abruptly. Models the time that
 * messages, calls to the ranks, copies and passes take.
 */
replay_result Replay(const replay_settings& settings);

/** The median of a stage over the shifts in which it was reached. */
base::time_us MedianUs(const replay_result& result,
                       base::time_us replay_stages::*stage);
/** The longest time of a stage. */
base::time_us LongestUs(const replay_result& result,
                        base::time_us replay_stages::*stage);

/** Prints the stages and totals, one line each. */
std::string Describe(const replay_settings& settings,
                     const replay_result& result);

}  // namespace wisteriaroute::coordinator

#endif  // TESTS_COORDINATOR_SHIFT_REPLAY_H_
