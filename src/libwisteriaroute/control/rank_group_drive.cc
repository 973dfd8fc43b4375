#include "libwisteriaroute/control/rank_group_drive.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/control/sessions.h"
#include "libwisteriaroute/policy/expert_spread.h"

namespace wisteriaroute::control {

namespace {

// A rank that isn't heard of for this long can't be counted on.
constexpr base::time_us kStaleUs = 1'000'000;
// An order may get no answer and be carried out seconds later; a repeated one
// usually comes through.
constexpr base::time_us kOrderRetryUs = 150'000;
constexpr base::time_us kPrepareRetryUs = 400'000;
// The hold has to reach its rank before the step begins.
constexpr std::uint64_t kMinMarginSteps = 2;
constexpr std::uint64_t kMaxMarginSteps = 64;
// Versions of a leader begin at its term times this, so that no two leaders
// use the same one.
constexpr std::uint64_t kVersionsPerTerm = 1'000'000;
// Copying takes about 0.4 s for each expert of a rank; a change that isn't
// prepared well after that has lost its purpose.
constexpr base::time_us kPrepareLimitUs = 3'000'000;
constexpr base::time_us kCopyLimitUs = 1'000'000;
// A group without counts for this long runs no requests.
constexpr base::time_us kIdleUs = 1'000'000;
// Shortest time between two looks at the map; a look costs about a millisecond.
constexpr base::time_us kPlanPeriodUs = 200'000;
// A change in preparation is replaced if demand has left it this far behind.
constexpr double kStaleSkew = 0.8;
// Copies in one change: with more, copying takes longer than demand stays.
constexpr std::uint32_t kMaxCopiesPerRank = 1;

const engine_shapes& Shapes(replica_state& state) {
  leader_view& leader = *state.leading;
  if (!leader.shapes) {
    leader.shapes = ReadShapes(state.options.decode_traffic,
                               DocumentBody(state.durable.config));
  }
  return *leader.shapes;
}

struct driver {
  replica_state& state;
  const std::string& name;
  rank_group& group;
  const step_time& now;
  replica_effects& out;

  void Run() {
    if (!IsWhole() || !IsFenced()) {
      return;
    }
    if (!group.change) {
      Adopt();
    }
    if (group.change) {
      Advance();
    } else {
      Plan();
    }
  }

 private:
  /** All ranks are heard of, in the same formation, and the group runs. */
  bool IsWhole() const {
    if (group.ranks.empty() ||
        group.ranks.size() != group.ranks.begin()->second.status.ranks) {
      return false;
    }
    return std::ranges::all_of(group.ranks, [&](const auto& item) {
      const rank_view& one = item.second;
      return one.status.open && one.status.formation == group.formation &&
             now.now_us - one.heard_us <= kStaleUs;
    });
  }

  /** No order of an older term gets to a rank any more. */
  bool IsFenced() {
    const std::uint64_t term = state.leading->term;
    bool fenced = true;
    for (auto& [rank, one] : group.ranks) {
      if (one.status.term > term) {
        return false;
      }
      if (one.status.term < term) {
        fenced = false;
        if (now.now_us >= one.next_fence_us) {
          one.next_fence_us = now.now_us + kOrderRetryUs;
          out.push_back(send_to_links{
              {one.link},
              wire::rank_order{.kind = wire::rank_order_kind::kFence,
                               .term = term,
                               .formation = group.formation}});
        }
      }
    }
    return fenced;
  }

  template <typename Test>
  bool All(Test&& test) const {
    return std::ranges::all_of(group.ranks, [&](const auto& item) {
      return test(item.second.status);
    });
  }

  std::uint64_t HighestStep() const {
    std::uint64_t step = 0;
    for (const auto& [rank, one] : group.ranks) {
      step = std::max(step, one.status.step);
    }
    return step;
  }

  void Note(const char* kind, std::string detail) const {
    out.push_back(
        note_event{{.kind = kind, .group = name, .detail = std::move(detail)}});
  }

  void Enter(change_phase phase) {
    group.change->phase = phase;
    for (auto& [rank, one] : group.ranks) {
      one.next_order_us = 0;
    }
  }

  void Send(rank_view& to, wire::rank_order_kind kind, base::time_us retry_us) {
    if (now.now_us < to.next_order_us) {
      return;
    }
    to.next_order_us = now.now_us + retry_us;
    const rank_change& change = *group.change;
    wire::rank_order order{.kind = kind,
                           .term = state.leading->term,
                           .formation = group.formation,
                           .version = change.version,
                           .step = change.step};
    if (kind == wire::rank_order_kind::kPrepare) {
      order.placement = change.placement;
    }
    out.push_back(send_to_links{{to.link}, std::move(order)});
  }

  rank_view* Holder() {
    for (auto& [rank, one] : group.ranks) {
      if (one.status.held_step != 0) {
        return &one;
      }
    }
    return nullptr;
  }

  /** Goes on with what another leader left behind. */
  void Adopt() {
    const rank_view* holder = Holder();
    const auto armed = std::ranges::find_if(group.ranks, [](const auto& item) {
      return item.second.status.armed_version != 0;
    });
    if (holder == nullptr && armed == group.ranks.end()) {
      return;
    }
    if (armed != group.ranks.end()) {
      const wire::rank_status& status = armed->second.status;
      group.change = rank_change{.phase = change_phase::kReleasing,
                                 .version = status.armed_version,
                                 .step = status.armed_step,
                                 .since_us = now.now_us};
      if (All([&](const auto& one) { return IsArmed(one); })) {
        Note("map_change_adopted",
             "version " + std::to_string(group.change->version));
        Enter(change_phase::kReleasing);
        return;
      }
      group.change.reset();
    }
    const wire::expert_placement current = Current();
    if (current.empty()) {
      return;
    }
    group.change = rank_change{.version = NextVersion(),
                               .placement = current,
                               .forward_only = true,
                               .since_us = now.now_us};
    Enter(change_phase::kPreparing);
    Note("map_change_replaced",
         "version " + std::to_string(group.change->version));
  }

  /** Above all versions of the ranks, and never used by another leader. */
  std::uint64_t NextVersion() {
    group.last_version = std::max(group.last_version + 1,
                                  state.leading->term * kVersionsPerTerm);
    return group.last_version;
  }

  void Advance() {
    switch (group.change->phase) {
      case change_phase::kPreparing:
        Prepare();
        break;
      case change_phase::kHolding:
        Hold();
        break;
      case change_phase::kArming:
        Arm();
        break;
      case change_phase::kReleasing:
        Release();
        break;
    }
  }

  void Prepare() {
    const rank_change& change = *group.change;
    bool all = true;
    for (auto& [rank, one] : group.ranks) {
      if (one.status.armed_version != 0 &&
          one.status.armed_version != change.version) {
        all = false;
        Disarm(one);
      } else if (one.status.prepared_version != change.version) {
        all = false;
        Send(one, wire::rank_order_kind::kPrepare, kPrepareRetryUs);
      }
    }
    if (all) {
      group.change->margin_steps = kMinMarginSteps;
      BeginHold();
      return;
    }
    if (change.forward_only || Holder() != nullptr) {
      return;
    }
    if (IsStale()) {
      Note("map_change_outdated", "version " + std::to_string(change.version) +
                                      ": demand has shifted again");
      Plan();
    } else if (now.now_us > change.prepare_until_us) {
      Note("map_change_given_up", "not prepared in time");
      group.change.reset();
    }
  }

  void Disarm(rank_view& one) {
    if (now.now_us < one.next_order_us) {
      return;
    }
    one.next_order_us = now.now_us + kOrderRetryUs;
    out.push_back(
        send_to_links{{one.link},
                      wire::rank_order{.kind = wire::rank_order_kind::kDisarm,
                                       .term = state.leading->term,
                                       .formation = group.formation,
                                       .version = one.status.armed_version}});
  }

  /** Whether demand has shifted again, away from what is being prepared. */
  bool IsStale() {
    const config::engine_shape* shape = Shape();
    if (shape == nullptr || group.change->placement.empty()) {
      return false;
    }
    const bool shifted = group.demand.shift_us != 0;
    const auto demand = Demand(*shape);
    if (!demand || (now.now_us < group.next_plan_us && !shifted)) {
      return false;
    }
    group.next_plan_us = now.now_us + kPlanPeriodUs;
    const double skew =
        policy::MeanSkew(group.change->placement, *demand,
                         static_cast<std::uint32_t>(shape->experts));
    return skew >= group.change->planned_skew + kStaleSkew;
  }

  /** Shape of the group's engines, or null if it isn't known. */
  const config::engine_shape* Shape() const {
    const engine_shapes& shapes = Shapes(state);
    const auto found = shapes.find(group.service);
    return found == shapes.end() ? nullptr : &found->second;
  }

  std::optional<std::vector<std::uint64_t>> Demand(
      const config::engine_shape& shape) const {
    return policy::SettledDemand(
        group.demand, static_cast<std::uint32_t>(group.ranks.size()),
        static_cast<std::uint32_t>(shape.experts), now.now_us);
  }

  void BeginHold() {
    group.change->step = HighestStep() + group.change->margin_steps;
    Enter(change_phase::kHolding);
    Hold();
  }

  void Hold() {
    // A hold that an earlier leader ordered may be carried out late. It blocks
    // the group as well as one's own, and all ranks are prepared by now.
    const rank_view* held = Holder();
    if (held != nullptr) {
      group.change->step = held->status.held_step;
      Enter(change_phase::kArming);
      Arm();
    } else if (HighestStep() >= group.change->step) {
      // The hold came too late; it can't be carried out any more.
      group.change->margin_steps =
          std::min(group.change->margin_steps * 2, kMaxMarginSteps);
      BeginHold();
    } else {
      Send(group.ranks.begin()->second, wire::rank_order_kind::kHold,
           kOrderRetryUs);
    }
  }

  bool IsArmed(const wire::rank_status& status) const {
    return (status.armed_version == group.change->version &&
            status.armed_step == group.change->step) ||
           status.map_version == group.change->version;
  }

  /**
   * Releases a hold at an earlier step, which was ordered before and carried
   * out late. No rank is armed for it: that takes a hold that was seen.
   */
  void ReleaseStray() {
    for (auto& [rank, one] : group.ranks) {
      const std::uint64_t held = one.status.held_step;
      if (held == 0 || held >= group.change->step ||
          now.now_us < one.next_stray_us) {
        continue;
      }
      one.next_stray_us = now.now_us + kOrderRetryUs;
      Note("stray_hold", "step " + std::to_string(held));
      out.push_back(send_to_links{
          {one.link},
          wire::rank_order{.kind = wire::rank_order_kind::kRelease,
                           .term = state.leading->term,
                           .formation = group.formation,
                           .step = held}});
    }
  }

  void Arm() {
    ReleaseStray();
    bool all = true;
    for (auto& [rank, one] : group.ranks) {
      if (!IsArmed(one.status)) {
        all = false;
        Send(one, wire::rank_order_kind::kArm, kOrderRetryUs);
      }
    }
    if (all) {
      Enter(change_phase::kReleasing);
      Release();
    }
  }

  void Release() {
    ReleaseStray();
    for (auto& [rank, one] : group.ranks) {
      if (one.status.held_step == group.change->step) {
        Send(one, wire::rank_order_kind::kRelease, kOrderRetryUs);
      }
    }
    if (All([&](const auto& status) {
          return status.map_version == group.change->version;
        })) {
      Note("map_change_ended",
           "version " + std::to_string(group.change->version) + " after " +
               std::to_string((now.now_us - group.change->since_us) / 1'000) +
               " ms");
      group.change.reset();
    }
  }

  /** The placement in use; empty while a rank's part isn't known. */
  wire::expert_placement Current() const {
    wire::expert_placement placement;
    const std::uint64_t version =
        group.ranks.begin()->second.status.map_version;
    for (const auto& [rank, one] : group.ranks) {
      if (one.status.map_version != version || one.experts_version != version) {
        return {};
      }
      placement.resize(std::max(placement.size(), one.experts.size()));
      for (std::size_t set = 0; set < one.experts.size(); ++set) {
        placement[set].push_back(one.experts[set]);
      }
    }
    return placement;
  }

  void Plan() {
    const config::engine_shape* shape = Shape();
    if (shape == nullptr) {
      return;
    }
    if (IsIdle()) {
      PlanForIdle(*shape);
      return;
    }
    const bool shifted = group.demand.shift_us != 0;
    const auto demand = Demand(*shape);
    // What follows a shift is planned for as soon as it is known.
    if (now.now_us < group.next_plan_us && !shifted) {
      return;
    }
    const wire::expert_placement current =
        demand ? Current() : wire::expert_placement();
    if (current.empty()) {
      return;
    }
    group.next_plan_us = now.now_us + kPlanPeriodUs;
    const auto change = policy::PlanSpread(
        current, *demand,
        {.experts = static_cast<std::uint32_t>(shape->experts),
         .slots_per_rank = static_cast<std::uint32_t>(shape->expert_slots),
         .max_copies_per_rank =
             std::min(kMaxCopiesPerRank,
                      static_cast<std::uint32_t>(shape->spare_slots))});
    if (change) {
      Begin(*change);
    }
  }

  /** Whether no requests have run for a while. */
  bool IsIdle() const { return now.now_us - group.active_us > kIdleUs; }

  /** Copies ahead while that delays nobody. */
  void PlanForIdle(const config::engine_shape& shape) {
    if (now.now_us < group.next_plan_us) {
      return;
    }
    group.next_plan_us = now.now_us + kPlanPeriodUs;
    const wire::expert_placement current = Current();
    if (current.empty()) {
      return;
    }
    const auto change = policy::PlanHedge(
        current,
        {.experts = static_cast<std::uint32_t>(shape.experts),
         .slots_per_rank = static_cast<std::uint32_t>(shape.expert_slots),
         .max_copies_per_rank = static_cast<std::uint32_t>(shape.spare_slots)});
    if (change) {
      Begin(*change);
    }
  }

  void Begin(const policy::spread_change& planned) {
    const auto copies_per_rank = static_cast<base::time_us>(
        (planned.copies + group.ranks.size() - 1) / group.ranks.size());
    group.change =
        rank_change{.version = NextVersion(),
                    .placement = planned.placement,
                    .planned_skew = planned.skew_after,
                    .since_us = now.now_us,
                    .prepare_until_us = now.now_us + kPrepareLimitUs +
                                        copies_per_rank * kCopyLimitUs};
    Enter(change_phase::kPreparing);
    Note("map_change_begun",
         "version " + std::to_string(group.change->version) + " copies " +
             std::to_string(planned.copies) + " skew " +
             std::to_string(planned.skew_before) + " to " +
             std::to_string(planned.skew_after));
    Prepare();
  }
};

}  // namespace

void HandleRankStatus(replica_state& state,
                      net::link_id link,
                      const wire::rank_status& status,
                      const step_time& now,
                      replica_effects& out) {
  if (status.group.empty() || status.rank >= status.ranks) {
    return;
  }
  rank_group& group = state.leading->rank_groups[status.group];
  group.service = status.service;
  if (status.formation > group.formation) {
    // Nothing of the formation before is left on any rank.
    group = {.service = status.service,
             .formation = status.formation,
             .active_us = now.now_us};
  } else if (status.formation < group.formation) {
    return;
  }
  rank_view& one = group.ranks[status.rank];
  one.link = link;
  one.heard_us = now.now_us;
  one.status = status;
  if (!status.experts.empty()) {
    one.experts = status.experts;
    one.experts_version = status.map_version;
  }
  group.last_version =
      std::max({group.last_version, status.map_version, status.prepared_version,
                status.armed_version});
  if (policy::NoteCounts(group.demand, status.rank, status.expert_tokens,
                         now.now_us)) {
    group.active_us = now.now_us;
  }
  one.status.expert_tokens.clear();
  one.status.experts.clear();
  if (group.change) {
    driver{state, status.group, group, now, out}.Run();
  }
}

void DriveRankGroups(replica_state& state,
                     const step_time& now,
                     replica_effects& out) {
  for (auto& [name, group] : state.leading->rank_groups) {
    driver{state, name, group, now, out}.Run();
  }
}

engine_shapes ReadShapes(const traffic_decoder& decode,
                         std::string_view document) {
  engine_shapes shapes;
  base::findings ignored;
  const auto set =
      decode ? decode(document, ignored) : std::optional<config::traffic_set>();
  if (!set) {
    return shapes;
  }
  for (const config::traffic_service& one : set->services) {
    if (one.engine && one.engine->expert_sets > 0) {
      shapes[one.name] = *one.engine;
    }
  }
  return shapes;
}

}  // namespace wisteriaroute::control
