#include "libwisteriaroute/coordinator/map_drive.h"

#include <algorithm>
#include <span>
#include <utility>

#include "libwisteriaroute/policy/expert_spread.h"

namespace wisteriaroute::coordinator {

namespace {

// A rank that isn't heard of for this long can't be counted on.
constexpr base::time_us kStaleUs = 1'000'000;
// An order may get no answer and be carried out seconds later; a repeated one
// usually comes through.
constexpr base::time_us kOrderRetryUs = 150'000;
constexpr base::time_us kPrepareRetryUs = 400'000;
constexpr std::uint64_t kMaxMarginSteps = 64;
// A margin that leaves this many steps once all ranks are armed is too large.
constexpr std::uint64_t kSpareSteps = 3;
// Versions of a coordinator begin at its term times this, so that no two
// coordinators use the same one.
constexpr std::uint64_t kVersionsPerTerm = 1'000'000;
// A change that isn't prepared well after its copies had time has lost its
// purpose.
constexpr base::time_us kPrepareLimitUs = 3'000'000;
constexpr std::uint64_t kCopyTimeFactor = 3;
// A group without counts for this long runs no requests.
constexpr base::time_us kIdleUs = 1'000'000;
// Shortest time between two looks at the map; a look costs about a millisecond.
constexpr base::time_us kPlanPeriodUs = 200'000;
// A change in preparation is replaced if demand has left it this far behind.
constexpr double kStaleSkew = 0.8;
struct driver {
  coordinator_state& state;
  base::time_us now_us;
  coordinator_effects& out;
  rank_group& group = state.group;

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
      return one.status.group_running &&
             one.status.formation == group.formation &&
             now_us - one.heard_us <= kStaleUs;
    });
  }

  /** No order of an older term gets to a rank any more. */
  bool IsFenced() {
    bool fenced = true;
    std::vector<net::link_id> links;
    for (auto& [rank, one] : group.ranks) {
      if (one.status.term > state.term) {
        return false;
      }
      if (one.status.term < state.term) {
        fenced = false;
        if (now_us >= one.next_fence_us) {
          one.next_fence_us = now_us + kOrderRetryUs;
          links.push_back(one.link);
        }
      }
    }
    Order(std::move(links), {.kind = wire::rank_order_kind::kFence});
    return fenced;
  }

  /** Sends an order of this term and formation, if there is anyone to. */
  void Order(std::vector<net::link_id> links, wire::rank_order order) {
    if (links.empty()) {
      return;
    }
    order.term = state.term;
    order.formation = group.formation;
    out.push_back(send_order{std::move(links), std::move(order)});
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
    out.push_back(note_change{
        .kind = kind, .group = state.name, .detail = std::move(detail)});
  }

  void Enter(change_phase phase) {
    group.change->phase = phase;
    for (auto& [rank, one] : group.ranks) {
      one.next_order_us = 0;
    }
  }

  /** Sends the change's order to those among `ranks` that are due. */
  void Send(std::span<rank_view* const> ranks,
            wire::rank_order_kind kind,
            base::time_us retry_us) {
    std::vector<net::link_id> links;
    for (rank_view* const one : ranks) {
      if (now_us >= one->next_order_us) {
        one->next_order_us = now_us + retry_us;
        links.push_back(one->link);
      }
    }
    const rank_change& change = *group.change;
    wire::rank_order order{
        .kind = kind, .version = change.version, .step = change.step};
    if (kind == wire::rank_order_kind::kPrepare && !links.empty()) {
      order.placement = change.placement;
    }
    Order(std::move(links), std::move(order));
  }

  rank_view* Holder() {
    for (auto& [rank, one] : group.ranks) {
      if (one.status.held_step != 0) {
        return &one;
      }
    }
    return nullptr;
  }

  /** Goes on with what another coordinator left behind. */
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
                                 .since_us = now_us};
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
                               .since_us = now_us};
    Enter(change_phase::kPreparing);
    Note("map_change_replaced",
         "version " + std::to_string(group.change->version));
  }

  /** Above all versions of the ranks, and never used by another one. */
  std::uint64_t NextVersion() {
    group.last_version =
        std::max(group.last_version + 1, state.term * kVersionsPerTerm);
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
    std::vector<rank_view*> unprepared;
    for (auto& [rank, one] : group.ranks) {
      if (one.status.armed_version != 0 &&
          one.status.armed_version != change.version) {
        all = false;
        Disarm(one);
      } else if (one.status.prepared_version != change.version) {
        unprepared.push_back(&one);
      }
    }
    Send(unprepared, wire::rank_order_kind::kPrepare, kPrepareRetryUs);
    if (all && unprepared.empty()) {
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
    } else if (now_us > change.prepare_until_us) {
      Note("map_change_given_up", "not prepared in time");
      group.change.reset();
    }
  }

  void Disarm(rank_view& one) {
    if (now_us < one.next_order_us) {
      return;
    }
    one.next_order_us = now_us + kOrderRetryUs;
    Order({one.link}, {.kind = wire::rank_order_kind::kDisarm,
                       .version = one.status.armed_version});
  }

  /** Whether demand has shifted again, away from what is being prepared. */
  bool IsStale() {
    if (!state.shape || group.change->placement.empty()) {
      return false;
    }
    const bool shifted = group.demand.shift_us != 0;
    const auto demand = Demand();
    if (!demand || (now_us < group.next_plan_us && !shifted)) {
      return false;
    }
    group.next_plan_us = now_us + kPlanPeriodUs;
    const double skew = policy::MeanSkew(group.change->placement, *demand,
                                         state.shape->experts);
    return skew >= group.change->planned_skew + kStaleSkew;
  }

  std::optional<std::vector<std::uint64_t>> Demand() {
    return policy::SettledDemand(group.demand,
                                 static_cast<std::uint32_t>(group.ranks.size()),
                                 state.shape->experts, now_us);
  }

  void BeginHold() {
    group.change->step = HighestStep() + group.margin_steps;
    Enter(change_phase::kHolding);
    Hold();
  }

  void Hold() {
    // A hold that an earlier coordinator ordered may be carried out late. It
    // blocks the group as well as one's own, and all ranks are prepared by now.
    const rank_view* held = Holder();
    if (held != nullptr) {
      group.change->step = held->status.held_step;
      Enter(change_phase::kArming);
      Arm();
    } else if (HighestStep() >= group.change->step) {
      // The hold came too late; it can't be carried out any more.
      group.margin_steps = std::min(group.margin_steps * 2, kMaxMarginSteps);
      BeginHold();
    } else {
      rank_view* const keeper = Keeper();
      Send(std::span(&keeper, 1), wire::rank_order_kind::kHold, kOrderRetryUs);
    }
  }

  /** The rank that keeps the hold: our own, which no link is needed for. */
  rank_view* Keeper() {
    for (auto& [rank, one] : group.ranks) {
      if (one.link == kOwnRank) {
        return &one;
      }
    }
    return &group.ranks.begin()->second;
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
          now_us < one.next_stray_us) {
        continue;
      }
      one.next_stray_us = now_us + kOrderRetryUs;
      Note("stray_hold", "step " + std::to_string(held));
      Order({one.link},
            {.kind = wire::rank_order_kind::kRelease, .step = held});
    }
  }

  void Arm() {
    ReleaseStray();
    std::vector<rank_view*> unarmed;
    for (auto& [rank, one] : group.ranks) {
      if (!IsArmed(one.status)) {
        unarmed.push_back(&one);
      }
    }
    Send(unarmed, wire::rank_order_kind::kArm, kOrderRetryUs);
    if (unarmed.empty()) {
      AdaptMargin();
      Enter(change_phase::kReleasing);
      Release();
    }
  }

  /**
   * The ranks are armed while the group still runs towards the hold; with too
   * small a margin it stands there until all are.
   */
  void AdaptMargin() {
    const std::uint64_t next = HighestStep() + 1;
    if (next >= group.change->step) {
      group.margin_steps = std::min(group.margin_steps + 1, kMaxMarginSteps);
    } else if (group.change->step - next >= kSpareSteps) {
      group.margin_steps = std::max(group.margin_steps - 1, kMinMarginSteps);
    }
  }

  void Release() {
    ReleaseStray();
    std::vector<rank_view*> holding;
    for (auto& [rank, one] : group.ranks) {
      if (one.status.held_step == group.change->step) {
        holding.push_back(&one);
      }
    }
    Send(holding, wire::rank_order_kind::kRelease, kOrderRetryUs);
    if (All([&](const auto& status) {
          return status.map_version == group.change->version;
        })) {
      Note("map_change_ended",
           "version " + std::to_string(group.change->version) + " after " +
               std::to_string((now_us - group.change->since_us) / 1'000) +
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
    if (!state.shape) {
      return;
    }
    if (IsIdle()) {
      PlanForIdle();
      return;
    }
    const bool shifted = group.demand.shift_us != 0;
    const auto demand = Demand();
    // What follows a shift is planned for as soon as it is known.
    if (now_us < group.next_plan_us && !shifted) {
      return;
    }
    const wire::expert_placement current =
        demand ? Current() : wire::expert_placement();
    if (current.empty()) {
      return;
    }
    group.next_plan_us = now_us + kPlanPeriodUs;
    if (const auto change = policy::PlanSpread(
            current, *demand, Limits(policy::CopiesPerRank(*state.shape)))) {
      Begin(*change);
    }
  }

  policy::spread_limits Limits(std::uint32_t copies) const {
    return {.experts = state.shape->experts,
            .slots_per_rank = state.shape->slots,
            .max_copies_per_rank = copies,
            .max_copies_per_set = state.shape->spare_slots};
  }

  /** Whether no requests have run for a while. */
  bool IsIdle() const { return now_us - group.active_us > kIdleUs; }

  /** Copies ahead while that delays nobody. */
  void PlanForIdle() {
    if (now_us < group.next_plan_us) {
      return;
    }
    group.next_plan_us = now_us + kPlanPeriodUs;
    const wire::expert_placement current = Current();
    if (current.empty()) {
      return;
    }
    if (const auto change =
            policy::PlanHedge(current, Limits(state.shape->spare_slots))) {
      Begin(*change);
    }
  }

  void Begin(const policy::spread_change& planned) {
    const std::uint64_t copies_per_rank =
        (planned.copies + group.ranks.size() - 1) / group.ranks.size();
    const auto copy_limit_us = static_cast<base::time_us>(
        kCopyTimeFactor * copies_per_rank * state.shape->copy_us);
    group.change = rank_change{
        .version = NextVersion(),
        .placement = planned.placement,
        .planned_skew = planned.skew_after,
        .since_us = now_us,
        .prepare_until_us = now_us + kPrepareLimitUs + copy_limit_us};
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

void DriveMap(coordinator_state& state,
              base::time_us now_us,
              coordinator_effects& out) {
  driver{state, now_us, out}.Run();
}

}  // namespace wisteriaroute::coordinator
