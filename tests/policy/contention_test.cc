#include "libwisteriaroute/policy/contention.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace wisteriaroute::policy {
namespace {

constexpr int kKinds = 3;
constexpr std::size_t kEntries = 14;
constexpr base::time_ms kDeadlineMs = 8'000;
constexpr base::time_us kStepUs = 5'000;
// Age of the load that an entry sees.
constexpr base::time_us kReportLagUs = 200'000;

std::string KindName(int kind) {
  return "kind-" + std::to_string(kind);
}

/** Traffic of one replay. Rates are requests a second of kind 0 (the most
 * urgent), 1 and 2 at a time in seconds. */
struct pattern {
  std::function<std::array<double, kKinds>(double)> rates;
  /** Streams that all servers run at once, at a time in seconds. */
  std::function<double(double)> capacity;
  /** Share of callers that repeat at once, and how often. */
  double impatient = 0;
  int repeats = 1;
  /** Chance that a caller connects to the first entry; the rest is even. */
  std::function<double(double)> first_entry = {};
  /** Share of the requests that one workspace sends. */
  double large_workspace = 0.3;
};

struct tally {
  double offered = 0;
  double in_time = 0;
  double served = 0;
};
struct result {
  std::array<tally, kKinds> kinds;
  std::map<std::string, tally> workspaces;
  tally first_entry;
  tally all;
  double refusals = 0;
  double never_served = 0;
  double InTime(int kind) const {
    return kinds[kind].in_time / kinds[kind].offered;
  }
  double Served(int kind) const {
    return kinds[kind].served / kinds[kind].offered;
  }
  double RefusalsPerUnserved() const {
    return refusals / std::max(never_served, 1.0);
  }
};

/** One caller with its attempts so far. */
struct caller {
  int kind = 0;
  std::string workspace;
  base::time_us born_us = 0;
  base::time_us next_us = 0;
  int attempts = 0;
  bool impatient = false;
  bool at_first_entry = false;
};

/** Drives entries that share servers; each sees the load late, and only what it
 * has sent itself at once. */
class replay {
 public:
  replay(pattern traffic, bool use_policy)
      : traffic_(std::move(traffic)), use_policy_(use_policy) {}

  result Run() {
    for (now_us_ = kStepUs; now_us_ < kLengthUs; now_us_ += kStepUs) {
      EndStreams();
      history_.push_back(static_cast<double>(ends_.size()));
      Arrive();
      std::vector<caller> due;
      std::erase_if(waiting_, [&](const caller& one) {
        if (one.next_us > now_us_) {
          return false;
        }
        due.push_back(one);
        return true;
      });
      for (caller& one : due) {
        Ask(one);
      }
    }
    return result_;
  }

 private:
  static constexpr base::time_us kLengthUs = 40'000'000;

  struct entry {
    contention state;
    std::vector<base::time_us> sent;
  };

  double Uniform() {
    seed_ = seed_ * 6'364'136'223'846'793'005U + 1'442'695'040'888'963'407U;
    return static_cast<double>(seed_ >> 11) / 9'007'199'254'740'992.0;
  }

  void EndStreams() {
    std::erase_if(ends_, [&](const auto& stream) {
      if (stream.first > now_us_) {
        return false;
      }
      return true;
    });
  }

  void Arrive() {
    const double now_s = static_cast<double>(now_us_) / 1e6;
    const auto rates = traffic_.rates(now_s);
    for (int kind = 0; kind < kKinds; ++kind) {
      pending_[kind] +=
          rates[kind] * static_cast<double>(kStepUs) / 1e6 * (0.5 + Uniform());
      for (; pending_[kind] >= 1; pending_[kind] -= 1) {
        const bool is_large = Uniform() < traffic_.large_workspace;
        const int small = static_cast<int>(Uniform() * 20);
        caller made{
            .kind = kind,
            .workspace = is_large ? "large" : "small-" + std::to_string(small),
            .born_us = now_us_,
            .next_us = now_us_,
            .impatient = Uniform() < traffic_.impatient,
            .at_first_entry = traffic_.first_entry &&
                              Uniform() < traffic_.first_entry(now_s)};
        result_.kinds[kind].offered += 1;
        result_.workspaces[made.workspace].offered += 1;
        (made.at_first_entry ? result_.first_entry : result_.all).offered += 1;
        waiting_.push_back(made);
      }
    }
  }

  void Ask(caller& one) {
    const std::size_t index =
        one.at_first_entry && one.attempts == 0
            ? 0
            : static_cast<std::size_t>(Uniform() * kEntries);
    entry& at = entries_[index];
    ++one.attempts;
    const std::string kind = KindName(one.kind);
    const contender request{.urgency = UrgencyOf(1, one.kind),
                            .kind = kind,
                            .workspace = one.workspace};
    const base::time_ms left_ms = kDeadlineMs - (now_us_ - one.born_us) / 1'000;
    NoteDemand(at.state, request, now_us_);
    const bool competes =
        !use_policy_ || MayCompete(at.state, request, now_us_);
    if (competes && HasRoom(at)) {
      Serve(at, index, one, request);
    } else {
      Refuse(at, one, request, left_ms);
    }
  }

  bool HasRoom(entry& at) {
    std::erase_if(at.sent, [&](base::time_us sent_us) {
      return sent_us < now_us_ - kReportLagUs;
    });
    const std::size_t lag = kReportLagUs / kStepUs;
    const double seen =
        history_.size() > lag ? history_[history_.size() - 1 - lag] : 0;
    const double capacity =
        traffic_.capacity(static_cast<double>(now_us_) / 1e6);
    const double load = seen + static_cast<double>(at.sent.size()) + 1;
    if (load > capacity) {
      NoteFull(at.state, now_us_);
      return false;
    }
    return true;
  }

  void Serve(entry& at,
             std::size_t index,
             const caller& one,
             const contender& request) {
    NoteAdmitted(at.state, request, now_us_);
    at.sent.push_back(now_us_);
    ends_.emplace_back(now_us_ + kDurationUs, index);
    const double in_time = one.attempts == 1 ? 1 : 0;
    for (tally* to :
         {&result_.kinds[one.kind], &result_.workspaces[one.workspace],
          one.at_first_entry ? &result_.first_entry : &result_.all}) {
      to->served += 1;
      to->in_time += in_time;
    }
  }

  void Refuse(entry& at,
              caller& one,
              const contender& request,
              base::time_ms left_ms) {
    result_.refusals += 1;
    const auto random = static_cast<std::uint64_t>(Uniform() * 1e9);
    const base::time_ms told_ms =
        use_policy_ ? ReturnDelayMs(at.state, request, left_ms, random, now_us_)
                    : 400 + static_cast<base::time_ms>(random % 400);
    if (one.attempts > (one.impatient ? traffic_.repeats : 1)) {
      result_.never_served += 1;
      return;
    }
    one.next_us = now_us_ + (one.impatient ? 20'000 : told_ms * 1'000);
    waiting_.push_back(one);
  }

  static constexpr base::time_us kDurationUs = 1'500'000;

  pattern traffic_;
  bool use_policy_;
  std::uint64_t seed_ = 20261206;
  base::time_us now_us_ = 0;
  std::array<double, kKinds> pending_{};
  std::array<entry, kEntries> entries_;
  std::vector<caller> waiting_;
  std::vector<std::pair<base::time_us, std::size_t>> ends_;
  std::vector<double> history_;
  result result_;
};

double Steady(double) {
  return 300;
}

struct comparison {
  result before;
  result after;
};

comparison Compare(const char* name, const pattern& traffic) {
  const comparison both{.before = replay(traffic, false).Run(),
                        .after = replay(traffic, true).Run()};
  for (const result* one : {&both.before, &both.after}) {
    std::printf(
        "%s, %s: at the first attempt %.3f %.3f %.3f, served %.3f %.3f %.3f, "
        "refusals for each unserved request %.2f\n",
        name, one == &both.before ? "first come" : "policy", one->InTime(0),
        one->InTime(1), one->InTime(2), one->Served(0), one->Served(1),
        one->Served(2), one->RefusalsPerUnserved());
  }
  return both;
}

/** No kind and no workspace is served less than a quarter as often as all. */
void CheckNobodyStarves(const result& one) {
  tally sum;
  for (const tally& kind : one.kinds) {
    sum.offered += kind.offered;
    sum.served += kind.served;
  }
  const double all = sum.served / sum.offered;
  for (int kind = 0; kind < kKinds; ++kind) {
    CHECK(one.Served(kind) >= all / 4);
  }
  for (const auto& [name, workspace] : one.workspaces) {
    INFO(name);
    CHECK(workspace.served / workspace.offered >= all / 4);
  }
}

/** Capacity goes to the most urgent kind first. */
void CheckUrgentFirst(const comparison& both) {
  CHECK(both.after.InTime(0) > both.before.InTime(0) + 0.05);
  CHECK(both.after.InTime(0) > both.after.InTime(1));
  CHECK(both.after.InTime(1) > both.after.InTime(2));
}

/** A more urgent kind isn't served less often than a less urgent one by over
 * 5 in 100. */
void CheckOrder(const result& one) {
  CHECK(one.Served(0) >= one.Served(1) - 0.05);
  CHECK(one.Served(1) >= one.Served(2) - 0.05);
}

std::array<double, kKinds> Even(double per_s) {
  return {per_s * 0.36, per_s * 0.48, per_s * 0.16};
}

TEST_CASE("a burst of the least urgent kind doesn't take the room of others") {
  const pattern traffic{.rates =
                            [](double t) {
                              auto rates = Even(170);
                              rates[2] *= t > 10 && t < 20 ? 6 : 1;
                              return rates;
                            },
                        .capacity = Steady};
  const comparison both = Compare("burst of the least urgent", traffic);
  const result& after = both.after;
  CheckUrgentFirst(both);
  CheckOrder(after);
  CheckNobodyStarves(after);
}

TEST_CASE("a burst of the most urgent kind leaves others their minimum") {
  const pattern traffic{.rates =
                            [](double t) {
                              auto rates = Even(170);
                              rates[0] *= t > 10 && t < 20 ? 5 : 1;
                              return rates;
                            },
                        .capacity = Steady};
  const auto [before, after] = Compare("burst of the most urgent", traffic);
  CHECK(after.InTime(0) > before.InTime(0));
  CheckNobodyStarves(after);
}

TEST_CASE("a wave of all kinds: the most urgent ones are served first") {
  const pattern traffic{
      .rates =
          [](double t) {
            return Even(200 * (1 + 0.55 * std::sin(t * 6.283 / 13)));
          },
      .capacity = Steady};
  const comparison both = Compare("wave", traffic);
  const result& after = both.after;
  CheckUrgentFirst(both);
  CheckOrder(after);
  CheckNobodyStarves(after);
}

TEST_CASE("a third of the servers is taken away") {
  const pattern traffic{
      .rates = [](double) { return Even(170); },
      .capacity = [](double t) { return t > 10 && t < 25 ? 200.0 : 300.0; }};
  const comparison both = Compare("a data centre evacuated", traffic);
  const result& after = both.after;
  CheckUrgentFirst(both);
  CheckOrder(after);
  CheckNobodyStarves(after);
}

TEST_CASE("callers that repeat at once gain nothing over those that wait") {
  pattern traffic{.rates = [](double) { return Even(260); },
                  .capacity = Steady};
  const auto patient = Compare("callers that wait", traffic).after;
  traffic.impatient = 0.3;
  traffic.repeats = 4;
  const auto mixed = Compare("a third repeats at once", traffic).after;
  CHECK(mixed.InTime(0) > patient.InTime(0) - 0.1);
  CheckNobodyStarves(mixed);
}

TEST_CASE("many callers at one entry are served as often as those elsewhere") {
  const pattern traffic{
      .rates = [](double) { return Even(260); },
      .capacity = Steady,
      .first_entry = [](double t) { return t > 10 && t < 30 ? 0.15 : 0.07; }};
  const auto [before, after] = Compare("callers move to one entry", traffic);
  const double there = after.first_entry.served / after.first_entry.offered;
  const double elsewhere = after.all.served / after.all.offered;
  CHECK(there > elsewhere * 0.5);
}

TEST_CASE("without contention nothing is kept free") {
  const pattern traffic{.rates = [](double) { return Even(150); },
                        .capacity = Steady};
  const auto [before, after] = Compare("no contention", traffic);
  CHECK(after.refusals == before.refusals);
  CHECK(after.refusals == 0);
}

}  // namespace
}  // namespace wisteriaroute::policy
