#include <algorithm>
#include <map>
#include <string_view>
#include <vector>

#include "libwisteriaroute/gateway/step_context.h"
#include "libwisteriaroute/policy/pause_ramp.h"
#include "libwisteriaroute/policy/server_choice.h"

namespace wisteriaroute::gateway {

namespace {

constexpr base::time_ms kNoServerRetryMs = 1'000;
// An earlier retry would be refused, too.
constexpr base::time_ms kQuarantinedRetryMs = 60'000;
// Upper bound of a random delay, so that callers that are refused at the same
// time don't retry at the same time.
constexpr base::time_ms kRetrySpreadMs = 400;

policy::contender Contender(const request_state& request) {
  return {.urgency = policy::UrgencyOf(request.priority.value_or(0),
                                       request.route->priority),
          .kind = request.route->name,
          .workspace = request.workspace};
}

/** Usable servers that the request hasn't been sent to. */
std::vector<server*> Candidates(step_context& step,
                                const request_state& request) {
  std::vector<server*> usable =
      step.state.servers.Usable(request.service, step.now_us);
  std::vector<server*> untried;
  for (server* one : usable) {
    if (!request.tried_servers.contains(one->info.name)) {
      untried.push_back(one);
    }
  }
  return untried;
}

void Send(step_context& step, request_state& request, server& to) {
  const base::time_us remaining_us = request.deadline_us - step.now_us;
  request.attempt = step.state.next_attempt++;
  step.state.attempts[request.attempt] = request.exchange;
  request.server = to.info.name;
  request.server_incarnation = to.info.incarnation;
  request.tried_servers.insert(to.info.name);
  request.attempt_started_us = step.now_us;
  request.last_event_us = step.now_us;
  request.head.reset();
  request.body.clear();
  request.framer = {};
  request.attempt_events = 0;
  ++request.attempts;
  if (request.tried_servers.size() == 1) {
    NoteAdmitted(step.state.contentions[request.service], Contender(request),
                 step.now_us);
  }
  step.Count("wisteriaroute_attempts_total", "repeat",
             request.attempts > 1 ? "yes" : "no");
  ++to.in_flight;
  BeginMeasurement(step, request, to);
  NoteColdSend(step, to);
  const bool once = request.route->repeats == config::repetition::kOnce;
  step.out.push_back(
      start_attempt{.attempt = request.attempt,
                    .exchange = request.exchange,
                    .address = to.info.address,
                    .terms = {.deadline_ms = remaining_us / 1'000,
                              .expected_server = to.info.name,
                              .workspace = request.workspace,
                              .priority = request.priority,
                              .last_event_id = request.last_event_id},
                    .may_use_idle = !once});
  step.Note("attempt_sent",
            {{"request", request.request.id},
             {"attempt", std::to_string(request.attempts)},
             {"server", to.info.name},
             {"load", std::to_string(step.state.servers.Load(to, step.now_us))},
             {"load_age_ms",
              std::to_string((step.now_us - to.load_reported_us) / 1'000)},
             {"version", std::to_string(request.traffic->set().version)}});
}

/** Streams per server that the stream limit of the pool and the reserve for the
 * next slowdown allow. */
double AllowedStreams(step_context& step,
                      const request_state& request,
                      const std::string& pool,
                      double slots) {
  double allowed = StreamsAllowed(step.state.stream_limits[pool], slots);
  const config::traffic_service* service =
      request.traffic->FindService(request.service);
  if (request.route->gap_objective_ms > 0 && service != nullptr &&
      service->engine) {
    allowed = std::min(
        allowed,
        StreamsWithReserve(step.state.slowdown_reserves[pool],
                           PassTime(*service->engine),
                           static_cast<double>(request.route->gap_objective_ms),
                           static_cast<double>(service->engine->slots)));
  }
  return allowed;
}

/** Whether the warm servers of the pool may run one more stream. */
bool HasRoom(step_context& step,
             const request_state& request,
             const std::string& pool,
             double slots) {
  const double allowed = AllowedStreams(step, request, pool, slots);
  const auto load = step.state.servers.TotalLoad(pool, step.now_us);
  const auto cold = ColdLoad(step, pool);
  return load.requests - cold.requests + 1 <=
         allowed * static_cast<double>(load.servers - cold.servers);
}

/** Index of the server that gets the request; nothing if none can take it.
 * `only_pool` confines the choice to a pool unless it is empty. */
std::optional<std::size_t> ChooseInPool(step_context& step,
                                        const request_state& request,
                                        const std::vector<server*>& servers,
                                        std::string_view only_pool) {
  // The stream limit applies only to new streams. A stream that has been
  // admitted may continue at another server regardless of the limit.
  const bool limit_streams = request.route->streams && request.attempts == 0;
  std::map<std::string_view, bool> room;
  std::vector<policy::server_candidate> candidates;
  std::vector<std::size_t> indexes;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const server& one = *servers[i];
    if (!only_pool.empty() && PoolOf(one.info) != only_pool) {
      continue;
    }
    if (!MaySendNow(step, one)) {
      continue;
    }
    const double slots = DeclaredSlots(one);
    if (one.paused_until_us != 0 &&
        static_cast<double>(one.in_flight) >=
            policy::RequestsAfterPause(one.responses_after_pause)) {
      continue;
    }
    if (limit_streams && IsCold(step, one)) {
      // Its rate limits it; the room of the warm servers doesn't.
      if (step.state.servers.Load(one, step.now_us) + 1 >
          AllowedStreams(step, request, PoolOf(one.info), slots)) {
        continue;
      }
    } else if (limit_streams) {
      const std::string& pool = PoolOf(one.info);
      const auto [known, is_new] = room.try_emplace(pool);
      if (is_new) {
        known->second = HasRoom(step, request, pool, slots);
      }
      if (!known->second) {
        continue;
      }
    }
    candidates.push_back({.load = step.state.servers.Load(one, step.now_us),
                          .slots = slots,
                          .queue = step.state.options.server_queue});
    indexes.push_back(i);
  }
  const auto chosen =
      ChooseWithinLimits(step, request, servers, indexes, candidates);
  return chosen ? std::optional(indexes[*chosen]) : std::nullopt;
}

/** The pool of the service that a part is first answered in, the same for all
 * entries; empty if there is none. Pools that leave or are evacuated
 * count only if `include_leaving` is set. */
std::string_view TrialPool(const server_table& servers,
                           std::string_view service,
                           const prompt_part& part,
                           bool include_leaving) {
  std::string_view best;
  std::uint64_t best_hash = 0;
  for (const auto& [id, one] : servers.all()) {
    const std::string& pool = PoolOf(one.info);
    if (one.info.backend.service != service || pool == best ||
        ((one.info.leaving || servers.IsEvacuated(one)) && !include_leaving)) {
      continue;
    }
    const std::uint64_t hash = base::Hash64(pool, part.digest.low);
    if (best.empty() || hash > best_hash) {
      best = pool;
      best_hash = hash;
    }
  }
  return best;
}

// A part that crashes servers may come so often that all groups are down before
// any entry knows it. So a part that was never answered goes to one pool only,
// even if that is full or down, and one that may have caused a crash stays
// there even if the pool leaves.
std::optional<std::size_t> Choose(step_context& step,
                                  const request_state& request,
                                  const std::vector<server*>& servers) {
  const crash_watch& watch = step.state.crashes;
  const prompt_part* unanswered =
      request.phase == request_phase::kStreaming
          ? nullptr
          : FindUnansweredPart(watch, request.request);
  return ChooseInPool(
      step, request, servers,
      unanswered == nullptr
          ? ""
          : TrialPool(step.state.servers, request.service, *unanswered,
                      IsSuspect(watch, *unanswered)));
}

/** Refuses a request because more urgent ones or earlier ones have the
 * capacity. */
void RefuseForCapacity(step_context& step,
                       request_state& request,
                       std::string_view code) {
  constexpr unsigned kUnavailable = 503;
  Refuse(
      step, request, kUnavailable, code,
      ReturnDelayMs(step.state.contentions[request.service], Contender(request),
                    (request.deadline_us - step.now_us) / 1'000, step.Random(),
                    step.now_us));
}

}  // namespace

bool HasOtherServer(step_context& step, const request_state& request) {
  return Choose(step, request, Candidates(step, request)).has_value();
}

policy::pass_time PassTime(const config::engine_shape& engine) {
  const auto steps = static_cast<double>(engine.steps_per_pass);
  return {.fixed_ms = steps * engine.step_ms,
          .ms_per_stream = steps * engine.step_ms_per_sequence};
}

void Dispatch(step_context& step, request_state& request) {
  if (request.deadline_us - step.now_us <
      step.state.options.min_attempt_ms * 1'000) {
    GiveUp(step, request, "no_time_left");
    return;
  }
  constexpr unsigned kUnavailable = 503;
  // A stream in progress has been answered, so it isn't the cause of a crash.
  if (request.phase != request_phase::kStreaming &&
      IsQuarantined(step, request)) {
    if (request.may_have_run) {
      GiveUp(step, request, "request_quarantined");
    } else {
      Refuse(step, request, kUnavailable, "request_quarantined",
             kQuarantinedRetryMs);
    }
    return;
  }
  // What has been admitted is finished before new work, so only a first attempt
  // competes.
  policy::contention& contention = step.state.contentions[request.service];
  if (request.tried_servers.empty()) {
    const policy::contender contender = Contender(request);
    NoteDemand(contention, contender, step.now_us);
    if (!MayCompete(contention, contender, step.now_us)) {
      RefuseForCapacity(step, request, "more_urgent_requests");
      return;
    }
  }
  const std::vector<server*> servers = Candidates(step, request);
  const auto chosen = Choose(step, request, servers);
  if (chosen) {
    Send(step, request, *servers[*chosen]);
    return;
  }
  const auto spread = static_cast<base::time_ms>(
      step.Random() % static_cast<std::uint64_t>(kRetrySpreadMs));
  const auto pause_ends_us =
      step.state.servers.FirstPauseEnd(request.service, step.now_us);
  if (request.may_have_run || request.phase == request_phase::kStreaming) {
    GiveUp(step, request, "no_other_server");
  } else if (!step.state.servers.HasAny(request.service)) {
    Refuse(step, request, kUnavailable,
           step.state.servers.HasEvacuated(request.service)
               ? "servers_evacuated"
               : "no_server",
           kNoServerRetryMs + spread);
  } else if (pause_ends_us) {
    Refuse(step, request, kUnavailable, "servers_paused",
           (*pause_ends_us - step.now_us) / 1'000 + spread);
  } else if (const auto wait_us = ColdWaitUs(step, servers)) {
    Refuse(step, request, kUnavailable, "servers_cold",
           *wait_us / 1'000 + spread);
  } else {
    NoteFull(contention, step.now_us);
    RefuseForCapacity(step, request, "servers_full");
  }
}

}  // namespace wisteriaroute::gateway
