#include "libwisteriaroute/entry/admission.h"

#include <algorithm>
#include <cmath>

#include "libwisteriaroute/policy/admission.h"

namespace wisteriaroute::entry {

namespace {

constexpr base::time_us kRateWindowUs = 5'000'000;
// Weight of each new response in the moving average of the run time.
constexpr double kRunTimeWeight = 1.0 / 32;
constexpr std::int64_t kMaxRetryAfterS = 60;
// Cycles of workspace parents are rejected when a configuration is published;
// this bounds the walk if a faulty configuration gets through.
constexpr int kMaxWorkspaceDepth = 16;

std::vector<const config::workspace*> WorkspaceChain(const entry_state& state,
                                                     const std::string& name) {
  std::vector<const config::workspace*> chain;
  auto found = state.configuration->workspaces.find(name);
  while (found != state.configuration->workspaces.end() &&
         chain.size() < kMaxWorkspaceDepth) {
    chain.push_back(&found->second);
    found = state.configuration->workspaces.find(found->second.parent);
  }
  return chain;
}

void Refill(usage& used,
            const config::workspace& limits,
            base::time_us now_us) {
  const auto limit = static_cast<double>(limits.tokens_per_minute);
  if (!used.bucket_filled) {
    used.bucket_filled = true;
    used.tokens_left = limit;
  } else {
    used.tokens_left +=
        limit * static_cast<double>(now_us - used.refilled_us) / 60'000'000.0;
  }
  used.tokens_left = std::min(used.tokens_left, limit);
  used.refilled_us = now_us;
}

std::int64_t JitteredSeconds(step_context& step, double seconds) {
  // Adds up to 50 % so that refused callers don't all retry at the same time.
  const double factor =
      1 + static_cast<double>(NextRandom(step.state) % 1'024) / 2'048;
  return std::clamp<std::int64_t>(std::llround(std::ceil(seconds * factor)), 1,
                                  kMaxRetryAfterS);
}

double CompletionsPerS(const step_context& step, const pool& source) {
  const auto in_window =
      static_cast<double>(step.now_us - step.state.rate_window_us);
  return (source.finished_in_window + source.finished_in_last_window) * 1e6 /
         (static_cast<double>(kRateWindowUs) + in_window);
}

policy::queue_load Load(const step_context& step, const pool& source) {
  return {.waiting = source.waiting.size(),
          .completions_per_s = CompletionsPerS(step, source),
          .mean_run_us = source.mean_run_us};
}

double DrainSeconds(const step_context& step, std::string_view name) {
  const auto found = step.state.pools.find(name);
  if (found == step.state.pools.end()) {
    return 1;
  }
  return policy::DrainSeconds(Load(step, found->second));
}

std::optional<error_reply> CheckLimits(
    step_context& step,
    const request_state& request,
    const std::vector<const config::workspace*>& chain) {
  for (const config::workspace* limits : chain) {
    usage& used = step.state.usages[limits->name];
    Refill(used, *limits, step.now_us);
    if (used.open_requests >= limits->max_concurrency) {
      return error_reply{
          .status = 429,
          .code = "concurrency_limit",
          .message = "workspace '" + limits->name + "' has " +
                     std::to_string(used.open_requests) +
                     " open requests and may not open more",
          .ran = request.earlier_outcome,
          .retry_after_s = RetryAfterSeconds(step, request.pool)};
    }
    // A prompt larger than the limit per minute is accepted when the bucket is
    // full.
    const double wanted =
        std::min(static_cast<double>(request.prompt_tokens),
                 static_cast<double>(limits->tokens_per_minute));
    if (request.kind != wire::work_kind::kPlain && used.tokens_left < wanted) {
      const double wait_s = (wanted - used.tokens_left) * 60 /
                            static_cast<double>(limits->tokens_per_minute);
      return error_reply{.status = 429,
                         .code = "token_limit",
                         .message = "workspace '" + limits->name +
                                    "' has used its tokens per minute",
                         .ran = request.earlier_outcome,
                         .retry_after_s = JitteredSeconds(step, wait_s)};
    }
  }
  return std::nullopt;
}

std::optional<error_reply> CheckQueue(step_context& step,
                                      const request_state& request) {
  const auto found = step.state.pools.find(request.pool);
  const bool any =
      found != step.state.pools.end() &&
      std::any_of(found->second.agents.begin(), found->second.agents.end(),
                  [](const agent* a) { return a->is_member && !a->evacuated; });
  if (!any) {
    return error_reply{
        .status = 503,
        .code = "no_backend",
        .message = "no backend server is registered, or all are evacuated",
        .ran = request.earlier_outcome,
        .retry_after_s = JitteredSeconds(step, 2)};
  }
  if (step.state.queued >=
      static_cast<std::size_t>(step.state.settings.max_queue)) {
    return error_reply{.status = 503,
                       .code = "overloaded",
                       .message = "the queue is full",
                       .ran = request.earlier_outcome,
                       .retry_after_s = RetryAfterSeconds(step, request.pool)};
  }
  if (request.deadline_us != 0 &&
      !policy::CanMeetDeadline(
          Load(step, found->second),
          static_cast<double>(request.deadline_us - step.now_us))) {
    return error_reply{.status = 503,
                       .code = "deadline_unreachable",
                       .message = "the queue is too long to meet the deadline",
                       .ran = request.earlier_outcome,
                       .retry_after_s = RetryAfterSeconds(step, request.pool)};
  }
  return std::nullopt;
}

}  // namespace

std::optional<error_reply> Admit(step_context& step, request_state& request) {
  const auto chain = WorkspaceChain(step.state, request.workspace);
  if (auto error = CheckLimits(step, request, chain)) {
    return error;
  }
  if (auto error = CheckQueue(step, request)) {
    return error;
  }
  for (const config::workspace* limits : chain) {
    usage& used = step.state.usages[limits->name];
    ++used.open_requests;
    if (request.kind != wire::work_kind::kPlain) {
      used.tokens_left -= request.prompt_tokens;
    }
    request.charged_workspaces.push_back(limits->name);
  }
  return std::nullopt;
}

void ReleaseUsage(step_context& step, request_state& request) {
  for (const std::string& name : request.charged_workspaces) {
    usage& used = step.state.usages[name];
    --used.open_requests;
    if (request.kind != wire::work_kind::kPlain) {
      used.tokens_left -= static_cast<double>(request.response.offset);
    }
  }
  request.charged_workspaces.clear();
}

std::int64_t RetryAfterSeconds(step_context& step, std::string_view pool) {
  return JitteredSeconds(step, DrainSeconds(step, pool));
}

void CountFinished(step_context& step, const request_state& request) {
  const auto found = step.state.pools.find(request.pool);
  if (found != step.state.pools.end()) {
    pool& source = found->second;
    ++source.finished_in_window;
    if (request.current) {
      const auto run_us =
          static_cast<double>(step.now_us - request.current->started_us);
      source.mean_run_us =
          source.mean_run_us == 0
              ? run_us
              : source.mean_run_us +
                    (run_us - source.mean_run_us) * kRunTimeWeight;
    }
  }
}

void UpdateRates(step_context& step) {
  if (step.now_us - step.state.rate_window_us < kRateWindowUs) {
    return;
  }
  const bool skipped =
      step.now_us - step.state.rate_window_us >= 2 * kRateWindowUs;
  step.state.rate_window_us = step.now_us;
  for (auto& [name, each] : step.state.pools) {
    each.finished_in_last_window = skipped ? 0 : each.finished_in_window;
    each.finished_in_window = 0;
  }
}

}  // namespace wisteriaroute::entry
