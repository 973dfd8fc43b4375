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

std::set<std::string> PoolsOf(const entry_state& state, const agent& peer) {
  std::set<std::string> names;
  const wire::backend_info& backend = peer.member.backend;
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
  if (peer.state) {
    for (const std::string& model : peer.state->models) {
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
  const auto rank = [&](const agent* peer) {
    return std::pair(peer->member.region != state.region,
                     base::Hash64(state.name + "\n" + peer->member.name));
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
  agent& peer = step.state.agents[info.name];
  peer.member = info;
  peer.is_member = true;
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
    const agent& peer = item.second;
    return !peer.is_member && peer.in_flight == 0 && peer.link == 0 &&
           peer.dialled_address.empty();
  });
}

}  // namespace

void HandleMemberUpdate(step_context& step, const wire::member_update& update) {
  auto& agents = step.state.agents;
  if (update.full) {
    for (auto& [name, peer] : agents) {
      peer.is_member = false;
    }
  }
  for (const wire::member_info& info : update.changed) {
    if (info.role == wire::member_role::kAgent) {
      Upsert(step, info);
    }
  }
  for (const std::string& name : update.removed) {
    if (agent* peer = FindAgent(step.state, name)) {
      peer->is_member = false;
    }
  }
  step.state.evacuations.Apply(update.evacuations, step.now_us);
  for (auto& [name, peer] : agents) {
    peer.drained = std::find(update.drained.begin(), update.drained.end(),
                             name) != update.drained.end();
    peer.evacuated =
        step.state.evacuations.IsEvacuated(peer.member.data_center);
  }
  step.state.members_known = true;
  RebuildPools(step);
  UpdateDials(step);
}

void RebuildPools(step_context& step) {
  for (auto& [name, each] : step.state.pools) {
    each.agents.clear();
  }
  ForgetAgents(step);
  for (auto& [name, peer] : step.state.agents) {
    for (const std::string& pool_name : PoolsOf(step.state, peer)) {
      step.state.pools[pool_name].agents.push_back(&peer);
    }
  }
}

void UpdateDials(step_context& step) {
  std::set<agent*> wanted;
  for (const auto& [name, each] : step.state.pools) {
    AddNearest(step.state, each.agents, wanted);
  }
  for (auto& [number, request] : step.state.requests) {
    if (request.phase == request_phase::kLocating) {
      agent* holder = FindAgent(step.state, request.holder.agent);
      if (holder != nullptr && holder->is_member) {
        wanted.insert(holder);
      }
    }
  }
  for (auto& [name, peer] : step.state.agents) {
    const std::string& address = peer.member.address;
    const bool dial = wanted.contains(&peer) && !address.empty();
    const bool keep = peer.in_flight > 0 && peer.link != 0;
    if (!peer.dialled_address.empty() &&
        (dial ? peer.dialled_address != address : !keep)) {
      peer.dialled_address.clear();
      step.Emit(undial_agent{name});
    }
    if (dial && peer.dialled_address.empty()) {
      peer.dialled_address = address;
      step.Emit(dial_agent{name, address});
    }
  }
}

void HandleLinkUp(step_context& step, const agent_link_up& event) {
  agent* peer = FindAgent(step.state, event.agent);
  if (peer == nullptr) {
    return;
  }
  if (peer->link != 0) {
    step.state.agent_of_link.erase(peer->link);
  }
  peer->link = event.link;
  peer->state.reset();
  peer->load = {};
  ++peer->load_report_number;
  peer->sent_since_report = 0;
  peer->cached_blocks.clear();
  step.state.agent_of_link[event.link] = event.agent;
  step.Emit(add_timeline{.kind = "link_up", .server = event.agent});
  for (const wire::attempt_id& id : peer->to_cancel) {
    step.Emit(send_work{event.link, wire::cancel{id}});
  }
  peer->to_cancel.clear();
  QueryAttemptsAt(step, *peer);
}

void HandleLinkDown(step_context& step, const agent_link_down& event) {
  agent* peer = ByLink(step, event.link);
  step.state.agent_of_link.erase(event.link);
  if (peer == nullptr || peer->link != event.link) {
    return;
  }
  peer->link = 0;
  peer->state.reset();
  step.Emit(add_timeline{.kind = "link_down", .server = peer->member.name});
  for (auto& [number, open] : step.state.requests) {
    if (open.current && open.current->agent == peer->member.name) {
      open.current->detached_us = step.now_us;
    }
    if (open.phase == request_phase::kLocating &&
        open.holder.agent == peer->member.name) {
      open.query_sent = false;
    }
  }
}

void HandleAgentState(step_context& step,
                      net::link_id link,
                      const wire::agent_state& message) {
  agent* peer = ByLink(step, link);
  if (peer == nullptr) {
    return;
  }
  const bool models_changed =
      !peer->state || peer->state->models != message.models;
  if (peer->state &&
      peer->state->backend_incarnation != message.backend_incarnation) {
    peer->failures = 0;
    peer->suspended_until_us = 0;
    peer->cached_blocks.clear();
  }
  peer->state = message;
  if (models_changed) {
    RebuildPools(step);
    UpdateDials(step);
  }
}

void HandleLoad(step_context& step,
                net::link_id link,
                const wire::load_report& message) {
  if (agent* peer = ByLink(step, link)) {
    peer->load = message;
    ++peer->load_report_number;
    peer->sent_since_report = 0;
  }
}

void HandleCacheHint(step_context& step,
                     net::link_id link,
                     const wire::cache_hint& message) {
  agent* peer = ByLink(step, link);
  if (peer == nullptr) {
    return;
  }
  if (message.reset) {
    peer->cached_blocks.clear();
  }
  for (const std::uint64_t block : message.removed) {
    peer->cached_blocks.erase(block);
  }
  for (const std::uint64_t block : message.added) {
    if (peer->cached_blocks.size() < kMaxCachedBlocks) {
      peer->cached_blocks.insert(block);
    }
  }
}

void CheckDetached(step_context& step, request_state& request) {
  if (request.phase != request_phase::kRunning || !request.current ||
      request.current->detached_us == 0) {
    return;
  }
  const agent* peer = FindAgent(step.state, request.current->agent);
  const bool gone = peer == nullptr || !peer->is_member;
  const bool waited = step.now_us - request.current->detached_us >=
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
  if (!request.non_repeatable) {
    AbandonCurrent(step, request);
    if (request.callers.empty()) {
      Close(step, request);
      return;
    }
    RetryOrFail(step, request, error);
    return;
  }
  if (gone) {
    HandleLost(step, request, wire::outcome::kUnknown, error);
    return;
  }
  // The claim stays open, so a resend of the call can still find the outcome.
  request.earlier_outcome =
      std::max(request.earlier_outcome, request.current_outcome);
  DropCurrent(step, request);
  error_reply reply = error;
  reply.ran = Outcome(request);
  RespondError(step, request, reply);
  Close(step, request);
}

}  // namespace wisteriaroute::entry
