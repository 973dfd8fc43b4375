#include <algorithm>

#include "libwisteriaroute/agent/step_context.h"

namespace wisteriaroute::agent {

namespace {

constexpr base::time_us kGroupPollUs = 250'000;
constexpr base::time_us kStagingPollUs = 100'000;
constexpr base::time_us kGroupReportUs = 1'000'000;
// Results that are stored to answer repeated orders. Repeats of older orders
// are refused, because their fencing number is lower than that of later orders.
constexpr std::size_t kMaxStoredAnswers = 256;

bool IsPending(const order_state& orders, std::uint64_t order_id) {
  return orders.staging.contains(order_id) ||
         std::ranges::any_of(orders.waiting, [order_id](const wire::order& o) {
           return o.order_id == order_id;
         });
}

void Answer(step_context& context, wire::order_result answer) {
  order_state& orders = context.state.orders;
  orders.answers[answer.order_id] = answer;
  orders.answered_ids.push_back(answer.order_id);
  if (orders.answered_ids.size() > kMaxStoredAnswers) {
    orders.answers.erase(orders.answered_ids.front());
    orders.answered_ids.pop_front();
  }
  context.Emit(record_event{
      .kind = "order_answered",
      .detail = "order " + std::to_string(answer.order_id) + " result " +
                std::to_string(static_cast<int>(answer.result)) + " " +
                answer.message});
  context.Emit(send_control{std::move(answer)});
}

wire::order_result FencedResult(const wire::order& refused) {
  return {.order_id = refused.order_id,
          .fencing = refused.fencing,
          .result = wire::order_status::kFenced,
          .message = "the agent has seen a higher fencing number"};
}

/** Sends the next order to the backend server unless one is in progress. */
void ForwardNext(step_context& context) {
  order_state& orders = context.state.orders;
  while (!orders.in_progress && !orders.waiting.empty()) {
    const wire::order& next = orders.waiting.front();
    if (next.fencing.term < orders.highest_fencing.term) {
      // The leader that sent the order was replaced while the order waited.
      context.Emit(send_control{FencedResult(next)});
      orders.waiting.pop_front();
      continue;
    }
    orders.in_progress = true;
    context.Emit(forward_order{next});
  }
}

void RecordLoadedModel(agent_state& state, const wire::order& done) {
  if (done.kind == wire::order_kind::kLoadModel &&
      std::ranges::count(state.reports.models, done.name) == 0) {
    state.reports.models.push_back(done.name);
    state.reports.models_changed = true;
  }
}

void AddTokens(std::vector<std::uint32_t>& sums,
               const std::vector<std::uint32_t>& added) {
  if (sums.size() != added.size()) {
    sums.assign(added.size(), 0);  // The number of layers or experts changed.
  }
  for (std::size_t i = 0; i < added.size(); ++i) {
    sums[i] += added[i];
  }
}

/** Answers stage orders whose copy completed or cannot complete any more. */
void AnswerStaged(step_context& context, const wire::group_report& report) {
  order_state& orders = context.state.orders;
  std::vector<std::uint64_t> ready;
  for (const auto& [id, staged] : orders.staging) {
    if (report.generation != staged.generation ||
        report.staged_epoch >= staged.epoch) {
      ready.push_back(id);
    }
  }
  for (const std::uint64_t id : ready) {
    pending_stage_order staged = std::move(orders.staging.extract(id).mapped());
    staged.answer.step = report.step;
    if (report.generation != staged.generation) {
      staged.answer.result = wire::order_status::kFailed;
      staged.answer.message = "the group was formed again";
    }
    Answer(context, std::move(staged.answer));
  }
}

}  // namespace

void HandleOrder(step_context& context, const wire::order& received) {
  order_state& orders = context.state.orders;
  const auto known = orders.answers.find(received.order_id);
  if (known != orders.answers.end()) {
    // A new leader repeats the order with its own term, which may be higher.
    orders.highest_fencing = std::max(orders.highest_fencing, received.fencing);
    context.Emit(send_control{known->second});
    return;
  }
  if (!orders.fencing_known || IsPending(orders, received.order_id)) {
    return;  // Control repeats the order until it gets an answer.
  }
  if (received.fencing < orders.highest_fencing) {
    context.Count("agent_orders_fenced_total");
    context.Emit(
        record_event{.kind = "order_fenced",
                     .detail = "order " + std::to_string(received.order_id),
                     .state_change = true});
    context.Emit(send_control{FencedResult(received)});
    return;
  }
  orders.highest_fencing = received.fencing;
  orders.waiting.push_back(received);
  ForwardNext(context);
}

void Handle(step_context& context, const order_answered& event) {
  order_state& orders = context.state.orders;
  if (!orders.in_progress ||
      orders.waiting.front().order_id != event.order_id) {
    return;
  }
  const wire::order forwarded = std::move(orders.waiting.front());
  orders.waiting.pop_front();
  orders.in_progress = false;
  if (!event.never_sent) {
    wire::order_result answer{.order_id = forwarded.order_id,
                              .fencing = forwarded.fencing,
                              .result = event.result,
                              .step = event.step,
                              .message = event.message};
    const bool done = event.result == wire::order_status::kDone;
    if (done) {
      RecordLoadedModel(context.state, forwarded);
    }
    if (done && forwarded.kind == wire::order_kind::kStageMap) {
      orders.staging[forwarded.order_id] = {.answer = std::move(answer),
                                            .generation = forwarded.generation,
                                            .epoch = forwarded.epoch};
    } else {
      Answer(context, std::move(answer));
    }
    orders.next_poll_us = context.now_us;
  }
  ForwardNext(context);
}

void Handle(step_context& context, const group_result& event) {
  agent_state& state = context.state;
  order_state& orders = state.orders;
  if (!event.ok) {
    return;
  }
  wire::group_report report = event.report;
  report.group = state.options.group;
  report.rank = state.options.rank;
  report.backend_incarnation = state.incarnation;
  AnswerStaged(context, report);
  AddTokens(orders.expert_tokens, report.expert_tokens);
  const wire::group_report& last = orders.last_report;
  const bool changed = report.generation != last.generation ||
                       report.map_epoch != last.map_epoch ||
                       report.staged_epoch != last.staged_epoch ||
                       report.backend_incarnation != last.backend_incarnation;
  if (!state.options.group.empty() &&
      (changed || context.now_us >= orders.next_report_us)) {
    orders.next_report_us = context.now_us + kGroupReportUs;
    report.expert_tokens = std::move(orders.expert_tokens);
    orders.expert_tokens.clear();
    orders.last_report = report;
    orders.last_report.expert_tokens.clear();
    context.Emit(send_control{std::move(report)});
  }
}

void CheckGroup(step_context& context) {
  agent_state& state = context.state;
  order_state& orders = state.orders;
  const bool wanted = !state.options.group.empty() || !orders.staging.empty();
  if (wanted && state.health.healthy && context.now_us >= orders.next_poll_us) {
    orders.next_poll_us =
        context.now_us +
        (orders.staging.empty() ? kGroupPollUs : kStagingPollUs);
    context.Emit(poll_backend{.kind = poll_kind::kGroup});
  }
}

void FailPendingStageOrders(step_context& context) {
  std::map<std::uint64_t, pending_stage_order> lost;
  lost.swap(context.state.orders.staging);
  for (auto& [id, staged] : lost) {
    staged.answer.result = wire::order_status::kFailed;
    staged.answer.message = "the backend server was lost";
    Answer(context, std::move(staged.answer));
  }
}

}  // namespace wisteriaroute::agent
