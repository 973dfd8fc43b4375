#include "libwisteriaroute/entry/admission.h"

#include <algorithm>
#include <cmath>

#include "libwisteriaroute/policy/admission.h"

namespace wisteriaroute::entry {

namespace {

constexpr base::time_us kRateWindowUs = 5'000'000;
// Weight of one more answer in the mean run time.
constexpr double kRunWeight = 1.0 / 32;
constexpr std::int64_t kMaxRetryAfterS = 60;
// Parents of workspaces are checked for cycles when published; this bounds
// the walk if a faulty set gets through.
constexpr int kMaxParents = 16;

std::vector<const config::workspace*> Chain(const entry_state& state,
                                            const std::string& name) {
  std::vector<const config::workspace*> chain;
  auto found = state.configuration->workspaces.find(name);
  while (found != state.configuration->workspaces.end() &&
         chain.size() < kMaxParents) {
    chain.push_back(&found->second);
    found = state.configuration->workspaces.find(found->second.parent);
  }
  return chain;
}

void Refill(usage& of, const config::workspace& limits, base::time_us now_us) {
  const auto limit = static_cast<double>(limits.tokens_per_minute);
  if (!of.started) {
    of.started = true;
    of.tokens = limit;
  } else {
    of.tokens +=
        limit * static_cast<double>(now_us - of.refilled_us) / 60'000'000.0;
  }
  of.tokens = std::min(of.tokens, limit);
  of.refilled_us = now_us;
}

std::int64_t Spread(step_context& step, double seconds) {
  // Up to half more, so that refused callers don't all return together.
  const double factor =
      1 + static_cast<double>(NextRandom(step.state) % 1'024) / 2'048;
  return std::clamp<std::int64_t>(std::llround(std::ceil(seconds * factor)), 1,
                                  kMaxRetryAfterS);
}

double FinishedPerS(const step_context& step, const pool& of) {
  const auto in_window =
      static_cast<double>(step.now_us - step.state.rate_window_us);
  return (of.finished + of.finished_before) * 1e6 /
         (static_cast<double>(kRateWindowUs) + in_window);
}

policy::queue_load Load(const step_context& step, const pool& of) {
  return {.waiting = of.waiting.size(),
          .completions_per_s = FinishedPerS(step, of),
          .mean_run_us = of.run_us};
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
    const request& of,
    const std::vector<const config::workspace*>& chain) {
  for (const config::workspace* limits : chain) {
    usage& used = step.state.usages[limits->name];
    Refill(used, *limits, step.now_us);
    if (used.open_requests >= limits->max_concurrency) {
      return error_reply{.status = 429,
                         .code = "concurrency_limit",
                         .message = "workspace '" + limits->name + "' has " +
                                    std::to_string(used.open_requests) +
                                    " open requests",
                         .ran = of.settled,
                         .retry_after_s = RetryAfter(step, of.pool)};
    }
    // A prompt above the limit of a minute is taken when the bucket is full.
    const double wanted =
        std::min(static_cast<double>(of.prompt_tokens),
                 static_cast<double>(limits->tokens_per_minute));
    if (of.kind != wire::work_kind::kPlain && used.tokens < wanted) {
      const double wait_s = (wanted - used.tokens) * 60 /
                            static_cast<double>(limits->tokens_per_minute);
      return error_reply{.status = 429,
                         .code = "token_limit",
                         .message = "workspace '" + limits->name +
                                    "' has used its tokens per minute",
                         .ran = of.settled,
                         .retry_after_s = Spread(step, wait_s)};
    }
  }
  return std::nullopt;
}

std::optional<error_reply> CheckQueue(step_context& step, const request& of) {
  const auto found = step.state.pools.find(of.pool);
  const bool any =
      found != step.state.pools.end() &&
      std::any_of(found->second.agents.begin(), found->second.agents.end(),
                  [](const agent* a) { return a->is_member; });
  if (!any) {
    return error_reply{.status = 503,
                       .code = "no_backend",
                       .message = "no backend server is registered",
                       .ran = of.settled,
                       .retry_after_s = Spread(step, 2)};
  }
  if (step.state.queued >=
      static_cast<std::size_t>(step.state.settings.max_queue)) {
    return error_reply{.status = 503,
                       .code = "overloaded",
                       .message = "the queue is full",
                       .ran = of.settled,
                       .retry_after_s = RetryAfter(step, of.pool)};
  }
  if (of.deadline_us != 0 &&
      !policy::CanMeetDeadline(
          Load(step, found->second),
          static_cast<double>(of.deadline_us - step.now_us))) {
    return error_reply{.status = 503,
                       .code = "deadline_unreachable",
                       .message = "the queue is longer than the deadline",
                       .ran = of.settled,
                       .retry_after_s = RetryAfter(step, of.pool)};
  }
  return std::nullopt;
}

}  // namespace

std::optional<error_reply> Admit(step_context& step, request& of) {
  const auto chain = Chain(step.state, of.workspace);
  if (auto error = CheckLimits(step, of, chain)) {
    return error;
  }
  if (auto error = CheckQueue(step, of)) {
    return error;
  }
  for (const config::workspace* limits : chain) {
    usage& used = step.state.usages[limits->name];
    ++used.open_requests;
    if (of.kind != wire::work_kind::kPlain) {
      used.tokens -= of.prompt_tokens;
    }
    of.charged.push_back(limits->name);
  }
  return std::nullopt;
}

void ReleaseUsage(step_context& step, request& of) {
  for (const std::string& name : of.charged) {
    usage& used = step.state.usages[name];
    --used.open_requests;
    if (of.kind != wire::work_kind::kPlain) {
      used.tokens -= static_cast<double>(of.response.offset);
    }
  }
  of.charged.clear();
}

std::int64_t RetryAfter(step_context& step, std::string_view pool) {
  return Spread(step, DrainSeconds(step, pool));
}

void CountFinished(step_context& step, const request& of) {
  const auto found = step.state.pools.find(of.pool);
  if (found != step.state.pools.end()) {
    pool& in = found->second;
    ++in.finished;
    if (of.current) {
      const auto run_us =
          static_cast<double>(step.now_us - of.current->started_us);
      in.run_us = in.run_us == 0
                      ? run_us
                      : in.run_us + (run_us - in.run_us) * kRunWeight;
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
  for (auto& [name, of] : step.state.pools) {
    of.finished_before = skipped ? 0 : of.finished;
    of.finished = 0;
  }
}

}  // namespace wisteriaroute::entry
