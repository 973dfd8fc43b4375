#include "libwisteriaroute/base/metrics.h"

#include <algorithm>
#include <sstream>

namespace wisteriaroute::base {

namespace {

constexpr double kLowestS = 1e-5;
constexpr double kHighestS = 100;
// 20 bins a decade: Quantile returns at most 12% more than the exact value.
constexpr unsigned kBins = 140;

void AppendType(std::string_view series,
                std::string_view type,
                std::string& last,
                std::string& out) {
  const std::string name(series.substr(0, series.find('{')));
  if (name == last) {
    return;
  }
  last = name;
  out += "# TYPE " + name + " " + std::string(type) + "\n";
}

std::string Number(double value) {
  std::ostringstream stream;
  stream.precision(12);
  stream << value;
  return stream.str();
}

}  // namespace

std::string Labelled(std::string_view name,
                     std::string_view label,
                     std::string_view value) {
  std::string series(name);
  series += "{";
  series += label;
  series += "=\"";
  for (const char c : value) {
    series +=
        c == '"' || c == '\\' || static_cast<unsigned char>(c) < ' ' ? '_' : c;
  }
  return series + "\"}";
}

latency_histogram::latency_histogram()
    : bins_(
          boost::histogram::make_histogram(axis(kBins, kLowestS, kHighestS))) {}

void latency_histogram::Add(time_us latency_us) {
  const double seconds = static_cast<double>(latency_us) / 1e6;
  bins_(std::max(seconds, kLowestS));
  ++count_;
  sum_s_ += seconds;
}

time_us latency_histogram::Quantile(double q) const {
  const double wanted = q * static_cast<double>(count_);
  double seen = 0;
  for (auto&& bin : boost::histogram::indexed(bins_)) {
    seen += static_cast<double>(*bin);
    if (seen > 0 && seen >= wanted) {
      return static_cast<time_us>(bin.bin().upper() * 1e6);
    }
  }
  return count_ == 0 ? 0 : static_cast<time_us>(kHighestS * 1e6);
}

void latency_histogram::AppendPrometheus(std::string_view name,
                                         std::string& out) const {
  // Exports every tenth bin edge: 14 buckets, two a decade.
  constexpr int kExportedEdge = 10;
  const std::string prefix(name);
  double seen = 0;
  for (auto&& bin : boost::histogram::indexed(bins_)) {
    seen += static_cast<double>(*bin);
    if ((bin.index() + 1) % kExportedEdge == 0) {
      out += prefix + "_bucket{le=\"" + Number(bin.bin().upper()) + "\"} " +
             Number(seen) + "\n";
    }
  }
  out += prefix + "_bucket{le=\"+Inf\"} " + std::to_string(count_) + "\n";
  out += prefix + "_sum " + Number(sum_s_) + "\n";
  out += prefix + "_count " + std::to_string(count_) + "\n";
}

void metrics::Count(std::string_view series, std::uint64_t increment) {
  const auto it = counters_.find(series);
  if (it != counters_.end()) {
    it->second += increment;
  } else {
    counters_.emplace(series, increment);
  }
}

void metrics::Set(std::string_view series, double value) {
  const auto it = gauges_.find(series);
  if (it != gauges_.end()) {
    it->second = value;
  } else {
    gauges_.emplace(series, value);
  }
}

void metrics::Latency(std::string_view name, time_us latency_us) {
  const auto it = latencies_.find(name);
  if (it != latencies_.end()) {
    it->second.Add(latency_us);
  } else {
    latencies_[std::string(name)].Add(latency_us);
  }
}

std::uint64_t metrics::counter(std::string_view series) const {
  const auto it = counters_.find(series);
  return it == counters_.end() ? 0 : it->second;
}

const latency_histogram* metrics::latency(std::string_view name) const {
  const auto it = latencies_.find(name);
  return it == latencies_.end() ? nullptr : &it->second;
}

std::string metrics::Render() const {
  std::string out;
  std::string last;
  for (const auto& [series, value] : counters_) {
    AppendType(series, "counter", last, out);
    out += series + " " + std::to_string(value) + "\n";
  }
  for (const auto& [series, value] : gauges_) {
    AppendType(series, "gauge", last, out);
    out += series + " " + Number(value) + "\n";
  }
  for (const auto& [name, histogram] : latencies_) {
    AppendType(name, "histogram", last, out);
    histogram.AppendPrometheus(name, out);
  }
  return out;
}

}  // namespace wisteriaroute::base
