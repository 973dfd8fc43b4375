#include "libwisteriaroute/control/group_controller.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "libwisteriaroute/control/proposals.h"
#include "libwisteriaroute/control/sessions.h"

namespace wisteriaroute::control {

namespace {

// The arm order must reach all ranks before the fastest one reaches the step
// that it names.
constexpr base::time_us kArmLeadUs = 500'000;
constexpr std::uint64_t kMinMarginSteps = 8;
constexpr std::uint64_t kMaxMarginSteps = 100'000;
// Minimum time between two attempts to form a group again after a rank failed,
// so that a group whose ranks can't carry out orders doesn't fill the log.
constexpr base::time_us kFormPeriodUs = 1'000'000;

/** The agent that currently serves a rank. */
struct rank_server {
  std::string agent;
  std::uint64_t incarnation = 0;
  net::link_id link = 0;
};

using rank_servers = std::vector<std::optional<rank_server>>;

bool IsAvailable(const replica_state& state,
                 const std::string& name,
                 const member_session& session) {
  return session.info.role == wire::member_role::kAgent &&
         session.info.backend.healthy && !session.info.leaving &&
         session.link != 0 && !state.durable.drained.contains(name);
}

using servers_by_group = std::map<std::string, rank_servers, std::less<>>;

/** Whether the replicated state assigns the rank to this server. */
bool HoldsRank(const replica_state& state,
               const std::string& group_name,
               std::uint32_t rank,
               const rank_server& server) {
  const auto found = state.durable.groups.groups.find(group_name);
  return found != state.durable.groups.groups.end() &&
         rank < found->second.ranks.size() &&
         found->second.ranks[rank] ==
             group_rank{server.agent, server.incarnation};
}

/**
 * Finds the servers of all ranks of all groups in one pass over the sessions.
 * If several servers report the same rank, the one that holds it is preferred.
 */
servers_by_group FindServers(replica_state& state) {
  servers_by_group servers;
  for (const auto& [name, group_config] : CurrentConfig(state).model_groups) {
    servers[name].resize(static_cast<std::size_t>(group_config.ranks));
  }
  if (servers.empty()) {
    return servers;
  }
  for (const auto& [name, session] : state.leadership->sessions) {
    const wire::backend_info& backend = session.info.backend;
    const auto group = servers.find(backend.group);
    if (group == servers.end() || backend.rank >= group->second.size() ||
        !IsAvailable(state, name, session)) {
      continue;
    }
    const rank_server server{name, backend.incarnation, session.link};
    auto& slot = group->second[backend.rank];
    if (!slot || HoldsRank(state, group->first, backend.rank, server)) {
      slot = server;
    }
  }
  return servers;
}

bool MatchesConfig(const group_state& group,
                   const config::model_group& group_config) {
  return group.ranks.size() == static_cast<std::size_t>(group_config.ranks) &&
         group.map.experts == group_config.experts &&
         group.map.layers == group_config.layers &&
         group.map.ranks == group_config.ranks &&
         group.map.slots_per_rank == group_config.slots_per_rank;
}

bool AllRanksServed(const rank_servers& servers) {
  return std::ranges::all_of(
      servers, [](const auto& server) { return server.has_value(); });
}

/**
 * Whether no rank is served by another backend server than the replicated state
 * assigns. Ranks without a server don't count as changed.
 */
bool ServersUnchanged(const group_state& group, const rank_servers& servers) {
  for (std::size_t rank = 0; rank < servers.size(); ++rank) {
    if (servers[rank] &&
        group.ranks[rank] !=
            group_rank{servers[rank]->agent, servers[rank]->incarnation}) {
      return false;
    }
  }
  return true;
}

struct group_controller {
  replica_state& state;
  const std::string& name;
  group_progress& progress;
  const step_time& now;
  replica_effects& out;

  template <typename Command>
  void ProposeNext(Command command) {
    out.push_back(record_event{{.kind = "group_command", .group = name}});
    progress.proposal_id =
        Propose(state, std::move(command), pending_group{name}, now, out);
  }

  void Form(const config::model_group& group_config,
            const rank_servers& servers) {
    form_group_command form{.group = name};
    const auto found = state.durable.groups.groups.find(name);
    if (found != state.durable.groups.groups.end()) {
      form.generation = found->second.generation;
    }
    ++form.generation;
    for (const auto& server : servers) {
      form.ranks.push_back({server->agent, server->incarnation});
    }
    if (found == state.durable.groups.groups.end() ||
        !MatchesConfig(found->second, group_config)) {
      form.map = EvenMap(group_config);
    }
    ProposeNext(std::move(form));
  }

  void SendOrders(const group_state& group, const rank_servers& servers) {
    if (now.now_us < progress.next_send_us) {
      return;
    }
    std::vector<net::link_id> links;
    for (std::uint32_t rank = 0; rank < servers.size(); ++rank) {
      if (servers[rank] && !progress.done_ranks.contains(rank)) {
        links.push_back(servers[rank]->link);
      }
    }
    if (!links.empty()) {
      out.push_back(send_to_links{
          std::move(links), PhaseOrder(name, group, state.leadership->term)});
      progress.next_send_us = now.now_us + state.options.order_retry_us;
    }
  }

  void ProposeArm(const group_state& group) {
    progress.margin_steps =
        std::clamp(progress.margin_steps, MinMarginSteps(), kMaxMarginSteps);
    ProposeNext(
        arm_map_command{.group = name,
                        .generation = group.generation,
                        .epoch = group.change->epoch,
                        .step = progress.highest_step + progress.margin_steps});
  }

  /** Steps that the fastest rank runs in kArmLeadUs, within the limits. */
  std::uint64_t MinMarginSteps() const {
    std::uint64_t steps = kMinMarginSteps;
    for (const auto& [rank, report] : progress.reports) {
      if (report.step_time_us > 0) {
        steps =
            std::max<std::uint64_t>(steps, kArmLeadUs / report.step_time_us);
      }
    }
    return std::min(steps, kMaxMarginSteps);
  }

  void ProposeDecision(const group_state& group, bool commit, bool retry) {
    ProposeNext(decide_map_command{.group = name,
                                   .generation = group.generation,
                                   .epoch = group.change->epoch,
                                   .step = group.step,
                                   .commit = commit,
                                   .retry = retry});
  }

  /**
   * Whether a rank failed to carry out a formation or decision. A committed
   * decision can't be reverted, so all ranks restart from the decided map in a
   * new generation.
   */
  bool MustFormAgain(const group_state& group) const {
    return progress.failed && (group.phase == group_phase::kForming ||
                               group.phase == group_phase::kDeciding);
  }

  /**
   * Proposes the next phase when all ranks have carried out the order, or an
   * abort when a rank can't carry out a stage or arm order.
   */
  void Advance(const group_state& group) {
    if (progress.failed && group.phase == group_phase::kStaging) {
      ProposeDecision(group, false, false);
      return;
    }
    // A rank whose answer to the arm order was lost may be waiting at the step.
    // The abort has a new order id and releases it.
    if ((progress.too_late || progress.failed) &&
        group.phase == group_phase::kArming) {
      progress.margin_steps =
          std::min(progress.margin_steps * 2, kMaxMarginSteps);
      ProposeDecision(group, false, true);
      return;
    }
    if (progress.done_ranks.size() < group.ranks.size()) {
      return;
    }
    switch (group.phase) {
      case group_phase::kNone:
        break;
      case group_phase::kStaging:
        ProposeArm(group);
        break;
      case group_phase::kArming:
        ProposeDecision(group, true, false);
        break;
      case group_phase::kForming:
      case group_phase::kDeciding:
        if (group.change) {
          ProposeArm(group);
        } else if (progress.next_map && AllRanksSwitched(group)) {
          ProposeNext(stage_map_command{
              .group = name,
              .generation = group.generation,
              .map = *std::exchange(progress.next_map, std::nullopt)});
        }
        break;
    }
  }

  /**
   * Whether every rank reports that it uses the current map. Until then a rank
   * may still hold a decision for a later step, and it can hold only one.
   */
  bool AllRanksSwitched(const group_state& group) const {
    return progress.reports.size() == group.ranks.size() &&
           std::ranges::all_of(progress.reports, [&](const auto& item) {
             return item.second.map_epoch == group.epoch;
           });
  }

  void EnterPhase(const group_state& group) {
    if (progress.order_index == group.order_index) {
      return;
    }
    if (group.phase == group_phase::kForming) {
      // Steps restart from 0 in each generation.
      progress.highest_step = 0;
      progress.margin_steps = 0;
      progress.reports.clear();
    }
    progress.order_index = group.order_index;
    progress.done_ranks.clear();
    progress.too_late = false;
    progress.failed = false;
    progress.next_send_us = 0;
  }

  void Run(const config::model_group& group_config,
           const rank_servers& servers) {
    if (progress.proposal_id != 0) {
      return;
    }
    const auto found = state.durable.groups.groups.find(name);
    if (found == state.durable.groups.groups.end() ||
        !MatchesConfig(found->second, group_config) ||
        !ServersUnchanged(found->second, servers)) {
      // Until every rank has a server, the group keeps its current state.
      if (AllRanksServed(servers)) {
        Form(group_config, servers);
      }
      return;
    }
    EnterPhase(found->second);
    if (MustFormAgain(found->second)) {
      if (AllRanksServed(servers) && now.now_us >= progress.next_form_us) {
        progress.next_form_us = now.now_us + kFormPeriodUs;
        Form(group_config, servers);
      }
      return;
    }
    SendOrders(found->second, servers);
    Advance(found->second);
  }
};

/** Whether an answer lets the group advance before the next tick. */
bool MayAdvance(const group_progress& progress, const group_state& group) {
  return progress.failed || progress.too_late ||
         progress.done_ranks.size() == group.ranks.size();
}

}  // namespace

void AdvanceGroups(replica_state& state,
                   const step_time& now,
                   replica_effects& out) {
  const servers_by_group servers = FindServers(state);
  for (const auto& [name, group_config] : CurrentConfig(state).model_groups) {
    group_controller{state, name, state.leadership->groups[name], now, out}.Run(
        group_config, servers.find(name)->second);
  }
}

void HandleOrderResult(replica_state& state,
                       net::link_id link,
                       const wire::order_result& result,
                       const step_time& now,
                       replica_effects& out) {
  const member_session* session = FindSession(state, link);
  if (session == nullptr) {
    return;
  }
  const wire::backend_info& backend = session->info.backend;
  const auto found = state.durable.groups.groups.find(backend.group);
  // A result counts only for the phase whose order it answers, and only from
  // the incarnation of the backend server that holds the rank. A restarted
  // server isn't bound by the answers of its earlier incarnation.
  if (found == state.durable.groups.groups.end() ||
      result.order_id != found->second.order_index ||
      backend.rank >= found->second.ranks.size() ||
      found->second.ranks[backend.rank] !=
          group_rank{session->info.name, backend.incarnation}) {
    return;
  }
  const auto configured = CurrentConfig(state).model_groups.find(backend.group);
  group_progress& progress = state.leadership->groups[backend.group];
  if (configured == CurrentConfig(state).model_groups.end() ||
      progress.order_index != result.order_id) {
    return;
  }
  progress.highest_step = std::max(progress.highest_step, result.step);
  switch (result.result) {
    case wire::order_status::kDone:
      progress.done_ranks.insert(backend.rank);
      break;
    case wire::order_status::kTooLate:
      progress.too_late = true;
      break;
    case wire::order_status::kFailed:
      progress.failed = true;
      break;
    case wire::order_status::kFenced:
      break;
  }
  if (MayAdvance(progress, found->second)) {
    AdvanceGroups(state, now, out);
  }
}

void HandleGroupReport(replica_state& state,
                       net::link_id link,
                       const wire::group_report& report) {
  const member_session* session = FindSession(state, link);
  if (session == nullptr) {
    return;
  }
  const auto found = state.durable.groups.groups.find(report.group);
  if (found == state.durable.groups.groups.end() ||
      report.rank >= found->second.ranks.size() ||
      report.generation != found->second.generation) {
    return;
  }
  group_progress& progress = state.leadership->groups[report.group];
  progress.reports[report.rank] = {.incarnation = report.backend_incarnation,
                                   .generation = report.generation,
                                   .step = report.step,
                                   .map_epoch = report.map_epoch,
                                   .step_time_us = report.step_time_us};
  progress.highest_step = std::max(progress.highest_step, report.step);
  if (progress.tokens.size() < report.expert_tokens.size()) {
    progress.tokens.resize(report.expert_tokens.size());
  }
  for (std::size_t i = 0; i < report.expert_tokens.size(); ++i) {
    progress.tokens[i] += report.expert_tokens[i];
  }
}

void HandleMapChangeRequested(replica_state& state,
                              const map_change_requested& request) {
  const auto found = state.durable.groups.groups.find(request.group);
  if (found == state.durable.groups.groups.end() ||
      found->second.map == request.map ||
      found->second.map.slots.size() != request.map.slots.size()) {
    return;
  }
  state.leadership->groups[request.group].next_map = request.map;
}

wire::expert_map EvenMap(const config::model_group& group) {
  wire::expert_map map{
      .experts = static_cast<std::uint32_t>(group.experts),
      .ranks = static_cast<std::uint32_t>(group.ranks),
      .layers = static_cast<std::uint32_t>(group.layers),
      .slots_per_rank = static_cast<std::uint32_t>(group.slots_per_rank)};
  const std::size_t slots_per_layer =
      static_cast<std::size_t>(map.ranks) * map.slots_per_rank;
  map.slots.reserve(slots_per_layer * map.layers);
  for (std::uint32_t layer = 0; layer < map.layers; ++layer) {
    for (std::size_t slot = 0; slot < slots_per_layer; ++slot) {
      map.slots.push_back(static_cast<std::uint16_t>(slot % map.experts));
    }
  }
  return map;
}

}  // namespace wisteriaroute::control
