#include <algorithm>

#include "tests/agent/agent_world.h"

namespace wisteriaroute::agent {

namespace {

constexpr base::time_us kTickUs = 250'000;
constexpr base::time_us kLeaseUs = 2'500'000;

agent_options Options() {
  return {.name = "agent-1",
          .service = "desk",
          .engine = true,
          .slots = 3,
          .queue = 3,
          .window_us = 2'000'000,
          .orphan_timeout_us = 1'000'000,
          .call_timeout_us = 8'000'000,
          .stream_idle_timeout_us = 1'500'000,
          .tail_bytes = 4'096,
          .max_buffered_bytes = 12'000};
}

bool Plain(const wire::submit& work) {
  return work.kind == wire::work_kind::kPlain;
}

}  // namespace

std::string BlockText(const wire::submit& work, std::uint64_t index) {
  // Offsets of plain bodies count bytes, so each block is one byte long.
  return Plain(work) ? std::string(1, static_cast<char>('a' + index % 26))
                     : std::to_string(work.attempt.low) + "." +
                           std::to_string(index) + " ";
}

agent_world::agent_world() {
  Restart();
  Advance(1'000'000);
}

void agent_world::Restart() {
  state_ = StartAgent(Options(), seed_++ * 7'919, now_us_);
  active_.clear();
  pending_polls_.clear();
  ++link_;
  Step(entry_up{link_});
}

void agent_world::Step(const agent_event& event) {
  const std::vector<agent_effect> effects = agent::Step(state_, event, now_us_);
  for (const agent_effect& effect : effects) {
    std::visit([this](const auto& alternative) { Observe(alternative); },
               effect);
  }
  CheckBounds();
}

void agent_world::CheckBounds() const {
  std::size_t bytes = 0;
  for (const auto& [id, target] : state_.attempts) {
    bytes += target.body != nullptr ? target.body->response.bytes : 0;
  }
  RC_ASSERT(bytes == state_.buffered_bytes);
  RC_ASSERT(state_.buffered_bytes <= Options().max_buffered_bytes);
}

void agent_world::Observe(const start_call& effect) {
  const wire::attempt_id& id = effect.work->attempt;
  fake_call& call = calls_[id];
  if (!effect.is_reconnect) {
    RC_ASSERT(call.starts == 0);
    ++call.starts;
    ++call.executions;
    ++executions_by_key_[effect.work->request_id];
    RC_ASSERT(executions_by_key_[effect.work->request_id] == 1);
  }
  RC_ASSERT(never_run_.count(id) == 0);
  RC_ASSERT(!effect.is_reconnect || !Plain(*effect.work));
  call.produced = effect.resume_from;
  active_.insert(id);
  RC_ASSERT(std::count_if(active_.begin(), active_.end(),
                          [&](const wire::attempt_id& each) {
                            return attempts_[each.low].work.isolated;
                          }) <= 1);
}

void agent_world::Observe(const cancel_call& effect) {
  active_.erase(effect.attempt);
}

void agent_world::Observe(const poll_backend& effect) {
  if (effect.kind == poll_kind::kHealth) {
    pending_polls_.push_back(effect.number);
  }
}

void agent_world::Observe(const send_work& effect) {
  if (effect.link != link_) {
    return;  // The link is down.
  }
  std::visit([this](const auto& message) { Receive(message); }, effect.message);
}

void agent_world::Receive(const wire::agent_state& message) {
  known_ = message;
}

void agent_world::Receive(const wire::chunk& message) {
  entry_attempt& known = attempts_[message.attempt.low];
  const std::uint64_t count =
      message.token_count > 0 ? message.token_count : message.data.size();
  RC_ASSERT(message.offset <= known.offset);
  if (message.offset + count <= known.offset) {
    return;
  }
  const std::uint64_t skipped = known.offset - message.offset;
  RC_ASSERT(skipped == 0 || message.token_count == 0);
  known.text += message.data.substr(skipped);
  known.offset = message.offset + count;
}

void agent_world::Receive(const wire::finish& message) {
  entry_attempt& known = attempts_[message.attempt.low];
  RC_ASSERT(message.end_offset == known.offset);
  std::string expected;
  for (std::uint64_t i = known.work.resume_offset; i < message.end_offset;
       ++i) {
    expected += BlockText(known.work, i);
  }
  RC_ASSERT(known.text == expected);
  RC_ASSERT(calls_[message.attempt].end == message.end_offset);
  known.finished = true;
}

void agent_world::Receive(const wire::refused& message) {
  NeverRan(message.attempt);
}

void agent_world::Receive(const wire::attempt_status& message) {
  if (message.phase == wire::attempt_phase::kNeverRuns) {
    NeverRan(message.attempt);
  }
}

void agent_world::NeverRan(const wire::attempt_id& id) {
  RC_ASSERT(calls_[id].executions == 0);
  never_run_.insert(id);
}

entry_attempt* agent_world::Pick(int which) {
  return attempts_.empty()
             ? nullptr
             : &attempts_[static_cast<std::size_t>(which) % attempts_.size()];
}

void agent_world::Deliver(wire::work_message message) {
  Step(entry_received{link_, std::move(message)});
}

void agent_world::Submit(const action& next) {
  wire::submit work{.attempt = {.high = 1, .low = attempts_.size()},
                    .request_id = "key-" + std::to_string(attempts_.size()),
                    .kind = next.how % 2 == 0 ? wire::work_kind::kPlain
                                              : wire::work_kind::kCompletion,
                    .backend_incarnation = known_.backend_incarnation,
                    .window = known_.window,
                    .claimed = next.how % 4 == 0,
                    .priority = static_cast<std::uint8_t>(next.which % 3),
                    .deadline_ms = next.which % 7 == 0 ? 700 : 0,
                    .isolated = next.how % 5 == 1};
  if (!Plain(work) && next.which % 3 == 0) {
    work.resume_offset = 5;
  }
  attempts_.push_back({.work = work, .text = {}, .offset = work.resume_offset});
  // One in five is not delivered now; Entry() may deliver it later.
  if (next.which % 5 != 0) {
    Deliver(work);
  }
}

void agent_world::Entry(const action& next) {
  entry_attempt* known = Pick(next.which);
  if (known == nullptr) {
    return;
  }
  const wire::submit work = known->work;
  switch (next.how % 6) {
    case 0:
    case 1:
      // A submit that is late, repeated or out of order.
      Deliver(work);
      break;
    case 2:
      Deliver(wire::query{.attempt = work.attempt,
                          .backend_incarnation = work.backend_incarnation,
                          .window = work.window});
      break;
    case 3:
      Deliver(wire::cancel{work.attempt});
      break;
    case 4:
      Deliver(wire::attach{work.attempt, known->offset});
      break;
    default:
      Deliver(wire::ack{work.attempt, known->offset});
  }
}

void agent_world::Produce(const wire::attempt_id& id, std::uint64_t count) {
  const wire::submit& work = attempts_[id.low].work;
  fake_call& call = calls_[id];
  std::string data;
  for (std::uint64_t i = 0; i < count; ++i) {
    data += BlockText(work, call.produced++);
  }
  Step(call_data{
      .attempt = id,
      .token_count = Plain(work) ? 0 : static_cast<std::uint32_t>(count),
      .data = data});
}

void agent_world::EngineEvent(const action& next) {
  if (active_.empty()) {
    return;
  }
  auto it = active_.begin();
  std::advance(it, static_cast<std::size_t>(next.which) % active_.size());
  const wire::attempt_id id = *it;
  fake_call& call = calls_[id];
  switch (next.how % 12) {
    case 0:
      active_.erase(id);
      if (call.produced == attempts_[id.low].work.resume_offset) {
        --call.executions;
        --executions_by_key_[attempts_[id.low].work.request_id];
        Step(call_failed{id, call_failure::kNeverSent});
      } else {
        Step(call_failed{id, call_failure::kBroken});
      }
      break;
    case 1:
      active_.erase(id);
      Step(call_failed{id, next.which % 2 == 0 ? call_failure::kBroken
                                               : call_failure::kMalformed});
      break;
    case 2:
    case 3:
    case 4:
      active_.erase(id);
      call.end = call.produced;
      Step(call_finished{.attempt = id});
      break;
    case 5:
      Produce(id, 900);
      break;
    default:
      if (next.how % 3 == 0) {
        Step(call_head{.attempt = id, .status = 200});
      }
      Produce(id, 1 + static_cast<std::uint64_t>(next.how) % 5);
  }
}

void agent_world::Environment(const action& next) {
  switch (next.how % 12) {
    case 0:
      Restart();
      break;
    case 1:
      ++instance_;
      break;
    case 2:
      backend_up_ = !backend_up_;
      break;
    case 3:
      connected_ = !connected_;
      break;
    case 4:
    case 5:
      // The link is replaced; messages in flight on the old one are lost.
      Step(entry_down{link_});
      ++link_;
      Step(entry_up{link_});
      for (const entry_attempt& known : std::vector(attempts_)) {
        if (next.which % 2 == 0 && !known.finished) {
          Deliver(wire::attach{known.work.attempt, known.offset});
        }
      }
      break;
    case 6:
      Step(control_received{
          wire::member_update{.drained = {"agent-1", "agent-2"}}});
      break;
    case 7:
      Step(control_received{wire::member_update{}});
      break;
    default:
      Advance(next.how % 3 == 0 ? 2'200'000 : 300'000);
  }
}

void agent_world::Advance(base::time_us duration_us) {
  for (base::time_us done = 0; done < duration_us; done += kTickUs) {
    now_us_ += kTickUs;
    if (connected_) {
      Step(lease_extended{now_us_ + kLeaseUs, {1, 1}});
    }
    Step(tick{});
    std::vector<std::uint64_t> polls;
    polls.swap(pending_polls_);
    for (const std::uint64_t poll : polls) {
      Step(health_result{.poll = poll,
                         .ok = backend_up_,
                         .refused = !backend_up_,
                         .instance = std::to_string(instance_)});
    }
  }
}

void agent_world::Run(const action& next) {
  switch (next.kind % 8) {
    case 0:
    case 1:
      Submit(next);
      break;
    case 2:
    case 3:
      Entry(next);
      break;
    case 4:
    case 5:
    case 6:
      EngineEvent(next);
      break;
    default:
      Environment(next);
  }
}

void agent_world::Settle() {
  backend_up_ = connected_ = true;
  Advance(1'000'000);
  while (!active_.empty()) {
    const wire::attempt_id id = *active_.begin();
    active_.erase(id);
    calls_[id].end = calls_[id].produced;
    Step(call_finished{.attempt = id});
  }
  RC_ASSERT(state_.running.empty());
}

}  // namespace wisteriaroute::agent
