#ifndef LIBWISTERIAROUTE_BASE_METRICS_H_
#define LIBWISTERIAROUTE_BASE_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <boost/histogram.hpp>

#include "libwisteriaroute/base/clock.h"

namespace wisteriaroute::base {

/** Latency histogram with logarithmic bins from 10 us to 100 s. */
class latency_histogram {
 public:
  latency_histogram();

  void Add(time_us latency_us);

  /** Upper edge of the bin that holds the quantile; 0 without samples. */
  time_us Quantile(double q) const;

  std::uint64_t count() const { return count_; }

  /** Appends the series of a Prometheus histogram, in seconds. */
  void AppendPrometheus(std::string_view name, std::string& out) const;

 private:
  using axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<axis>> bins_;
  std::uint64_t count_ = 0;
  double sum_s_ = 0;
};

/**
 * The series `name{label="value"}`. Characters of the value that would break
 * the metrics text format are replaced, because values may come from outside.
 */
std::string Labelled(std::string_view name,
                     std::string_view label,
                     std::string_view value);

/** Counters, gauges and histograms of a process by Prometheus series name. */
class metrics {
 public:
  /** Adds to a counter. `series` may hold labels: `name{label="x"}`. */
  void Count(std::string_view series, std::uint64_t increment = 1);
  /** Sets a gauge. `series` may hold labels. */
  void Set(std::string_view series, double value);
  /** Adds a sample to a latency histogram. */
  void Latency(std::string_view name, time_us latency_us);

  /** Removes all gauges, so series of removed servers disappear. */
  void ClearGauges() { gauges_.clear(); }

  /** Returns 0 if the counter was never incremented. */
  std::uint64_t counter(std::string_view series) const;
  /** Returns null if no latency was added under the name. */
  const latency_histogram* latency(std::string_view name) const;

  /** Returns all series in the Prometheus text format. */
  std::string Render() const;

 private:
  std::map<std::string, std::uint64_t, std::less<>> counters_;
  std::map<std::string, double, std::less<>> gauges_;
  std::map<std::string, latency_histogram, std::less<>> latencies_;
};

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_METRICS_H_
