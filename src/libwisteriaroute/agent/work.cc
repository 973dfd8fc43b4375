#include <algorithm>
#include <optional>

#include "libwisteriaroute/agent/step_context.h"

namespace wisteriaroute::agent {

namespace {

constexpr std::int64_t kRetryOverloadedMs = 100;

wire::attempt_phase PhaseOf(attempt_stage stage) {
  switch (stage) {
    case attempt_stage::kQueued:
    case attempt_stage::kRunning:
    case attempt_stage::kBroken:
      return wire::attempt_phase::kRunning;
    case attempt_stage::kFinished:
      return wire::attempt_phase::kFinished;
    case attempt_stage::kFailed:
      return wire::attempt_phase::kFailed;
    case attempt_stage::kNeverRuns:
      return wire::attempt_phase::kNeverRuns;
  }
  return wire::attempt_phase::kForgotten;
}

attempt* Find(agent_state& state, const wire::attempt_id& id) {
  const auto it = state.attempts.find(id);
  return it == state.attempts.end() ? nullptr : &it->second;
}

bool IsOwnIncarnation(const agent_state& state, std::uint64_t incarnation) {
  return std::ranges::count(state.own_incarnations, incarnation) > 0;
}

/**
 * Whether the agent still remembers every attempt it has seen of this
 * incarnation and window.
 */
bool IsWindowRetained(const agent_state& state,
                      std::uint64_t incarnation,
                      std::uint64_t window) {
  return IsOwnIncarnation(state, incarnation) && window + 1 >= state.window &&
         window <= state.window;
}

/**
 * Whether an attempt with this tombstone certainly did not run. A cancel does
 * not name a window, so its tombstone may belong to an attempt that ran and was
 * forgotten.
 */
bool NeverRan(const agent_state& state,
              const attempt& tombstone,
              std::uint64_t incarnation,
              std::uint64_t window) {
  return tombstone.history_known || (IsOwnIncarnation(state, incarnation) &&
                                     window + 1 >= tombstone.retention_window);
}

/** Records that this attempt must not run. */
attempt& AddTombstone(agent_state& state,
                      const wire::attempt_id& id,
                      wire::refusal_reason reason) {
  attempt& added = state.attempts[id];
  added.stage = attempt_stage::kNeverRuns;
  added.refusal = reason;
  // The attempt belongs to this window or an earlier one. Once the next window
  // has ended, a submit of the attempt is refused because of its window.
  RetainUntil(state, id, added, state.window);
  return added;
}

void Refuse(step_context& context,
            net::link_id link,
            const wire::attempt_id& id,
            wire::refusal_reason reason) {
  context.Count("agent_attempts_refused_total");
  const bool soon = reason == wire::refusal_reason::kOverloaded;
  context.Send(link,
               wire::refused{.attempt = id,
                             .reason = reason,
                             .retry_after_ms = soon ? kRetryOverloadedMs : 0});
}

/** Reports an attempt that won't start but may have run and been forgotten. */
void SendUnknownOutcome(step_context& context,
                        net::link_id link,
                        const wire::attempt_id& id) {
  context.Count("agent_attempts_forgotten_total");
  context.Send(link, wire::failed{.attempt = id,
                                  .reason = wire::failure_reason::kBackendLost,
                                  .ran = wire::outcome::kUnknown});
}

/**
 * Sends the response from `offset` on to a link and subscribes the link to the
 * rest. Sends a refusal or failure instead if there is no response or its data
 * from `offset` on was dropped.
 */
void SendResponse(step_context& context,
                  net::link_id link,
                  const wire::attempt_id& id,
                  attempt& target,
                  std::uint64_t offset) {
  if (target.stage == attempt_stage::kNeverRuns) {
    if (target.history_known) {
      Refuse(context, link, id, target.refusal);
    } else {
      SendUnknownOutcome(context, link, id);
    }
    return;
  }
  if (target.stage == attempt_stage::kFailed) {
    context.Send(
        link, wire::failed{
                  .attempt = id, .reason = target.failure, .ran = target.ran});
    return;
  }
  const auto chunks = target.body == nullptr
                          ? std::nullopt
                          : ChunksFrom(target.body->response, id, offset);
  if (!chunks) {
    context.Send(link,
                 wire::failed{.attempt = id,
                              .reason = wire::failure_reason::kResponseTooLarge,
                              .ran = wire::outcome::kRan});
    return;
  }
  attempt_body& body = *target.body;
  std::erase_if(body.subscribers,
                [link](const subscriber& s) { return s.link == link; });
  body.subscribers.push_back({.link = link, .acked = offset});
  if (body.response.head) {
    context.Send(link, *body.response.head);
  }
  for (const wire::chunk& chunk : *chunks) {
    context.Send(link, chunk);
  }
  if (body.response.finish) {
    context.Send(link, *body.response.finish);
  }
}

/** Whether the attempt may not run beside another one that is isolated. */
bool IsBesideIsolated(const agent_state& state, const wire::submit& work) {
  const auto is_isolated = [&](const wire::attempt_id& id) {
    return state.attempts.at(id).body->work->isolated;
  };
  return work.isolated &&
         (std::ranges::any_of(state.running, is_isolated) ||
          std::ranges::any_of(state.queue, [&](const auto& item) {
            return is_isolated(item.second);
          }));
}

/** Returns why a new attempt is refused now, or nullopt to accept it. */
std::optional<wire::refusal_reason> ReasonToRefuse(const step_context& context,
                                                   const wire::submit& work) {
  const agent_state& state = context.state;
  if (state.stopping || state.drained) {
    return wire::refusal_reason::kLeaving;
  }
  if (context.now_us >= state.lease_until_us) {
    return wire::refusal_reason::kNoLease;
  }
  if (!state.health.healthy) {
    return wire::refusal_reason::kUnhealthy;
  }
  if (work.deadline_ms < 0) {
    return wire::refusal_reason::kDeadline;
  }
  if (state.running.size() + state.queue.size() >=
      SlotCount(state) + state.options.queue) {
    return wire::refusal_reason::kOverloaded;
  }
  if (IsBesideIsolated(state, work)) {
    return wire::refusal_reason::kSuspectRuns;
  }
  return std::nullopt;
}

void Accept(step_context& context,
            net::link_id link,
            const wire::submit& work) {
  agent_state& state = context.state;
  attempt& added = state.attempts[work.attempt];
  added.stage = attempt_stage::kQueued;
  added.claimed = work.claimed;
  added.body = std::make_unique<attempt_body>();
  attempt_body& body = *added.body;
  body.work = std::make_shared<wire::submit>(work);
  body.subscribers.push_back({.link = link, .acked = work.resume_offset});
  body.response.first_offset = work.resume_offset;
  body.response.end_offset = work.resume_offset;
  body.response.bytes = kResponseOverheadBytes;
  state.buffered_bytes += body.response.bytes;
  if (work.deadline_ms > 0) {
    body.deadline_us = context.now_us + work.deadline_ms * 1'000;
  }
  RetainUntil(state, work.attempt, added, work.window);
  state.queue[{work.priority, state.next_arrival++}] = work.attempt;
  context.Count("agent_attempts_accepted_total");
  StartQueued(context);
  LimitBufferedBytes(context);
}

/**
 * Handles a submit of a known attempt, which an entry repeats after it lost its
 * link. Resends the response; never starts the attempt again.
 */
void RepeatSubmit(step_context& context,
                  net::link_id link,
                  const wire::submit& work,
                  attempt& known) {
  if (known.stage == attempt_stage::kNeverRuns &&
      NeverRan(context.state, known, work.backend_incarnation, work.window)) {
    known.history_known = true;
  }
  const auto follows = [link](const subscriber& s) { return s.link == link; };
  if (known.body != nullptr && known.body->work != nullptr &&
      std::ranges::any_of(known.body->subscribers, follows)) {
    return;  // The link is already subscribed.
  }
  SendResponse(context, link, work.attempt, known, work.resume_offset);
}

void RefuseOldWindow(step_context& context,
                     net::link_id link,
                     const wire::submit& work) {
  const agent_state& state = context.state;
  const bool none_started = work.window >= state.first_known_window &&
                            !state.started_windows.contains(work.window);
  if (none_started) {
    Refuse(context, link, work.attempt, wire::refusal_reason::kWindowOver);
  } else {
    SendUnknownOutcome(context, link, work.attempt);
  }
}

void Handle(step_context& context,
            net::link_id link,
            const wire::submit& work) {
  agent_state& state = context.state;
  if (attempt* known = Find(state, work.attempt)) {
    RepeatSubmit(context, link, work, *known);
    return;
  }
  if (!IsOwnIncarnation(state, work.backend_incarnation)) {
    // The attempt may have run before this process started. A refusal would say
    // that it never ran.
    SendUnknownOutcome(context, link, work.attempt);
    return;
  }
  if (work.window > state.window) {
    // Only this agent begins windows, so the submit is invalid. A refusal would
    // need a tombstone until that window ends, which may never happen.
    context.Emit(close_link{link, "submit names a future window"});
    return;
  }
  if (work.window + 1 < state.window) {
    RefuseOldWindow(context, link, work);
    return;
  }
  if (work.backend_incarnation != state.incarnation) {
    AddTombstone(state, work.attempt, wire::refusal_reason::kOtherIncarnation);
    Refuse(context, link, work.attempt,
           wire::refusal_reason::kOtherIncarnation);
    return;
  }
  if (const auto reason = ReasonToRefuse(context, work)) {
    AddTombstone(state, work.attempt, *reason);
    Refuse(context, link, work.attempt, *reason);
    return;
  }
  Accept(context, link, work);
}

void Handle(step_context& context,
            net::link_id link,
            const wire::cancel& message) {
  agent_state& state = context.state;
  attempt* known = Find(state, message.attempt);
  if (known == nullptr) {
    // The attempt may have run and been forgotten, so the answer can't be
    // kNeverRuns. A query can get that answer, because it names the window.
    AddTombstone(state, message.attempt, wire::refusal_reason::kCancelled)
        .history_known = false;
    context.Send(
        link, wire::attempt_status{.attempt = message.attempt,
                                   .phase = wire::attempt_phase::kForgotten});
    return;
  }
  if (known->stage == attempt_stage::kQueued) {
    RefuseAttempt(context, message.attempt, wire::refusal_reason::kCancelled);
  }
  context.Send(link, wire::attempt_status{
                         .attempt = message.attempt,
                         .phase = known->history_known
                                      ? PhaseOf(known->stage)
                                      : wire::attempt_phase::kForgotten});
  // A claimed call continues: its outcome is recorded, and cancelling it would
  // make the outcome unknown.
  const bool cut = known->stage == attempt_stage::kRunning ||
                   known->stage == attempt_stage::kBroken;
  if (cut && !known->claimed) {
    const wire::outcome ran = OutcomeSoFar(*known);
    context.Emit(cancel_call{message.attempt});
    FailAttempt(context, message.attempt, wire::failure_reason::kCancelled,
                ran);
  }
}

void Handle(step_context& context,
            net::link_id link,
            const wire::query& message) {
  agent_state& state = context.state;
  wire::attempt_status answer{.attempt = message.attempt,
                              .phase = wire::attempt_phase::kForgotten};
  attempt* known = Find(state, message.attempt);
  if (known != nullptr) {
    if (known->stage != attempt_stage::kNeverRuns) {
      answer.phase = PhaseOf(known->stage);
    } else if (NeverRan(state, *known, message.backend_incarnation,
                        message.window)) {
      known->history_known = true;
      answer.phase = wire::attempt_phase::kNeverRuns;
    }
  } else if (IsWindowRetained(state, message.backend_incarnation,
                              message.window)) {
    AddTombstone(state, message.attempt, wire::refusal_reason::kQueriedBefore);
    answer.phase = wire::attempt_phase::kNeverRuns;
  }
  context.Send(link, answer);
}

void Handle(step_context& context,
            net::link_id link,
            const wire::attach& message) {
  attempt* known = Find(context.state, message.attempt);
  if (known == nullptr) {
    context.Send(
        link, wire::attempt_status{.attempt = message.attempt,
                                   .phase = wire::attempt_phase::kForgotten});
    return;
  }
  SendResponse(context, link, message.attempt, *known, message.offset);
}

void Handle(step_context& context,
            net::link_id link,
            const wire::ack& message) {
  agent_state& state = context.state;
  attempt* known = Find(state, message.attempt);
  if (known == nullptr || known->body == nullptr) {
    return;
  }
  attempt_body& body = *known->body;
  std::uint64_t lowest = body.response.end_offset;
  bool follows = false;
  for (subscriber& each : body.subscribers) {
    if (each.link == link) {
      each.acked = std::max(each.acked, message.offset);
      follows = true;
    }
    lowest = std::min(lowest, each.acked);
  }
  if (follows) {
    state.buffered_bytes -= body.response.bytes;
    DropBefore(body.response, lowest);
    state.buffered_bytes += body.response.bytes;
  }
}

template <typename Other>
void Handle(step_context& context, net::link_id link, const Other&) {
  context.Emit(close_link{link, "received a message that only agents send"});
}

}  // namespace

void HandleWork(step_context& context,
                net::link_id link,
                const wire::work_message& message) {
  std::visit(
      [&](const auto& alternative) { Handle(context, link, alternative); },
      message);
}

void HandleEntryDown(step_context& context, net::link_id link) {
  agent_state& state = context.state;
  state.reports.entry_links.erase(link);
  for (auto& [id, target] : state.attempts) {
    if (target.body == nullptr) {
      continue;
    }
    std::vector<subscriber>& links = target.body->subscribers;
    const auto erased = std::erase_if(
        links, [link](const subscriber& s) { return s.link == link; });
    if (erased > 0 && links.empty()) {
      target.body->orphan_since_us = context.now_us;
    }
  }
}

}  // namespace wisteriaroute::agent
