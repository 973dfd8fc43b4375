// Compares the routing policy with baselines on the same traces over simulated
// engines: time to first token, responses within the deadline, prefix cache
// hits and work for responses that were too late. Four entries route
// independently. The baselines send each request at once and the engines queue
// it; the policy queues requests in the entry and refuses those that can't meet
// the deadline.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <deque>
#include <list>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <span>
#include <tuple>
#include <utility>
#include <vector>

#include "libwisteriaroute/policy/admission.h"
#include "libwisteriaroute/policy/routing.h"
#include "tests/policy/naive_routing.h"

namespace wisteriaroute::bench {
namespace {

using policy::routing_candidate;

constexpr std::size_t kEntries = 4;
constexpr std::size_t kEngines = 24;
constexpr std::uint32_t kSlots = 16;
constexpr double kStepUs = 20'000;
constexpr double kPrefillUs = 50;
constexpr std::size_t kCachedPrefixes = 12;
constexpr std::uint32_t kPrefixes = 200;
constexpr std::uint32_t kPrefixTokens = 1'024;
constexpr std::uint32_t kOwnTokens = 128;
constexpr double kMeanTokens = 64;
constexpr double kReportEveryUs = 100'000;
constexpr double kLossDetectionUs = 500'000;
constexpr double kRunUs = 60e6;
constexpr double kWarmUpUs = 10e6;
constexpr double kRateWindowUs = 5e6;
// Time from arrival within which the whole response is due.
constexpr double kDeadlineUs = 5e6;
// Responses per second of all engines if every prefix were cached.
constexpr double kCapacity =
    kEngines * kSlots * 1e6 /
    ((kMeanTokens + 1) * kStepUs + kOwnTokens * kPrefillUs);

enum class routing_strategy {
  kRandom,
  kRoundRobin,
  kLeastReported,
  kPrefix,
  kPolicy
};
constexpr std::array kNames = {"random", "round robin", "least reported",
                               "prefix affinity", "policy"};

struct trace {
  const char* name;
  double load = 0.9;
  double report_lag_us = 5'000;
  bool one_slow = false;
  bool lose_third_of_engines = false;
};

struct call {
  double arrival_us = 0;
  std::uint32_t prefix = 0;
  std::uint32_t tokens = 0;
  std::size_t entry = 0;
  std::size_t engine = kEngines;
  double sent_us = 0;
  double first_us = 0;
  double done_us = 0;
  std::uint32_t attempt = 0;
  bool refused = false;
  bool expired = false;
};

struct report {
  std::size_t engine = 0;
  double received_us = 0;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  std::vector<std::uint32_t> prefixes;
};

struct engine {
  double slowdown = 1;
  bool dead = false;
  std::uint32_t running = 0;
  std::deque<std::size_t> queue;
  double prefill_free_us = 0;
  std::list<std::uint32_t> cached;
};

struct entry {
  std::array<report, kEngines> reports;
  std::array<std::set<std::size_t>, kEngines> open;
  std::deque<std::size_t> waiting;
  std::size_t next_engine = 0;
  std::uint32_t finished = 0;
  std::uint32_t finished_before = 0;
  double run_us = 0;
};

enum class event_kind {
  kArrival,
  kSample,
  kReport,
  kFirst,
  kDone,
  kLoss,
  kDetect,
  kWindow
};
struct event {
  double at_us;
  std::uint64_t order;
  event_kind kind;
  std::size_t subject;
  std::uint32_t attempt;
  bool operator<(const event& other) const {
    return std::tie(at_us, order) > std::tie(other.at_us, other.order);
  }
};

std::vector<call> MakeCalls(double load) {
  std::mt19937_64 random(20261204);
  std::exponential_distribution<double> gap(kCapacity * load / 1e6);
  std::vector<double> weights(kPrefixes);
  for (std::uint32_t i = 0; i < kPrefixes; ++i) {
    weights[i] = 1.0 / (i + 1);
  }
  std::discrete_distribution<std::uint32_t> prefix(weights.begin(),
                                                   weights.end());
  std::uniform_int_distribution<std::uint32_t> tokens(
      16, static_cast<std::uint32_t>(2 * kMeanTokens) - 16);
  std::vector<call> calls;
  for (double at = gap(random); at < kRunUs; at += gap(random)) {
    calls.push_back({.arrival_us = at,
                     .prefix = prefix(random),
                     .tokens = tokens(random),
                     .entry = random() % kEntries});
  }
  return calls;
}

class simulation {
 public:
  simulation(const trace& of, routing_strategy strategy)
      : trace_(of), strategy_(strategy), calls(MakeCalls(of.load)) {
    if (of.one_slow) {
      engines_[0].slowdown = 4;
    }
  }

  void Run() {
    for (std::size_t i = 0; i < calls.size(); ++i) {
      Push(calls[i].arrival_us, event_kind::kArrival, i);
    }
    for (std::size_t i = 0; i < kEngines; ++i) {
      Push(kReportEveryUs * static_cast<double>(i) / kEngines,
           event_kind::kSample, i);
    }
    Push(kRateWindowUs, event_kind::kWindow, 0);
    if (trace_.lose_third_of_engines) {
      Push(kRunUs / 3, event_kind::kLoss, 0);
      Push(kRunUs / 3 + kLossDetectionUs, event_kind::kDetect, 0);
    }
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_us_ = next.at_us;
      Handle(next);
    }
  }

 private:
  const trace& trace_;
  routing_strategy strategy_;

 public:
  std::vector<call> calls;
  std::uint64_t hits = 0;
  std::uint64_t starts = 0;

 private:
  void Push(double at_us,
            event_kind kind,
            std::size_t subject,
            std::uint32_t attempt = 0) {
    events_.push({at_us, order_++, kind, subject, attempt});
  }

  void Handle(const event& of) {
    switch (of.kind) {
      case event_kind::kArrival:
        Arrive(of.subject);
        break;
      case event_kind::kSample:
        SampleLoad(of.subject);
        break;
      case event_kind::kReport:
        DeliverReport();
        break;
      case event_kind::kFirst:
        if (calls[of.subject].attempt == of.attempt) {
          calls[of.subject].first_us = now_us_;
        }
        break;
      case event_kind::kDone:
        Finish(of);
        break;
      case event_kind::kLoss:
        for (std::size_t i = 0; i < kEngines; i += 3) {
          engines_[i].dead = true;
        }
        break;
      case event_kind::kDetect:
        Detect();
        break;
      case event_kind::kWindow:
        for (entry& at : entries_) {
          at.finished_before = std::exchange(at.finished, 0);
        }
        window_us_ = now_us_;
        if (now_us_ < kRunUs) {
          Push(now_us_ + kRateWindowUs, event_kind::kWindow, 0);
        }
        break;
    }
  }

  void SampleLoad(std::size_t number) {
    const engine& of = engines_[number];
    if (!of.dead) {
      reports_.push_back({number,
                          0,
                          static_cast<std::uint32_t>(of.queue.size()),
                          of.running,
                          {of.cached.begin(), of.cached.end()}});
      Push(now_us_ + trace_.report_lag_us, event_kind::kReport, 0);
    }
    if (now_us_ < kRunUs + 2 * kDeadlineUs) {
      Push(now_us_ + kReportEveryUs, event_kind::kSample, number);
    }
  }

  void DeliverReport() {
    report of = reports_.front();
    of.received_us = now_us_;
    reports_.pop_front();
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries_[i].reports[of.engine] = of;
    }
    // Entries receive a report in random order.
    const std::size_t first = random_();
    for (std::size_t i = 0; i < kEntries; ++i) {
      Drain((first + i) % kEntries);
    }
  }

  void Arrive(std::size_t number) {
    call& of = calls[number];
    entry& at = entries_[of.entry];
    if (strategy_ == routing_strategy::kPolicy) {
      const double rate = (at.finished + at.finished_before) * 1e6 /
                          (kRateWindowUs + now_us_ - window_us_);
      const double left_us = of.arrival_us + kDeadlineUs - now_us_;
      if (!policy::CanMeetDeadline({.waiting = at.waiting.size(),
                                    .completions_per_s = rate,
                                    .mean_run_us = at.run_us},
                                   left_us)) {
        of.refused = true;
        return;
      }
    }
    at.waiting.push_back(number);
    Drain(of.entry);
  }

  void Drain(std::size_t number) {
    entry& at = entries_[number];
    while (!at.waiting.empty()) {
      call& of = calls[at.waiting.front()];
      if (strategy_ == routing_strategy::kPolicy &&
          now_us_ >= of.arrival_us + kDeadlineUs) {
        of.expired = true;
      } else if (const auto chosen = Select(at, of)) {
        Send(at.waiting.front(), *chosen);
      } else {
        return;
      }
      at.waiting.pop_front();
    }
  }

  std::optional<std::size_t> Select(entry& at, const call& of) {
    std::vector<routing_candidate> candidates;
    std::vector<std::size_t> numbers;
    for (std::size_t i = 0; i < kEngines; ++i) {
      if (loss_detected_ && engines_[i].dead) {
        continue;
      }
      const report& last = at.reports[i];
      std::uint32_t since = 0;
      for (const std::size_t open : at.open[i]) {
        since += calls[open].sent_us >= last.received_us ? 1 : 0;
      }
      const bool cached = std::find(last.prefixes.begin(), last.prefixes.end(),
                                    of.prefix) != last.prefixes.end();
      candidates.push_back(
          {.reported_queued = last.queued,
           .reported_running = last.running,
           .slots = kSlots,
           .step_time_us =
               static_cast<std::uint32_t>(kStepUs * engines_[i].slowdown),
           .in_flight = static_cast<std::uint32_t>(at.open[i].size()),
           .sent_since_report = since,
           .same_data_center = true,
           .same_region = true,
           .cached_tokens = cached ? kPrefixTokens : 0});
      numbers.push_back(i);
    }
    const auto chosen = ChooseCandidate(at, of, candidates);
    return chosen ? std::optional(numbers[*chosen]) : std::nullopt;
  }

  std::optional<std::size_t> ChooseCandidate(
      entry& at,
      const call& of,
      std::span<const routing_candidate> candidates) {
    switch (strategy_) {
      case routing_strategy::kRandom:
        return policy::naive::ChooseAtRandom(candidates, random_());
      case routing_strategy::kRoundRobin:
        return at.next_engine++ % candidates.size();
      case routing_strategy::kLeastReported:
        return policy::naive::ChooseLeastReported(candidates, random_());
      case routing_strategy::kPrefix:
        return policy::naive::ChooseByPrefix(candidates, of.prefix);
      case routing_strategy::kPolicy:
        break;
    }
    return policy::Choose(candidates,
                          {.prompt_tokens = kPrefixTokens + kOwnTokens,
                           .expected_tokens = of.tokens},
                          random_());
  }

  void Send(std::size_t number, std::size_t to) {
    call& of = calls[number];
    of.engine = to;
    of.sent_us = now_us_;
    entries_[of.entry].open[to].insert(number);
    engines_[to].queue.push_back(number);
    StartNext(to);
  }

  void StartNext(std::size_t number) {
    engine& at = engines_[number];
    while (!at.dead && at.running < kSlots && !at.queue.empty()) {
      const std::size_t next = at.queue.front();
      at.queue.pop_front();
      ++at.running;
      ++starts;
      call& of = calls[next];
      const auto found =
          std::find(at.cached.begin(), at.cached.end(), of.prefix);
      const bool hit = found != at.cached.end();
      if (hit) {
        at.cached.erase(found);
        ++hits;
      }
      at.cached.push_front(of.prefix);
      if (at.cached.size() > kCachedPrefixes) {
        at.cached.pop_back();
      }
      at.prefill_free_us =
          std::max(at.prefill_free_us, now_us_) +
          (kOwnTokens + (hit ? 0 : kPrefixTokens)) * kPrefillUs * at.slowdown;
      const double step_us = kStepUs * at.slowdown;
      Push(at.prefill_free_us + step_us, event_kind::kFirst, next, of.attempt);
      Push(at.prefill_free_us + (of.tokens + 1) * step_us, event_kind::kDone,
           next, of.attempt);
    }
  }

  void Finish(const event& what) {
    call& of = calls[what.subject];
    if (of.attempt != what.attempt || engines_[of.engine].dead) {
      return;
    }
    of.done_us = now_us_;
    entry& at = entries_[of.entry];
    at.open[of.engine].erase(what.subject);
    ++at.finished;
    const double run_us = now_us_ - of.sent_us;
    at.run_us = at.run_us == 0 ? run_us : at.run_us + (run_us - at.run_us) / 32;
    --engines_[of.engine].running;
    StartNext(of.engine);
    Drain(of.entry);
  }

  void Detect() {
    loss_detected_ = true;
    for (std::size_t e = 0; e < kEntries; ++e) {
      for (std::size_t i = 0; i < kEngines; i += 3) {
        for (const std::size_t number : entries_[e].open[i]) {
          ++calls[number].attempt;
          entries_[e].waiting.push_front(number);
        }
        entries_[e].open[i].clear();
      }
      Drain(e);
    }
  }

  std::array<engine, kEngines> engines_;
  std::array<entry, kEntries> entries_;
  std::priority_queue<event> events_;
  std::deque<report> reports_;
  std::mt19937_64 random_{7};
  double now_us_ = 0;
  double window_us_ = 0;
  std::uint64_t order_ = 0;
  bool loss_detected_ = false;
};

struct trace_result {
  double p95_ms = 0;
  /** Responses within the deadline, in relation to the capacity. */
  double goodput = 0;
  std::size_t expired = 0;
};

trace_result Measure(const trace& of, routing_strategy strategy) {
  simulation run(of, strategy);
  run.Run();
  std::vector<double> first;
  std::size_t in_time = 0;
  std::size_t counted = 0;
  std::size_t expired = 0;
  std::size_t refused = 0;
  double tokens = 0;
  double late_tokens = 0;
  for (const call& each : run.calls) {
    refused += each.refused ? 1 : 0;
    if (each.done_us == 0) {
      expired += each.refused ? 0 : 1;
      continue;
    }
    const bool late = each.done_us > each.arrival_us + kDeadlineUs;
    // A request whose first token is later than its deadline also timed out in
    // a queue.
    expired += each.first_us > each.arrival_us + kDeadlineUs ? 1 : 0;
    in_time += late ? 0 : 1;
    counted += !late && each.done_us > kWarmUpUs && each.done_us <= kRunUs;
    tokens += each.tokens;
    late_tokens += late ? each.tokens : 0;
    first.push_back((each.first_us - each.arrival_us) / 1'000);
  }
  std::sort(first.begin(), first.end());
  const auto at = [&](double q) {
    return first[static_cast<std::size_t>(q *
                                          static_cast<double>(first.size()))];
  };
  const auto share = [&](std::size_t n) {
    return 100.0 * static_cast<double>(n) /
           static_cast<double>(run.calls.size());
  };
  const trace_result out{
      at(0.95), static_cast<double>(in_time) / (kCapacity * kRunUs / 1e6),
      expired};
  std::printf(
      "%-15s %-16s %7.0f %7.0f %7.0f %8.1f%% %7.1f%% %8.1f%% %8.1f%% %8zu "
      "%7.3f\n",
      of.name, kNames[static_cast<std::size_t>(strategy)], at(0.5), at(0.95),
      at(0.99), share(in_time), share(refused),
      100.0 * static_cast<double>(run.hits) / static_cast<double>(run.starts),
      100 * late_tokens / tokens, expired, out.goodput);
  return out;
}

double DecisionUs() {
  std::mt19937_64 random(3);
  std::vector<routing_candidate> candidates(2'300);
  for (auto& of : candidates) {
    of = {.reported_queued = static_cast<std::uint32_t>(random() % 3),
          .reported_running = static_cast<std::uint32_t>(random() % 17),
          .slots = kSlots,
          .step_time_us = static_cast<std::uint32_t>(15'000 + random() % 9'000),
          .same_data_center = random() % 4 == 0,
          .same_region = random() % 2 == 0,
          .cached_tokens = random() % 8 == 0 ? kPrefixTokens : 0};
  }
  std::vector<double> times;
  std::size_t sum = 0;
  for (int i = 0; i < 5'000; ++i) {
    const auto from = std::chrono::steady_clock::now();
    sum += policy::Choose(candidates,
                          {.prompt_tokens = 1'152, .expected_tokens = 64},
                          random())
               .value_or(0);
    times.push_back(std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - from)
                        .count());
  }
  std::sort(times.begin(), times.end());
  std::printf("decision over 2,300: median %.1f us, p95 %.1f us (%zu)\n",
              times[2'500], times[4'750], sum % 10);
  return times[2'500];
}

void PrintTarget(const char* what, double value, double limit, bool met) {
  std::printf("target %-52s %8.3f (limit %.3f) %s\n", what, value, limit,
              met ? "met" : "MISSED");
}

void Main() {
  const std::array traces = {
      trace{.name = "70%", .load = 0.7},
      trace{.name = "90%"},
      trace{.name = "200%", .load = 2},
      trace{.name = "one slow, 70%", .load = 0.7, .one_slow = true},
      trace{.name = "late, 90%", .report_lag_us = 1e6},
      trace{.name = "loss, 60%", .load = 0.6, .lose_third_of_engines = true}};
  std::printf("%-15s %-16s %7s %7s %7s %9s %8s %9s %9s %8s %7s\n", "trace",
              "strategy", "p50 ms", "p95 ms", "p99 ms", "in time", "refused",
              "cache hit", "late work", "expired", "goodput");
  std::array<std::array<trace_result, kNames.size()>, traces.size()> all;
  for (std::size_t t = 0; t < traces.size(); ++t) {
    for (std::size_t c = 0; c < kNames.size(); ++c) {
      all[t][c] = Measure(traces[t], static_cast<routing_strategy>(c));
    }
  }
  const auto ours = [&](std::size_t t) { return all[t][kNames.size() - 1]; };
  double best = all[1][0].p95_ms;
  for (std::size_t c = 1; c + 1 < kNames.size(); ++c) {
    best = std::min(best, all[1][c].p95_ms);
  }
  const double ratio = ours(1).p95_ms / best;
  PrintTarget("p95 at 90% over the best baseline's", ratio, 0.75,
              ratio <= 0.75);
  PrintTarget("goodput at 200% over capacity", ours(2).goodput, 0.95,
              ours(2).goodput >= 0.95);
  const auto expired = static_cast<double>(ours(2).expired);
  PrintTarget("accepted requests that timed out in a queue", expired, 0,
              expired == 0);
  const double slow = ours(3).p95_ms / ours(0).p95_ms;
  PrintTarget("p95 with one slow server over healthy", slow, 1.3, slow <= 1.3);
  const double decision = DecisionUs();
  PrintTarget("decision over 2,300 candidates, us", decision, 20,
              decision < 20);
}

}  // namespace
}  // namespace wisteriaroute::bench

int main() {
  wisteriaroute::bench::Main();
  return 0;
}
