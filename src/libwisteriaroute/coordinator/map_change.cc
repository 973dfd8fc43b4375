#include "libwisteriaroute/coordinator/map_change.h"

#include <algorithm>
#include <span>
#include <utility>

#include "libwisteriaroute/coordinator/change_details.h"
#include "libwisteriaroute/policy/expert_spread.h"
#include "libwisteriaroute/wire/placement_edits.h"

namespace wisteriaroute::coordinator {

namespace {

// No orders are sent while the last status of any rank is older than this,
// because such a rank may be unreachable.
constexpr base::time_us kStatusTimeoutUs = 1'000'000;
// Interval at which orders are resent. An order may get no answer and be
// carried out seconds later, while a repeated one usually succeeds.
constexpr base::time_us kOrderRetryUs = 150'000;
constexpr base::time_us kPrepareRetryUs = 400'000;
// The versions of a coordinator start at its term times this, which prevents
// two coordinators from using the same version.
constexpr std::uint64_t kVersionsPerTerm = 1'000'000;
// Time limit of the preparation, in addition to kCopyTimeFactor times the
// estimated copy time. A change that takes longer is abandoned, since it comes
// too late to be useful.
constexpr base::time_us kPrepareTimeoutUs = 3'000'000;
constexpr std::uint64_t kCopyTimeFactor = 3;
// A group that reports no tokens for this long is idle.
constexpr base::time_us kIdleUs = 1'000'000;
// Minimum time between planning runs; each takes about a millisecond.
constexpr base::time_us kPlanPeriodUs = 200'000;
// A change that is planned within this time follows the last shift.
constexpr base::time_us kShiftFollowedUs = 1'000'000;
// Least gain of the change that completes the first one after a shift.
constexpr double kCompletionGain = 0.12;
// A change in preparation is outdated if its mean skew under the current demand
// exceeds the planned skew by this much.
constexpr double kOutdatedSkewExcess = 0.8;

struct driver {
  coordinator_state& state;
  base::time_us now_us;
  coordinator_effects& out;
  rank_group& group = state.group;

  void Run() {
    if (!AllRanksReporting() || !IsFenced()) {
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
  /**
   * Whether all ranks of the formation have reported within kStatusTimeoutUs
   * and the group is running.
   */
  bool AllRanksReporting() const {
    if (group.ranks.empty() ||
        group.ranks.size() != group.ranks.begin()->second.status.ranks) {
      return false;
    }
    return std::ranges::all_of(group.ranks, [&](const auto& item) {
      const rank_view& view = item.second;
      return view.status.group_running &&
             view.status.formation == group.formation &&
             now_us - view.last_status_us <= kStatusTimeoutUs;
    });
  }

  /**
   * Whether the sidecars of all ranks refuse orders of older terms. Sends fence
   * orders to those that don't. False if a rank knows a newer term.
   */
  bool IsFenced() {
    bool fenced = true;
    std::vector<net::link_id> links;
    for (auto& [rank, view] : group.ranks) {
      if (view.status.term > state.term) {
        return false;
      }
      if (view.status.term < state.term) {
        fenced = false;
        if (now_us >= view.next_fence_us) {
          view.next_fence_us = now_us + kOrderRetryUs;
          links.push_back(view.link);
        }
      }
    }
    SendOrder(std::move(links), {.kind = wire::rank_order_kind::kFence});
    return fenced;
  }

  /** Sends an order with the current term and formation to `links`. */
  void SendOrder(std::vector<net::link_id> links, wire::rank_order order) {
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
    for (const auto& [rank, view] : group.ranks) {
      step = std::max(step, view.status.step);
    }
    return step;
  }

  void Log(const char* kind, std::string detail) const {
    out.push_back(log_event{
        .kind = kind, .group = state.group_name, .detail = std::move(detail)});
  }

  void EnterPhase(change_phase phase) {
    group.change->phase = phase;
    for (auto& [rank, view] : group.ranks) {
      view.next_order_us = 0;
    }
  }

  /** Sends an order of the change to the `ranks` that are due for it. */
  void SendDueOrders(std::span<rank_view* const> ranks,
                     wire::rank_order_kind kind,
                     base::time_us retry_us) {
    std::vector<net::link_id> links;
    std::vector<net::link_id> links_with_base;
    const rank_map_change& change = *group.change;
    for (rank_view* const view : ranks) {
      if (now_us >= view->next_order_us) {
        view->next_order_us = now_us + retry_us;
        const bool has_base =
            kind == wire::rank_order_kind::kPrepare &&
            change.base_version != 0 &&
            view->status.placement_version == change.base_version;
        (has_base ? links_with_base : links).push_back(view->link);
      }
    }
    wire::rank_order order{
        .kind = kind, .version = change.version, .step = change.step};
    if (!links_with_base.empty()) {
      wire::rank_order short_order = order;
      short_order.base_version = change.base_version;
      short_order.edits = change.edits;
      short_order.placement_digest = change.placement_digest;
      SendOrder(std::move(links_with_base), std::move(short_order));
    }
    if (kind == wire::rank_order_kind::kPrepare && !links.empty()) {
      order.placement = change.placement;
    }
    SendOrder(std::move(links), std::move(order));
  }

  /** Sets the placement of the change, and the edits that lead to it. */
  void SetPlacement(const wire::expert_placement& current,
                    wire::expert_placement placement) {
    rank_map_change& change = *group.change;
    change.base_version = group.ranks.begin()->second.status.map_version;
    change.edits = wire::DiffPlacement(current, placement);
    change.placement_digest = wire::PlacementDigest(placement);
    change.placement = std::move(placement);
  }

  /**
   * The highest step that a rank holds; 0: none does. An order to release it
   * can't be under way: a coordinator releases a step only if all ranks are
   * armed for it, or if a later one is held, which stays held until it begins.
   */
  std::uint64_t HighestHeldStep() const {
    std::uint64_t step = 0;
    for (const auto& [rank, view] : group.ranks) {
      step = std::max(step, view.status.held_step);
    }
    return step;
  }

  /** The status of a rank that is armed; null: none is. */
  const wire::rank_status* FindArmedStatus() const {
    const auto armed = std::ranges::find_if(group.ranks, [](const auto& item) {
      return item.second.status.armed_version != 0;
    });
    return armed == group.ranks.end() ? nullptr : &armed->second.status;
  }

  /**
   * Whether it is certain that not all ranks will be armed for `version`: one
   * of them has prepared a later one and refuses to be armed for this one, no
   * matter which orders are still under way.
   */
  bool IsVoid(std::uint64_t version) const {
    return std::ranges::any_of(group.ranks, [&](const auto& item) {
      const wire::rank_status& status = item.second.status;
      return status.prepared_version > version || status.map_version > version;
    });
  }

  /**
   * Takes over a change that another coordinator left unfinished. Completes it
   * if all ranks are armed; otherwise replaces it by a change with a new
   * version that keeps the current placement.
   */
  void Adopt() {
    if (ReleaseIfAllArmed() ||
        (FindArmedStatus() == nullptr && HighestHeldStep() == 0)) {
      return;
    }
    const wire::expert_placement current = CurrentPlacement();
    if (current.empty()) {
      return;
    }
    group.change = rank_map_change{
        .version = NextVersion(), .forward_only = true, .started_us = now_us};
    SetPlacement(current, current);
    EnterPhase(change_phase::kPreparing);
    Log("map_change_replaced",
        "version " + std::to_string(group.change->version));
  }

  /**
   * Releases the step of another coordinator's change if all ranks are armed
   * for it. They stay so: ranks are disarmed only of void versions.
   */
  bool ReleaseIfAllArmed() {
    const wire::rank_status* armed = FindArmedStatus();
    if (armed == nullptr || !All([&](const auto& status) {
          return IsArmed(status, armed->armed_version, armed->armed_step);
        })) {
      return false;
    }
    group.change = rank_map_change{.version = armed->armed_version,
                                   .step = armed->armed_step,
                                   .started_us = now_us};
    Log("map_change_adopted",
        "version " + std::to_string(group.change->version));
    EnterPhase(change_phase::kReleasing);
    return true;
  }

  /** A version above all reported ones, which no other coordinator uses. */
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
    const rank_map_change& change = *group.change;
    // An earlier coordinator's orders to arm may have been carried out late.
    if (ReleaseIfAllArmed()) {
      return;
    }
    bool all = true;
    std::vector<rank_view*> unprepared;
    for (auto& [rank, view] : group.ranks) {
      if (view.status.armed_version != 0) {
        all = false;
        // Until another rank has prepared this change, all ranks may yet be
        // armed for the other one, and its step be released.
        if (IsVoid(view.status.armed_version)) {
          Disarm(view);
        }
      } else if (view.status.prepared_version != change.version) {
        unprepared.push_back(&view);
      }
    }
    SortByCopies(unprepared, group.change->edits);
    SendDueOrders(unprepared, wire::rank_order_kind::kPrepare, kPrepareRetryUs);
    if (all && unprepared.empty()) {
      group.change->prepared_us = now_us;
      BeginHold();
      return;
    }
    if (change.forward_only || HighestHeldStep() != 0) {
      return;
    }
    if (IsOutdated()) {
      Log("map_change_outdated", "version " + std::to_string(change.version) +
                                     ": demand has shifted again");
      Plan();
    } else if (now_us > change.prepare_deadline_us) {
      Log("map_change_given_up", "not prepared in time");
      group.change.reset();
    }
  }

  void Disarm(rank_view& view) {
    if (now_us < view.next_order_us) {
      return;
    }
    view.next_order_us = now_us + kOrderRetryUs;
    SendOrder({view.link}, {.kind = wire::rank_order_kind::kDisarm,
                            .version = view.status.armed_version});
  }

  /** Whether demand has shifted away from the placement in preparation. */
  bool IsOutdated() {
    if (!state.shape || group.change->placement.empty()) {
      return false;
    }
    if (now_us < group.next_plan_us && group.demand.shift_detected_us == 0) {
      return false;
    }
    const auto demand = Demand();
    if (!demand) {
      return false;
    }
    group.next_plan_us = now_us + kPlanPeriodUs;
    const double skew = policy::MeanSkew(group.change->placement, *demand,
                                         state.shape->experts, Speeds());
    return skew >= group.change->planned_skew + kOutdatedSkewExcess;
  }

  std::optional<std::vector<std::uint64_t>> Demand() {
    return policy::SettledDemand(
        group.demand, static_cast<std::uint32_t>(group.ranks.size()), now_us);
  }

  /** Speeds of the ranks for planning. */
  std::vector<double> Speeds() const {
    std::vector<double> speeds;
    for (const auto& [rank, view] : group.ranks) {
      speeds.push_back(1 / view.pace.planned);
    }
    return speeds;
  }

  void BeginHold() {
    group.change->step = HighestStep() + MarginSteps(group.clock, now_us);
    EnterPhase(change_phase::kHolding);
    Hold();
  }

  void Hold() {
    // The hold may be a late one of an earlier coordinator. It blocks the group
    // in the same way and can be used, since all ranks are prepared here.
    if (const std::uint64_t held_step = HighestHeldStep(); held_step != 0) {
      group.change->step = held_step;
      group.change->held_us = now_us;
      EnterPhase(change_phase::kArming);
      Arm();
    } else if (HighestStep() >= group.change->step) {
      // The step has begun, so an order to hold it has no effect any more.
      NoteLateHold(group.clock);
      BeginHold();
    } else {
      rank_view* const rank_to_hold = ChooseRankToHold();
      SendDueOrders(std::span(&rank_to_hold, 1), wire::rank_order_kind::kHold,
                    kOrderRetryUs);
    }
  }

  /** Prefers the rank on this host, since orders to it need no link. */
  rank_view* ChooseRankToHold() {
    for (auto& [rank, view] : group.ranks) {
      if (view.link == kLocalLink) {
        return &view;
      }
    }
    return &group.ranks.begin()->second;
  }

  static bool IsArmed(const wire::rank_status& status,
                      std::uint64_t version,
                      std::uint64_t step) {
    return (status.armed_version == version && status.armed_step == step) ||
           status.map_version == version;
  }

  /**
   * Releases holds at earlier steps, which were ordered previously and carried
   * out late. No rank is armed for these steps: ranks are armed only after the
   * hold at their step has been reported.
   */
  void ReleaseStray() {
    for (auto& [rank, view] : group.ranks) {
      const std::uint64_t held = view.status.held_step;
      if (held == 0 || held >= group.change->step ||
          now_us < view.next_stray_release_us) {
        continue;
      }
      view.next_stray_release_us = now_us + kOrderRetryUs;
      Log("stray_hold", "step " + std::to_string(held));
      SendOrder({view.link},
                {.kind = wire::rank_order_kind::kRelease, .step = held});
    }
  }

  void Arm() {
    ReleaseStray();
    std::vector<rank_view*> unarmed;
    for (auto& [rank, view] : group.ranks) {
      if (!IsArmed(view.status, group.change->version, group.change->step)) {
        unarmed.push_back(&view);
      }
    }
    SendDueOrders(unarmed, wire::rank_order_kind::kArm, kOrderRetryUs);
    if (unarmed.empty()) {
      group.change->armed_us = now_us;
      NoteArming(group.clock, now_us - group.change->prepared_us);
      EnterPhase(change_phase::kReleasing);
      Release();
    }
  }

  void Release() {
    ReleaseStray();
    std::vector<rank_view*> holding;
    for (auto& [rank, view] : group.ranks) {
      if (view.status.held_step == group.change->step) {
        holding.push_back(&view);
      }
    }
    SendDueOrders(holding, wire::rank_order_kind::kRelease, kOrderRetryUs);
    if (All([&](const auto& status) {
          return status.map_version == group.change->version;
        })) {
      out.push_back(EndedEvent(state.group_name, *group.change, now_us));
      group.may_complete = group.change->shift_us != 0 && !group.may_complete;
      group.next_plan_us = now_us;
      group.change.reset();
    }
  }

  /**
   * The placement in use; empty if the ranks have different map versions or the
   * experts of a rank aren't known for this version.
   */
  wire::expert_placement CurrentPlacement() const {
    wire::expert_placement placement;
    const std::uint64_t version =
        group.ranks.begin()->second.status.map_version;
    for (const auto& [rank, view] : group.ranks) {
      if (view.status.map_version != version ||
          view.experts_version != version) {
        return {};
      }
      placement.resize(std::max(placement.size(), view.experts.size()));
      for (std::size_t set = 0; set < view.experts.size(); ++set) {
        placement[set].push_back(view.experts[set]);
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
    // After a shift, a change is planned as soon as the new demand is known.
    if (now_us < group.next_plan_us && group.demand.shift_detected_us == 0) {
      return;
    }
    const auto demand = Demand();
    const wire::expert_placement current =
        demand ? CurrentPlacement() : wire::expert_placement();
    if (current.empty()) {
      return;
    }
    group.next_plan_us = now_us + kPlanPeriodUs;
    policy::spread_limits limits = Limits(policy::CopiesPerRank(*state.shape));
    if (group.may_complete) {
      limits.min_gain = kCompletionGain;
    }
    if (const auto change = policy::PlanSpread(current, *demand, limits)) {
      BeginChange(*change, current);
    }
  }

  policy::spread_limits Limits(std::uint32_t copies) const {
    return {.experts = state.shape->experts,
            .slots_per_rank = state.shape->slots,
            .max_copies_per_rank = copies,
            .max_copies_per_set = state.shape->spare_slots,
            .speed = Speeds()};
  }

  /** Whether the group has run no requests for kIdleUs. */
  bool IsIdle() const { return now_us - group.last_active_us > kIdleUs; }

  /** Replicates experts in advance, while copying delays no requests. */
  void PlanForIdle() {
    if (now_us < group.next_plan_us) {
      return;
    }
    group.next_plan_us = now_us + kPlanPeriodUs;
    const wire::expert_placement current = CurrentPlacement();
    if (current.empty()) {
      return;
    }
    if (const auto change = policy::PlanIdleReplication(
            current, Limits(state.shape->spare_slots))) {
      BeginChange(*change, current);
    }
  }

  void BeginChange(const policy::spread_change& planned,
                   const wire::expert_placement& current) {
    const std::uint64_t copies_per_rank =
        (planned.copies + group.ranks.size() - 1) / group.ranks.size();
    const auto copy_limit_us = static_cast<base::time_us>(
        kCopyTimeFactor * copies_per_rank * state.shape->copy_us);
    group.change = rank_map_change{
        .version = NextVersion(),
        .planned_skew = planned.skew_after,
        .started_us = now_us,
        .copies = planned.copies,
        .skew_before = planned.skew_before,
        .shift_us = now_us - group.demand.last_shift_us <= kShiftFollowedUs
                        ? group.demand.last_shift_us
                        : 0,
        .prepare_deadline_us = now_us + kPrepareTimeoutUs + copy_limit_us};
    SetPlacement(current, planned.placement);
    EnterPhase(change_phase::kPreparing);
    Log("map_change_begun", "version " + std::to_string(group.change->version) +
                                " copies " + std::to_string(planned.copies) +
                                " skew " + std::to_string(planned.skew_before) +
                                " to " + std::to_string(planned.skew_after));
    Prepare();
  }
};

}  // namespace

void AdvanceMapChange(coordinator_state& state,
                      base::time_us now_us,
                      coordinator_effects& out) {
  driver{state, now_us, out}.Run();
}

}  // namespace wisteriaroute::coordinator
