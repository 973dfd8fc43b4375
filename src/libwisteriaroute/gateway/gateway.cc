#include "libwisteriaroute/gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/gateway/step_context.h"

namespace wisteriaroute::gateway {

namespace {

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
// A process without a configuration receives one within a second unless control
// is down.
constexpr base::time_ms kStartingRetryMs = 500;
// New connections of callers go to other gateways.
constexpr base::time_ms kStoppingRetryMs = 10;

const std::string& ChooseTarget(step_context& step,
                                const config::route& route) {
  std::int64_t sum = 0;
  for (const config::weighted_service& target : route.targets) {
    sum += target.weight;
  }
  auto drawn = static_cast<std::int64_t>(step.Random() %
                                         static_cast<std::uint64_t>(sum));
  for (const config::weighted_service& target : route.targets) {
    drawn -= target.weight;
    if (drawn < 0) {
      return target.service;
    }
  }
  return route.targets.back().service;
}

/** Sets the workspace and priority of the request from its key. Returns false
 * if the key gives no access to the route. */
bool Authenticate(request_state& request) {
  const config::traffic_index& traffic = *request.traffic;
  request.priority = request.route->priority;
  if (traffic.set().workspaces.empty()) {
    return true;
  }
  const config::traffic_workspace* workspace =
      request.request.key ? traffic.FindWorkspace(*request.request.key)
                          : nullptr;
  if (workspace == nullptr) {
    return request.route->is_public;
  }
  request.workspace = workspace->name;
  if (workspace->priority) {
    request.priority = workspace->priority;
  }
  return true;
}

void HandleArrival(step_context& step, const request_arrived& event) {
  gateway_state& state = step.state;
  request_state& request = state.requests[event.exchange];
  request.exchange = event.exchange;
  request.request = event.request;
  request.arrived_us = step.now_us;
  request.last_event_id = event.request.last_event_id;
  request.traffic = state.traffic;
  if (request.traffic == nullptr) {
    Refuse(step, request, kUnavailable, "no_configuration", kStartingRetryMs);
    return;
  }
  request.route =
      request.traffic->FindRoute(event.request.host, event.request.path);
  if (request.route == nullptr) {
    Refuse(step, request, kNotFound, "no_route");
    return;
  }
  if (!Authenticate(request)) {
    Refuse(step, request, kUnauthorized, "unknown_key");
    return;
  }
  base::time_ms wait_ms = request.route->timeout_ms;
  if (event.request.deadline_ms > 0) {
    wait_ms = std::min(wait_ms, event.request.deadline_ms);
  }
  request.deadline_us = step.now_us + wait_ms * 1'000;
  if (state.stopping && step.now_us >= state.stopping->settled_us &&
      request.deadline_us > state.stopping->end_us) {
    Refuse(step, request, kUnavailable, "stopping", kStoppingRetryMs);
    return;
  }
  request.service = ChooseTarget(step, *request.route);
  state.budgets[request.service].CountRequest(step.now_us,
                                              state.options.retries);
  if (state.options.server_limits) {
    NoteRequest(state.peer_capacities[request.service]);
  }
  Dispatch(step, request);
}

void CheckTimes(step_context& step) {
  std::vector<exchange_id> late;
  std::vector<exchange_id> silent;
  for (auto& [exchange, request] : step.state.requests) {
    NoteOverdue(step, request);
    if (request.deadline_us <= step.now_us) {
      late.push_back(exchange);
    } else if (request.phase == request_phase::kStreaming && !request.blocked &&
               step.now_us - request.last_event_us >
                   step.state.options.silent_stream_ms * 1'000) {
      silent.push_back(exchange);
    }
  }
  for (const exchange_id exchange : late) {
    request_state& request = step.state.requests.find(exchange)->second;
    CancelAttempt(step, request);
    GiveUp(step, request, "timeout");
  }
  for (const exchange_id exchange : silent) {
    LeaveSilentServer(step, step.state.requests.find(exchange)->second);
  }
}

void EndAll(step_context& step) {
  std::vector<exchange_id> open;
  for (const auto& [exchange, request] : step.state.requests) {
    open.push_back(exchange);
  }
  for (const exchange_id exchange : open) {
    request_state& request = step.state.requests.find(exchange)->second;
    CancelAttempt(step, request);
    GiveUp(step, request, "stopping");
  }
}

struct event_handler {
  step_context& step;

  void operator()(const traffic_published& event) const {
    step.state.traffic = event.traffic;
    step.Note("traffic_published",
              {{"version", std::to_string(event.traffic->set().version)},
               {"routes", std::to_string(event.traffic->set().routes.size())}});
  }
  void operator()(const options_changed& event) const {
    step.state.options = event.options;
  }
  void operator()(const members_updated& event) const {
    // Before the members, so that no new server of an evacuated data centre is
    // usable in between.
    NoteEvacuations(step, event.update.evacuations);
    for (const server* one :
         step.state.servers.Update(event.update, step.now_us,
                                   step.state.options.group_start_ms * 1'000)) {
      NoteLeaving(step, *one, "member_update", "");
    }
    ApplyColdReports(step, event.update);
    step.Note("servers_updated",
              {{"changed", std::to_string(event.update.changed.size())},
               {"removed", std::to_string(event.update.removed.size())},
               {"known", std::to_string(step.state.servers.size())}});
  }
  void operator()(const request_arrived& event) const {
    HandleArrival(step, event);
  }
  void operator()(const caller_left& event) const {
    const auto found = step.state.requests.find(event.exchange);
    if (found != step.state.requests.end()) {
      CancelAttempt(step, found->second);
      Forget(step, found->second);
    }
  }
  void operator()(const stream_blocked& event) const {
    const auto found = step.state.requests.find(event.exchange);
    if (found != step.state.requests.end()) {
      found->second.blocked = event.blocked;
      // The time for which the caller didn't read isn't the server's.
      found->second.last_event_us = step.now_us;
      found->second.gap_is_callers = true;
    }
  }
  void operator()(const answer_shed& event) const {
    const auto found = step.state.requests.find(event.exchange);
    if (found != step.state.requests.end()) {
      CancelAttempt(step, found->second);
      GiveUp(step, found->second, "memory_budget");
    }
  }
  void operator()(const attempt_head& event) const { HandleHead(step, event); }
  void operator()(const attempt_data& event) const { HandleData(step, event); }
  void operator()(const attempt_ended& event) const {
    HandleEnded(step, event);
  }
  void operator()(const probe_ended& event) const { HandleProbe(step, event); }
  void operator()(const quarantine_changed& event) const {
    HandleQuarantine(step, event.update);
  }
  void operator()(const server_crash_reported& event) const {
    NoteServerCrash(step, event.crash.server, event.crash.incarnation,
                    "control");
  }
  void operator()(const control_opened&) const { HandleControlOpened(step); }
  void operator()(const control_confirmed&) const { EndUnsure(step); }
  void operator()(const stop_requested& event) const {
    step.state.stopping = event;
  }
  void operator()(const stop_due&) const { EndAll(step); }
  void operator()(const gateway_tick&) const {
    CheckTimes(step);
    SendReports(step);
  }
};

}  // namespace

std::uint64_t step_context::Random() {
  // xorshift64*.
  std::uint64_t& x = state.random;
  x ^= x >> 12;
  x ^= x << 25;
  x ^= x >> 27;
  return x * 0x2545f4914f6cdd1dULL;
}

void step_context::Note(std::string event, note_fields fields) {
  out.push_back(note{std::move(event), std::move(fields)});
}

void step_context::Count(std::string_view name,
                         std::string_view label,
                         std::string_view value) {
  std::string series(name);
  series += '{';
  series += label;
  series += "=\"";
  series += value;
  series += "\"}";
  out.push_back(count{std::move(series)});
}

void step_context::Measure(const char* name, base::time_us latency_us) {
  out.push_back(measure{name, latency_us});
}

gateway_effects Step(gateway_state& state,
                     const gateway_event& event,
                     base::time_us now_us) {
  gateway_effects out;
  step_context step{state, now_us, out};
  NoteElapsedTime(step);
  std::visit(event_handler{step}, event);
  return out;
}

bool NeedsTick(const gateway_state& state) {
  // A missed tick shows that the process was frozen.
  return !state.requests.empty() || HasReports(state.crashes) ||
         LimitsCold(state.traffic.get());
}

bool IsReady(const gateway_state& state) {
  return state.traffic != nullptr && state.servers.size() > 0;
}

}  // namespace wisteriaroute::gateway
