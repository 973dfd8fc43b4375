#include <algorithm>

#include "libwisteriaroute/agent/step_context.h"

namespace wisteriaroute::agent {

namespace {

// Slots of a backend server that reports none.
constexpr std::size_t kDefaultSlots = 64;
// Timeout of a stream that was already reopened. It is long because the whole
// group may be waiting for a decision on its expert map.
constexpr base::time_us kReopenedStreamIdleTimeoutUs = 15'000'000;

// Maximum size of `started_windows`, which also covers windows whose attempts
// are forgotten.
constexpr std::size_t kMaxStartedWindows = 256;

bool IsStarted(const attempt& target) {
  return target.stage == attempt_stage::kRunning ||
         target.stage == attempt_stage::kBroken;
}

bool IsGeneration(const attempt_body& body) {
  return body.work != nullptr && body.work->kind != wire::work_kind::kPlain;
}

void RemoveFromQueue(agent_state& state, const wire::attempt_id& id) {
  std::erase_if(state.queue,
                [&id](const auto& entry) { return entry.second == id; });
}

/**
 * Removes an attempt from the queue or the running attempts and remembers it in
 * the current window and the next one. Its buffered response is left as it is.
 */
void EndWork(step_context& context, const wire::attempt_id& id) {
  agent_state& state = context.state;
  attempt& target = state.attempts.at(id);
  state.running.erase(id);
  if (target.stage == attempt_stage::kQueued) {
    RemoveFromQueue(state, id);
  }
  RetainUntil(state, id, target, state.window);
}

void DropBody(agent_state& state, attempt& target) {
  if (target.body != nullptr) {
    state.buffered_bytes -= target.body->response.bytes;
    target.body.reset();
  }
}

/** Reopens a stalled stream once; after that fails the attempt. */
void CheckStreamIdleTimeout(step_context& context,
                            const wire::attempt_id& id,
                            attempt& target) {
  attempt_body& body = *target.body;
  const base::time_us idle_us = context.now_us - body.last_data_us;
  // Before its first token, a request may be waiting in the engine's queue.
  const bool streams = body.response.end_offset > body.work->resume_offset;
  if (!IsGeneration(body) || !streams ||
      target.stage != attempt_stage::kRunning) {
    return;
  }
  if (body.resume_count == 0 &&
      idle_us >= context.state.options.stream_idle_timeout_us) {
    ++body.resume_count;
    body.last_data_us = context.now_us;
    context.Count("agent_streams_resumed_total");
    context.Emit(cancel_call{id});
    context.Emit(start_call{.work = body.work,
                            .resume_from = body.response.end_offset,
                            .is_reconnect = true});
  } else if (body.resume_count > 0 && idle_us >= kReopenedStreamIdleTimeoutUs) {
    context.Emit(cancel_call{id});
    FailAttempt(context, id, wire::failure_reason::kTimeout,
                wire::outcome::kRan);
  }
}

void CheckStarted(step_context& context, const wire::attempt_id& id) {
  const agent_options& options = context.state.options;
  attempt& target = context.state.attempts.at(id);
  const attempt_body& body = *target.body;
  const bool orphaned =
      body.subscribers.empty() &&
      context.now_us - body.orphan_since_us >= options.orphan_timeout_us;
  const bool late = body.deadline_us != 0 && context.now_us >= body.deadline_us;
  // A claimed call continues without its caller and past its deadline, because
  // its outcome is recorded.
  const bool cut = !target.claimed && (orphaned || late);
  const bool timed_out =
      context.now_us - body.started_us >= options.call_timeout_us &&
      context.now_us - body.last_data_us >= options.call_timeout_us;
  if (cut || timed_out) {
    const wire::outcome ran = OutcomeSoFar(target);
    context.Emit(cancel_call{id});
    FailAttempt(context, id,
                late || timed_out ? wire::failure_reason::kTimeout
                                  : wire::failure_reason::kCancelled,
                ran);
    return;
  }
  CheckStreamIdleTimeout(context, id, target);
}

void CheckQueued(step_context& context, const wire::attempt_id& id) {
  const attempt_body& body = *context.state.attempts.at(id).body;
  if (body.deadline_us != 0 && context.now_us >= body.deadline_us) {
    RefuseAttempt(context, id, wire::refusal_reason::kDeadline);
  } else if (body.subscribers.empty() &&
             context.now_us - body.orphan_since_us >=
                 context.state.options.orphan_timeout_us) {
    RefuseAttempt(context, id, wire::refusal_reason::kCancelled);
  }
}

void ForgetWindow(agent_state& state, std::uint64_t window) {
  for (const wire::attempt_id& id : state.ids_by_window[window]) {
    const auto it = state.attempts.find(id);
    if (it == state.attempts.end() || it->second.retention_window != window) {
      continue;
    }
    attempt& target = it->second;
    if (IsStarted(target) || target.stage == attempt_stage::kQueued) {
      continue;  // Its end assigns it to a newer window.
    }
    DropBody(state, target);
    state.attempts.erase(it);
  }
  state.ids_by_window.erase(window);
}

}  // namespace

std::size_t SlotCount(const agent_state& state) {
  if (state.options.slots > 0) {
    return state.options.slots;
  }
  return state.reports.engine_load.slots > 0 ? state.reports.engine_load.slots
                                             : kDefaultSlots;
}

wire::outcome OutcomeSoFar(const attempt& target) {
  return target.body != nullptr && target.body->response.head
             ? wire::outcome::kRan
             : wire::outcome::kUnknown;
}

void RetainUntil(agent_state& state,
                 const wire::attempt_id& id,
                 attempt& target,
                 std::uint64_t window) {
  if (target.retention_window != window) {
    target.retention_window = window;
    state.ids_by_window[window].push_back(id);
    ++state.ids_in_window;
  }
}

void BeginWindow(step_context& context) {
  agent_state& state = context.state;
  ++state.window;
  state.window_until_us = context.now_us + state.options.window_us;
  state.ids_in_window = 0;
  while (!state.ids_by_window.empty() &&
         state.ids_by_window.begin()->first + 1 < state.window) {
    ForgetWindow(state, state.ids_by_window.begin()->first);
  }
  while (state.started_windows.size() > kMaxStartedWindows) {
    state.first_known_window = *state.started_windows.begin() + 1;
    state.started_windows.erase(state.started_windows.begin());
  }
  std::erase_if(state.finished_attempts, [&state](const wire::attempt_id& id) {
    const auto it = state.attempts.find(id);
    return it == state.attempts.end() || it->second.body == nullptr;
  });
}

void SendToSubscribers(step_context& context,
                       const attempt& target,
                       const wire::work_message& message) {
  for (const subscriber& each : target.body->subscribers) {
    context.Send(each.link, message);
  }
}

void StartQueued(step_context& context) {
  agent_state& state = context.state;
  while (!state.queue.empty() && state.running.size() < SlotCount(state) &&
         state.health.healthy) {
    const wire::attempt_id id = state.queue.begin()->second;
    state.queue.erase(state.queue.begin());
    attempt& target = state.attempts.at(id);
    target.stage = attempt_stage::kRunning;
    target.body->started_us = context.now_us;
    target.body->last_data_us = context.now_us;
    state.running.insert(id);
    state.started_windows.insert(target.body->work->window);
    context.Emit(record_event{.kind = "attempt_started",
                              .request_id = target.body->work->request_id,
                              .detail = base::ToString(id)});
    context.Emit(start_call{.work = target.body->work,
                            .resume_from = target.body->work->resume_offset});
  }
}

void RefuseAttempt(step_context& context,
                   wire::attempt_id id,
                   wire::refusal_reason reason) {
  attempt& target = context.state.attempts.at(id);
  EndWork(context, id);
  target.stage = attempt_stage::kNeverRuns;
  target.refusal = reason;
  context.Count("agent_attempts_refused_total");
  SendToSubscribers(context, target,
                    wire::refused{.attempt = id, .reason = reason});
  DropBody(context.state, target);
  StartQueued(context);
}

void FailAttempt(step_context& context,
                 wire::attempt_id id,
                 wire::failure_reason reason,
                 wire::outcome ran,
                 const std::vector<base::digest128>& ran_beside) {
  attempt& target = context.state.attempts.at(id);
  EndWork(context, id);
  target.stage = attempt_stage::kFailed;
  target.failure = reason;
  target.ran = ran;
  context.Count("agent_attempts_failed_total");
  context.Emit(record_event{.kind = "attempt_failed",
                            .request_id = target.body->work->request_id,
                            .detail = base::ToString(id)});
  SendToSubscribers(context, target,
                    wire::failed{.attempt = id,
                                 .reason = reason,
                                 .ran = ran,
                                 .ran_beside = ran_beside});
  DropBody(context.state, target);
  StartQueued(context);
}

void CheckAttempts(step_context& context) {
  const std::set<wire::attempt_id> started = context.state.running;
  for (const wire::attempt_id& id : started) {
    if (context.state.running.contains(id)) {
      CheckStarted(context, id);
    }
  }
  const auto queued = context.state.queue;
  for (const auto& [place, id] : queued) {
    if (context.state.queue.contains(place)) {
      CheckQueued(context, id);
    }
  }
}

void LimitBufferedBytes(step_context& context) {
  agent_state& state = context.state;
  while (state.buffered_bytes > state.options.max_buffered_bytes &&
         !state.finished_attempts.empty()) {
    const auto it = state.attempts.find(state.finished_attempts.front());
    state.finished_attempts.pop_front();
    if (it != state.attempts.end()) {
      DropBody(state, it->second);
    }
  }
  if (state.buffered_bytes <= state.options.max_buffered_bytes) {
    return;
  }
  // Only responses in progress are left. Drop the beginnings of the largest
  // ones until 15/16 of the limit are in use: finding the largest one scans all
  // running attempts, so this must not be necessary too often.
  const std::size_t wanted = state.options.max_buffered_bytes / 16 * 15;
  while (state.buffered_bytes > wanted) {
    response_buffer* longest = nullptr;
    for (const wire::attempt_id& id : state.running) {
      response_buffer& each = state.attempts.at(id).body->response;
      if (!each.pieces.empty() &&
          (longest == nullptr || each.bytes > longest->bytes)) {
        longest = &each;
      }
    }
    if (longest == nullptr) {
      return;
    }
    const std::size_t shorter = longest->bytes / 4 * 3;
    const std::size_t others = state.buffered_bytes - longest->bytes;
    while (longest->bytes > shorter && others + longest->bytes > wanted &&
           DropOldest(*longest)) {
    }
    state.buffered_bytes = others + longest->bytes;
  }
}

}  // namespace wisteriaroute::agent
