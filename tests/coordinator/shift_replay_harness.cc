#include <algorithm>
#include <chrono>
#include <cmath>
#include <memory>
#include <numeric>
#include <sstream>

#include "tests/coordinator/shift_replay.h"

namespace wisteriaroute::coordinator {
namespace {

constexpr std::uint32_t kTableSize = 4'096;
constexpr base::time_us kLinkUs = 1'000;
constexpr double kCopySlowdown = 1.15;
// Bytes of a link message besides its body.
constexpr std::size_t kOverheadBytes = 80;

/** Popularity of the experts of each set, which shifts. */
class demand_source {
 public:
  demand_source(const wire::placement_shape& shape,
                double zipf,
                std::uint32_t seed)
      : shape_(shape), zipf_(zipf), random_(seed), orders_(shape.sets) {
    for (auto& order : orders_) {
      order.resize(shape.experts);
      std::iota(order.begin(), order.end(), 0);
      std::shuffle(order.begin(), order.end(), random_);
    }
    Rebuild();
  }

  void Shift() {
    const double part = std::uniform_real_distribution<>(0.5, 0.7)(random_);
    for (auto& order : orders_) {
      for (std::uint32_t& expert : order) {
        if (std::uniform_real_distribution<>()(random_) < part) {
          std::swap(expert, order[random_() % shape_.experts]);
        }
      }
    }
    Rebuild();
  }

  std::uint32_t Choose(std::uint32_t set) {
    return tables_[set][random_() % kTableSize];
  }

  /** Popularity by set and expert, scaled to integers. */
  const std::vector<std::uint64_t>& weights() const { return weights_; }

 private:
  void Rebuild() {
    weights_.assign(std::size_t{shape_.sets} * shape_.experts, 0);
    tables_.assign(shape_.sets, {});
    double sum = 0;
    for (std::uint32_t place = 0; place < shape_.experts; ++place) {
      sum += std::pow(place + 1, -zipf_);
    }
    for (std::uint32_t set = 0; set < shape_.sets; ++set) {
      double reached = 0;
      for (std::uint32_t place = 0; place < shape_.experts; ++place) {
        const double share = std::pow(place + 1, -zipf_) / sum;
        const std::uint32_t expert = orders_[set][place];
        weights_[set * shape_.experts + expert] =
            static_cast<std::uint64_t>(share * 1e9);
        reached += share;
        tables_[set].resize(std::min<std::size_t>(
                                kTableSize, std::lround(reached * kTableSize)),
                            expert);
      }
      tables_[set].resize(kTableSize, orders_[set].front());
    }
  }

  wire::placement_shape shape_;
  double zipf_;
  std::minstd_rand random_;
  std::vector<std::vector<std::uint32_t>> orders_;
  std::vector<std::vector<std::uint32_t>> tables_;
  std::vector<std::uint64_t> weights_;
};

/** A rank that accepts and refuses orders by the platform's rules. */
struct replay_rank {
  std::vector<wire::expert_list> experts;
  std::uint64_t map_version = 0;
  std::uint64_t highest_version = 0;
  std::uint64_t prepared = 0;
  std::vector<wire::expert_list> prepared_experts;
  base::time_us prepared_at_us = 0;
  std::uint64_t armed_version = 0;
  std::uint64_t armed_step = 0;
  std::uint64_t held = 0;
  std::vector<std::uint64_t> counts;
  double pace = 1;
};

struct replay_host {
  sidecar::sidecar_state sidecar;
  replay_rank rank;
  base::time_us egress_free_us = 0;
  base::time_us ingress_free_us = 0;
};

class world {
 public:
  explicit world(const replay_settings& settings)
      : settings_(settings),
        random_(settings.seed),
        demand_(settings.shape, settings.zipf, settings.seed + 1),
        hosts_(settings.ranks) {
    for (std::uint32_t r = 0; r < settings.ranks; ++r) {
      hosts_[r].sidecar = {.name = "s" + std::to_string(r),
                           .incarnation = 1,
                           .service = "model",
                           .server = "10.0.0.1:8000"};
      replay_rank& rank = hosts_[r].rank;
      rank.experts.resize(settings.shape.sets);
      rank.counts.resize(std::size_t{settings.shape.sets} *
                         settings.shape.experts);
      for (auto& held : rank.experts) {
        for (std::uint32_t e = r; e < settings.shape.experts;
             e += settings.ranks) {
          held.push_back(static_cast<std::uint16_t>(e));
        }
      }
    }
    UpdateSkew();
  }

  replay_result Run() {
    for (std::uint32_t r = 0; r < settings_.ranks; ++r) {
      At(RandomBetween(0, sidecar::kSidecarTickUs), [this, r] { Tick(r); });
    }
    At(1'000, [this] { BeginPass(); });
    At(500'000, [this] { Grant(); });
    At(kFirstShiftUs, [this] { Shift(); });
    if (settings_.slow_pace != 1) {
      At(settings_.slow_from_us, [this] { SetPace(settings_.slow_pace); });
      At(settings_.slow_until_us, [this] { SetPace(1); });
    }
    while (!events_.empty() &&
           events_.begin()->first <= settings_.duration_us) {
      now_us_ = events_.begin()->first;
      const auto run = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      run();
    }
    const double seconds = static_cast<double>(settings_.duration_us) / 1e6;
    result_.mean_skew = skew_time_ / pass_time_;
    result_.mean_pass_us = pass_time_ / static_cast<double>(result_.passes);
    result_.coordinator_bytes_in_per_s = bytes_in_ / seconds;
    result_.coordinator_bytes_out_per_s = bytes_out_ / seconds;
    result_.coordinator_cpu = cpu_s_ / seconds;
    return std::move(result_);
  }

 private:
  static constexpr base::time_us kFirstShiftUs = 5'000'000;
  static constexpr base::time_us kSettledUs = 4'000'000;

  void At(base::time_us at_us, std::function<void()> run) {
    events_.emplace(at_us, std::move(run));
  }
  void After(base::time_us delay_us, std::function<void()> run) {
    At(now_us_ + delay_us, std::move(run));
  }
  base::time_us RandomBetween(base::time_us low, base::time_us high) {
    return std::uniform_int_distribution<base::time_us>(low, high)(random_);
  }

  void Grant() {
    for (std::uint32_t r = 0; r < settings_.ranks; ++r) {
      Handle(r, sidecar::grant_received{{.group = "g",
                                         .term = 1,
                                         .name = "s0",
                                         .address = "10.0.0.1:7340",
                                         .incarnation = 1,
                                         .shape = settings_.shape}});
      if (r != 0) {
        Handle(r, sidecar::coordinator_link_changed{true});
      }
    }
    CoordinatorTick();
  }

  void Tick(std::uint32_t r) {
    Handle(r, sidecar::sidecar_tick{});
    After(sidecar::kSidecarTickUs, [this, r] { Tick(r); });
  }

  void CoordinatorTick() {
    Coordinate(coordinator_tick{});
    After(kCoordinatorTickUs, [this] { CoordinatorTick(); });
  }

  // Messages and calls.

  void Send(std::uint32_t from,
            std::uint32_t to,
            std::size_t bytes,
            std::function<void()> deliver) {
    if (from == to) {
      After(0, std::move(deliver));
      return;
    }
    const auto wire_us = static_cast<base::time_us>(
        static_cast<double>(bytes + kOverheadBytes) / settings_.bytes_per_us);
    (to == 0 ? bytes_in_ : bytes_out_) +=
        static_cast<double>(bytes + kOverheadBytes);
    base::time_us& egress = hosts_[from].egress_free_us;
    egress = std::max(now_us_, egress) + wire_us;
    base::time_us& ingress = hosts_[to].ingress_free_us;
    ingress = std::max(egress + kLinkUs, ingress + wire_us);
    At(ingress, std::move(deliver));
  }

  /** Calls the rank on the same host: `serve` runs there, then `done` here. */
  void Call(std::function<void()> serve, std::function<void()> done) {
    const base::time_us one_way_us = RandomBetween(300, 1'200);
    After(one_way_us, std::move(serve));
    After(one_way_us + RandomBetween(300, 1'200), std::move(done));
  }

  void Handle(std::uint32_t r, const sidecar::sidecar_event& event) {
    for (const auto& effect :
         sidecar::Step(hosts_[r].sidecar, event, now_us_)) {
      Run(r, effect);
    }
  }

  void Run(std::uint32_t r, const sidecar::sidecar_effect& effect) {
    using namespace sidecar;
    if (std::holds_alternative<poll_status>(effect)) {
      auto status = std::make_shared<wire::rank_status>();
      Call([this, r, status] { *status = Status(r); },
           [this, r, status] {
             Handle(r, status_polled{true, *status});
           });
    } else if (std::holds_alternative<poll_counts>(effect)) {
      auto counts = std::make_shared<expert_counts>();
      Call(
          [this, r, counts] {
            *counts = {1, step_, hosts_[r].rank.counts};
          },
          [this, r, counts] {
            Handle(r, counts_polled{true, *counts});
          });
    } else if (std::holds_alternative<poll_lists>(effect)) {
      auto lists = std::make_shared<expert_lists>();
      Call(
          [this, r, lists] {
            *lists = {1, hosts_[r].rank.map_version, hosts_[r].rank.experts};
          },
          [this, r, lists] {
            Handle(r, lists_polled{true, *lists});
          });
    } else if (const auto* forward = std::get_if<forward_order>(&effect)) {
      auto status = std::make_shared<unsigned>();
      Call(
          [this, r, status, order = forward->order] {
            *status = CarryOut(r, order) ? 200 : 409;
          },
          [this, r, status, kind = forward->order.kind] {
            Handle(r, order_answered{kind, *status});
          });
    } else if (const auto* sent = std::get_if<send_status>(&effect)) {
      Send(r, 0, wire::Encode(sent->status).size(),
           [this, r, status = sent->status] {
             Coordinate(rank_reported{r, status});
           });
    } else if (const auto* begun = std::get_if<start_coordinating>(&effect)) {
      Coordinate(coordination_granted{begun->grant});
    }
  }

  void Coordinate(const coordinator_event& event) {
    const auto begin = std::chrono::steady_clock::now();
    const coordinator_effects effects = Step(coordinator_, event, now_us_);
    cpu_s_ +=
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
            .count();
    Observe();
    for (const coordinator_effect& effect : effects) {
      const auto* sent = std::get_if<send_order>(&effect);
      if (sent == nullptr) {
        continue;
      }
      const std::size_t bytes = wire::Encode(sent->order).size();
      for (const net::link_id link : sent->links) {
        const auto to = static_cast<std::uint32_t>(link);
        Send(0, to, bytes, [this, to, order = sent->order] {
          Handle(to, sidecar::order_received{order});
        });
      }
    }
  }

  /** Notes the stages that the coordinator has entered. */
  void Observe() {
    const rank_group& group = coordinator_.group;
    if (group.demand.shift_detected_us != last_detected_us_) {
      last_detected_us_ = group.demand.shift_detected_us;
      if (last_detected_us_ != 0) {
        if (stages_ != nullptr && stages_->detected_us < 0) {
          stages_->detected_us = now_us_ - shift_us_;
        } else if (now_us_ > kSettledUs) {
          ++result_.false_alarms;
        }
      }
    }
    if (!group.change) {
      return;
    }
    const rank_map_change& change = *group.change;
    if (change.version != change_version_) {
      change_version_ = change.version;
      if (stages_ != nullptr && stages_->version == 0) {
        stages_->version = change.version;
        stages_->begun_us = now_us_ - shift_us_;
      }
    }
    if (stages_ == nullptr || stages_->version != change.version) {
      return;
    }
    const base::time_us since_us = now_us_ - shift_us_;
    const auto note = [&](change_phase phase, base::time_us& at) {
      if (change.phase >= phase && at < 0) {
        at = since_us;
      }
    };
    note(change_phase::kHolding, stages_->prepared_us);
    note(change_phase::kArming, stages_->held_us);
    note(change_phase::kReleasing, stages_->armed_us);
  }

  // The ranks.

  wire::rank_status Status(std::uint32_t r) const {
    const replay_rank& rank = hosts_[r].rank;
    wire::rank_status status{
        .group = "g",
        .formation = 1,
        .rank = r,
        .ranks = settings_.ranks,
        .group_running = true,
        .step = step_,
        .map_version = rank.map_version,
        .armed_version = rank.armed_version,
        .armed_step = rank.armed_step,
        .held_step = rank.held > step_ ? rank.held : 0,
        .pace_permille =
            settings_.report_pace
                ? static_cast<std::uint32_t>(rank.pace * wire::kHealthyPace)
                : wire::kHealthyPace};
    if (rank.prepared != 0 && rank.prepared_at_us <= now_us_) {
      status.prepared_version = rank.prepared;
    }
    return status;
  }

  bool CarryOut(std::uint32_t r, const wire::rank_order& order) {
    replay_rank& rank = hosts_[r].rank;
    switch (order.kind) {
      case wire::rank_order_kind::kFence:
        return true;
      case wire::rank_order_kind::kDisarm:
        rank.armed_version = rank.armed_step = 0;
        return true;
      case wire::rank_order_kind::kPrepare:
        return Prepare(r, order);
      case wire::rank_order_kind::kArm:
        if (rank.prepared != order.version || rank.prepared_at_us > now_us_ ||
            order.step <= step_) {
          return false;
        }
        rank.armed_version = order.version;
        rank.armed_step = order.step;
        return true;
      case wire::rank_order_kind::kHold:
        if (order.step <= step_) {
          return false;
        }
        rank.held = order.step;
        return true;
      case wire::rank_order_kind::kRelease:
        if (rank.held == order.step) {
          rank.held = 0;
          if (waiting_) {
            waiting_ = false;
            BeginPass();
          }
        }
        return true;
    }
    return false;
  }

  bool Prepare(std::uint32_t r, const wire::rank_order& order) {
    replay_rank& rank = hosts_[r].rank;
    if (order.version <= rank.highest_version || rank.armed_version != 0) {
      return false;
    }
    std::uint64_t copies = 0;
    std::vector<wire::expert_list> experts;
    for (std::size_t set = 0; set < order.placement.size(); ++set) {
      const wire::expert_list& wanted = order.placement[set].at(r);
      std::uint64_t added = 0;
      for (const std::uint16_t expert : wanted) {
        added += std::ranges::count(rank.experts[set], expert) == 0 ? 1 : 0;
      }
      if (added > settings_.shape.spare_slots) {
        return false;
      }
      copies += added;
      experts.push_back(wanted);
    }
    rank.highest_version = rank.prepared = order.version;
    rank.prepared_experts = std::move(experts);
    rank.prepared_at_us =
        now_us_ + static_cast<base::time_us>(copies * settings_.shape.copy_us);
    copying_until_us_ = std::max(copying_until_us_, rank.prepared_at_us);
    result_.copies += copies;
    if (stages_ != nullptr && stages_->version == order.version) {
      stages_->ordered_us = now_us_ - shift_us_;
      stages_->copied_us =
          std::max(stages_->copied_us, rank.prepared_at_us - shift_us_);
    }
    return true;
  }

  // Passes.

  void BeginPass() {
    const std::uint64_t next = step_ + 1;
    if (std::ranges::any_of(hosts_, [&](const replay_host& host) {
          return host.rank.held == next;
        })) {
      waiting_ = true;
      waiting_since_us_ = waiting_since_us_ == 0 ? now_us_ : waiting_since_us_;
      return;
    }
    if (waiting_since_us_ != 0) {
      const base::time_us waited_us = now_us_ - waiting_since_us_;
      result_.held_us += waited_us;
      skew_time_ += skew_ * static_cast<double>(waited_us);
      pass_time_ += static_cast<double>(waited_us);
      waiting_since_us_ = 0;
    }
    step_ = next;
    SwitchMaps();
    double pass_us = static_cast<double>(settings_.own_us) * Slowest() +
                     static_cast<double>(settings_.experts_us) * skew_;
    if (copying_until_us_ > now_us_) {
      pass_us *= kCopySlowdown;
    }
    if (now_us_ > kFirstShiftUs) {
      ++result_.passes;
      skew_time_ += skew_ * pass_us;
      pass_time_ += pass_us;
    }
    Count();
    After(static_cast<base::time_us>(pass_us), [this] { EndPass(); });
  }

  /** A pass's choices are counted at its end. */
  void EndPass() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      auto& counts = hosts_[i].rank.counts;
      for (const std::uint32_t number : chosen_[i]) {
        ++counts[number];
      }
    }
    BeginPass();
  }

  void Count() {
    chosen_.assign(hosts_.size(), {});
    for (auto& chosen : chosen_) {
      for (std::uint32_t set = 0; set < settings_.shape.sets; ++set) {
        for (std::uint32_t i = 0; i < settings_.choices; ++i) {
          chosen.push_back(set * settings_.shape.experts + demand_.Choose(set));
        }
      }
    }
  }

  void SwitchMaps() {
    bool switched = false;
    for (replay_host& host : hosts_) {
      replay_rank& rank = host.rank;
      if (rank.armed_version != 0 && rank.armed_step == step_) {
        rank.map_version = rank.armed_version;
        rank.experts = rank.prepared_experts;
        rank.armed_version = rank.armed_step = rank.prepared = 0;
        switched = true;
      }
    }
    for (const replay_host& host : hosts_) {
      result_.consistent =
          result_.consistent &&
          host.rank.map_version == hosts_.front().rank.map_version;
    }
    if (!switched) {
      return;
    }
    ++result_.changes;
    const double before = skew_;
    UpdateSkew();
    if (stages_ != nullptr &&
        stages_->version == hosts_.front().rank.map_version) {
      stages_->in_force_us = now_us_ - shift_us_;
      stages_->skew_before = before;
      stages_->skew_after = skew_;
    }
    NoteFit();
  }

  void NoteFit() {
    if (stages_ != nullptr && stages_->fitting_us < 0 &&
        skew_ <= kFittingSkew) {
      stages_->fitting_us = now_us_ - shift_us_;
    }
  }

  double Slowest() const {
    double slowest = 1;
    for (const replay_host& host : hosts_) {
      slowest = std::max(slowest, host.rank.pace);
    }
    return slowest;
  }

  void SetPace(double pace) {
    hosts_.back().rank.pace = pace;
    UpdateSkew();
  }

  /** Mean over the sets of the most loaded rank's time over the mean. */
  void UpdateSkew() {
    const std::uint32_t experts = settings_.shape.experts;
    double sum = 0;
    for (std::uint32_t set = 0; set < settings_.shape.sets; ++set) {
      std::vector<double> replicas(experts);
      double total = 0;
      for (const replay_host& host : hosts_) {
        for (const std::uint16_t e : host.rank.experts[set]) {
          replicas[e] += 1;
        }
      }
      double most = 0;
      for (std::uint32_t e = 0; e < experts; ++e) {
        total += static_cast<double>(demand_.weights()[set * experts + e]);
      }
      for (const replay_host& host : hosts_) {
        double load = 0;
        for (const std::uint16_t e : host.rank.experts[set]) {
          load += static_cast<double>(demand_.weights()[set * experts + e]) /
                  replicas[e];
        }
        most = std::max(most, load * host.rank.pace);
      }
      sum += most / total * settings_.ranks;
    }
    skew_ = sum / settings_.shape.sets;
  }

  void Shift() {
    demand_.Shift();
    UpdateSkew();
    shift_us_ = now_us_;
    result_.shifts.push_back({});
    stages_ = &result_.shifts.back();
    NoteFit();
    After(settings_.shift_period_us, [this] { Shift(); });
  }

  const replay_settings settings_;
  std::mt19937 random_;
  demand_source demand_;
  std::vector<replay_host> hosts_;
  coordinator_state coordinator_;
  std::multimap<base::time_us, std::function<void()>> events_;
  base::time_us now_us_ = 0;
  replay_result result_;
  replay_stages* stages_ = nullptr;
  base::time_us shift_us_ = 0;
  base::time_us last_detected_us_ = 0;
  std::uint64_t change_version_ = 0;
  std::uint64_t step_ = 0;
  bool waiting_ = false;
  base::time_us waiting_since_us_ = 0;
  base::time_us copying_until_us_ = 0;
  std::vector<std::vector<std::uint32_t>> chosen_;
  double skew_ = 1;
  double skew_time_ = 0;
  double pass_time_ = 0;
  double bytes_in_ = 0;
  double bytes_out_ = 0;
  double cpu_s_ = 0;
};

/** The times at which a stage was reached, shortest first. */
std::vector<base::time_us> SortedTimes(const replay_result& result,
                                       base::time_us replay_stages::*stage) {
  std::vector<base::time_us> times;
  for (const replay_stages& one : result.shifts) {
    if (one.*stage >= 0) {
      times.push_back(one.*stage);
    }
  }
  std::ranges::sort(times);
  return times;
}

}  // namespace

replay_result Replay(const replay_settings& settings) {
  return world(settings).Run();
}

base::time_us MedianUs(const replay_result& result,
                       base::time_us replay_stages::*stage) {
  const std::vector<base::time_us> times = SortedTimes(result, stage);
  return times.empty() ? -1 : times[times.size() / 2];
}

base::time_us LongestUs(const replay_result& result,
                        base::time_us replay_stages::*stage) {
  const std::vector<base::time_us> times = SortedTimes(result, stage);
  return times.empty() ? -1 : times.back();
}

std::string Describe(const replay_settings& settings,
                     const replay_result& result) {
  std::ostringstream out;
  const auto stage = [&](const char* name, auto field) {
    const std::vector<base::time_us> times = SortedTimes(result, field);
    if (!times.empty()) {
      out << ' ' << name << ' ' << times[times.size() / 2] / 1'000 << '/'
          << times[times.size() * 9 / 10] / 1'000 << '/' << times.back() / 1'000
          << " (" << times.size() << ')';
    }
  };
  out << settings.ranks << " ranks, " << settings.shape.sets << " x "
      << settings.shape.experts << ", spare " << settings.shape.spare_slots
      << ", choices " << settings.choices << ", shift every "
      << settings.shift_period_us / 1'000 << " ms, " << result.shifts.size()
      << " shifts\n  ms median/p90/max (n):";
  stage("detected", &replay_stages::detected_us);
  stage("begun", &replay_stages::begun_us);
  stage("ordered", &replay_stages::ordered_us);
  stage("copied", &replay_stages::copied_us);
  stage("prepared", &replay_stages::prepared_us);
  stage("held", &replay_stages::held_us);
  stage("armed", &replay_stages::armed_us);
  stage("in_force", &replay_stages::in_force_us);
  stage("fitting", &replay_stages::fitting_us);
  double before = 0;
  double after = 0;
  int changed = 0;
  for (const replay_stages& one : result.shifts) {
    if (one.in_force_us >= 0) {
      before += one.skew_before;
      after += one.skew_after;
      ++changed;
    }
  }
  out << "\n  mean skew " << result.mean_skew << ", pass "
      << result.mean_pass_us / 1'000 << " ms, first change "
      << before / std::max(changed, 1) << " -> " << after / std::max(changed, 1)
      << ", changes " << result.changes << ", copies " << result.copies
      << ", false alarms " << result.false_alarms << ", held "
      << result.held_us / 1'000 << " ms, in "
      << result.coordinator_bytes_in_per_s / 1'000 << " out "
      << result.coordinator_bytes_out_per_s / 1'000 << " kB/s, cpu "
      << result.coordinator_cpu << '\n';
  return out.str();
}

}  // namespace wisteriaroute::coordinator
