#include "libwisteriaroute/entry/agents.h"

#include <algorithm>
#include <set>
#include <string>

#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/entry/attempts.h"
#include "libwisteriaroute/entry/claims.h"
#include "libwisteriaroute/entry/resend.h"
#include "libwisteriaroute/entry/respond.h"

namespace wisteriaroute::entry {

namespace {

// Bounds the memory for cache hints per agent.
constexpr std::size_t kMaxCachedBlocks = 65'536;

std::set<std::string> PoolsOf(const entry_state& state, const agent& of) {
  std::set<std::string> names;
  const wire::backend_info& backend = of.member.backend;
  if (!backend.service.empty()) {
    names.insert("service/" + backend.service);
    return names;
  }
  if (!backend.group.empty() && state.configuration != nullptr) {
    const auto group = state.configuration->model_groups.find(backend.group);
    if (group != state.configuration->model_groups.end()) {
      names.insert("model/" + group->second.model);
    }
  }
  for (const std::string& model : backend.models) {
    names.insert("model/" + model);
  }
  if (of.state) {
    for (const std::string& model : of.state->models) {
      names.insert("model/" + model);
    }
  }
  return names;
}

// Adds the agents of a pool that this entry links to: those in its own region
// first, then by rendezvous hash, which spreads entries evenly over agents.
void AddNearest(const entry_state& state,
                std::vector<agent*> agents,
                std::set<agent*>& wanted) {
  std::erase_if(agents, [](const agent* a) { return !a->is_member; });
  const auto rank = [&](const agent* of) {
    return std::pair(of->member.region != state.region,
                     base::Hash64(state.name + "\n" + of->member.name));
  };
  if (agents.size() > kMaxLinksPerPool) {
    std::sort(
        agents.begin(), agents.end(),
        [&](const agent* a, const agent* b) { return rank(a) < rank(b); });
    agents.resize(kMaxLinksPerPool);
  }
  wanted.insert(agents.begin(), agents.end());
}

void Upsert(step_context& step, const wire::member_info& info) {
  agent& of = step.state.agents[info.name];
  of.member = info;
  of.is_member = true;
}

agent* ByLink(step_context& step, net::link_id link) {
  const auto found = step.state.agent_of_link.find(link);
  return found == step.state.agent_of_link.end()
             ? nullptr
             : FindAgent(step.state, found->second);
}

// Removes agents that left the member list and have no attempts or link here.
void ForgetAgents(step_context& step) {
  std::erase_if(step.state.agents, [](const auto& item) {
    const agent& of = item.second;
    return !of.is_member && of.in_flight == 0 && of.link == 0 &&
           of.dialled_address.empty();
  });
}

}  // namespace

void HandleMemberUpdate(step_context& step, const wire::member_update& update) {
  auto& agents = step.state.agents;
  if (update.full) {
    for (auto& [name, of] : agents) {
      of.is_member = false;
    }
  }
  for (const wire::member_info& info : update.changed) {
    if (info.role == wire::member_role::kAgent) {
      Upsert(step, info);
    }
  }
  for (const std::string& name : update.removed) {
    if (agent* of = FindAgent(step.state, name)) {
      of->is_member = false;
    }
  }
  for (auto& [name, of] : agents) {
    of.drained = std::find(update.drained.begin(), update.drained.end(),
                           name) != update.drained.end();
  }
  step.state.members_known = true;
  RebuildPools(step);
  UpdateDials(step);
}

void RebuildPools(step_context& step) {
  for (auto& [name, of] : step.state.pools) {
    of.agents.clear();
  }
  ForgetAgents(step);
  for (auto& [name, of] : step.state.agents) {
    for (const std::string& pool_name : PoolsOf(step.state, of)) {
      step.state.pools[pool_name].agents.push_back(&of);
    }
  }
}

void UpdateDials(step_context& step) {
  std::set<agent*> wanted;
  for (const auto& [name, of] : step.state.pools) {
    AddNearest(step.state, of.agents, wanted);
  }
  for (auto& [number, of] : step.state.requests) {
    if (of.phase == request_phase::kLocating) {
      agent* holder = FindAgent(step.state, of.holder.agent);
      if (holder != nullptr && holder->is_member) {
        wanted.insert(holder);
      }
    }
  }
  for (auto& [name, of] : step.state.agents) {
    const std::string& address = of.member.address;
    const bool dial = wanted.contains(&of) && !address.empty();
    const bool keep = of.in_flight > 0 && of.link != 0;
    if (!of.dialled_address.empty() &&
        (dial ? of.dialled_address != address : !keep)) {
      of.dialled_address.clear();
      step.Emit(undial_agent{name});
    }
    if (dial && of.dialled_address.empty()) {
      of.dialled_address = address;
      step.Emit(dial_agent{name, address});
    }
  }
}

void HandleLinkUp(step_context& step, const agent_link_up& event) {
  agent* of = FindAgent(step.state, event.agent);
  if (of == nullptr) {
    return;
  }
  if (of->link != 0) {
    step.state.agent_of_link.erase(of->link);
  }
  of->link = event.link;
  of->state.reset();
  of->load = {};
  ++of->load_report_number;
  of->sent_since_report = 0;
  of->cached_blocks.clear();
  step.state.agent_of_link[event.link] = event.agent;
  step.Emit(add_timeline{.kind = "link_up", .server = event.agent});
  for (const wire::attempt_id& id : of->to_cancel) {
    step.Emit(send_work{event.link, wire::cancel{id}});
  }
  of->to_cancel.clear();
  QueryAttemptsAt(step, *of);
}

void HandleLinkDown(step_context& step, const agent_link_down& event) {
  agent* of = ByLink(step, event.link);
  step.state.agent_of_link.erase(event.link);
  if (of == nullptr || of->link != event.link) {
    return;
  }
  of->link = 0;
  of->state.reset();
  step.Emit(add_timeline{.kind = "link_down", .server = of->member.name});
  for (auto& [number, open] : step.state.requests) {
    if (open.current && open.current->agent == of->member.name) {
      open.current->detached_us = step.now_us;
    }
    if (open.phase == request_phase::kLocating &&
        open.holder.agent == of->member.name) {
      open.query_sent = false;
    }
  }
}

void HandleAgentState(step_context& step,
                      net::link_id link,
                      const wire::agent_state& message) {
  agent* of = ByLink(step, link);
  if (of == nullptr) {
    return;
  }
  const bool models_changed = !of->state || of->state->models != message.models;
  if (of->state &&
      of->state->backend_incarnation != message.backend_incarnation) {
    of->failures = 0;
    of->suspended_until_us = 0;
    of->cached_blocks.clear();
  }
  of->state = message;
  if (models_changed) {
    RebuildPools(step);
    UpdateDials(step);
  }
}

void HandleLoad(step_context& step,
                net::link_id link,
                const wire::load_report& message) {
  if (agent* of = ByLink(step, link)) {
    of->load = message;
    ++of->load_report_number;
    of->sent_since_report = 0;
  }
}

void HandleCacheHint(step_context& step,
                     net::link_id link,
                     const wire::cache_hint& message) {
  agent* of = ByLink(step, link);
  if (of == nullptr) {
    return;
  }
  if (message.reset) {
    of->cached_blocks.clear();
  }
  for (const std::uint64_t block : message.removed) {
    of->cached_blocks.erase(block);
  }
  for (const std::uint64_t block : message.added) {
    if (of->cached_blocks.size() < kMaxCachedBlocks) {
      of->cached_blocks.insert(block);
    }
  }
}

void CheckDetached(step_context& step, request& of) {
  if (of.phase != request_phase::kRunning || !of.current ||
      of.current->detached_us == 0) {
    return;
  }
  const agent* at = FindAgent(step.state, of.current->agent);
  const bool gone = at == nullptr || !at->is_member;
  const bool waited = step.now_us - of.current->detached_us >=
                      step.state.settings.reattach_ms * 1'000;
  if (!waited && !(gone && step.state.members_known)) {
    return;
  }
  const error_reply error{.status = 504,
                          .code = "backend_unreachable",
                          .message =
                              "the connection to the backend server "
                              "was lost",
                          .retry_after_s = 1};
  if (!of.non_repeatable) {
    AbandonCurrent(step, of);
    if (of.callers.empty()) {
      Close(step, of);
      return;
    }
    RetryOrFail(step, of, error);
    return;
  }
  if (gone) {
    HandleLost(step, of, wire::outcome::kUnknown, error);
    return;
  }
  // The claim stays open, so a resend of the call can still find the outcome.
  of.earlier_outcome = std::max(of.earlier_outcome, of.current_outcome);
  DropCurrent(step, of);
  error_reply reply = error;
  reply.ran = Outcome(of);
  RespondError(step, of, reply);
  Close(step, of);
}

}  // namespace wisteriaroute::entry
