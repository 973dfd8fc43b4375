#include <algorithm>

#include "libwisteriaroute/agent/step_context.h"

namespace wisteriaroute::agent {

namespace {

constexpr base::time_us kLoadPeriodUs = 100'000;
constexpr base::time_us kCachePeriodUs = 500'000;
// Maximum number of cached blocks that are reported on a new link.
constexpr std::size_t kMaxCachedBlocks = 16'384;

wire::agent_state CurrentState(const step_context& context) {
  const agent_state& state = context.state;
  return {.name = state.options.name,
          .backend_incarnation = state.incarnation,
          .window = state.window,
          .healthy = state.health.healthy,
          .leaving = state.stopping || state.drained,
          .accepting = IsAccepting(state, context.now_us),
          .models = state.reports.models};
}

bool SameState(const step_context& context) {
  const agent_state& state = context.state;
  const wire::agent_state& last = state.reports.last_state;
  return !state.reports.models_changed &&
         last.backend_incarnation == state.incarnation &&
         last.window == state.window && last.healthy == state.health.healthy &&
         last.leaving == (state.stopping || state.drained) &&
         last.accepting == IsAccepting(state, context.now_us);
}

/**
 * The engine's load report with the agent's own request counts, which are up to
 * date: the agent is the engine's only client.
 */
wire::load_report CurrentLoad(const agent_state& state) {
  wire::load_report load = state.reports.engine_load;
  const std::size_t slots = SlotCount(state);
  const std::size_t all = state.running.size() + state.queue.size();
  load.slots = static_cast<std::uint32_t>(slots);
  load.running = static_cast<std::uint32_t>(std::min(all, slots));
  load.queued = static_cast<std::uint32_t>(all - load.running);
  return load;
}

bool SameLoad(wire::load_report a, const wire::load_report& b) {
  a.age_ms = b.age_ms;
  return a == b;
}

void ReportLoad(step_context& context) {
  report_state& reports = context.state.reports;
  const wire::load_report load = CurrentLoad(context.state);
  if (context.now_us < reports.next_load_report_us ||
      SameLoad(load, reports.last_load)) {
    return;
  }
  reports.next_load_report_us = context.now_us + kLoadPeriodUs;
  reports.last_load = load;
  for (const net::link_id link : reports.entry_links) {
    context.Send(link, load);
  }
}

void UpdateMember(step_context& context) {
  const agent_state& state = context.state;
  report_state& reports = context.state.reports;
  const bool ready = state.health.healthy && !state.stopping;
  const wire::backend_info& last = reports.last_member.backend;
  if (reports.member_sent && !reports.models_changed &&
      last.incarnation == state.incarnation && last.window == state.window &&
      last.healthy == state.health.healthy &&
      reports.last_member.leaving == state.stopping &&
      reports.last_member.revision == state.revision &&
      reports.last_member.ready == ready) {
    return;
  }
  reports.member_sent = true;
  reports.last_member =
      update_member{.backend = {.class_name = state.options.class_name,
                                .service = state.options.service,
                                .group = state.options.group,
                                .rank = state.options.rank,
                                .incarnation = state.incarnation,
                                .window = state.window,
                                .healthy = state.health.healthy,
                                .models = reports.models},
                    .leaving = state.stopping,
                    .revision = state.revision,
                    .ready = ready};
  context.Emit(reports.last_member);
}

}  // namespace

void SendInitialReports(step_context& context, net::link_id link) {
  report_state& reports = context.state.reports;
  context.Send(link, CurrentState(context));
  context.Send(link, CurrentLoad(context.state));
  if (!reports.cached_blocks.empty()) {
    context.Send(link, wire::cache_hint{.sequence = reports.cache_sequence,
                                        .added = {reports.cached_blocks.begin(),
                                                  reports.cached_blocks.end()},
                                        .reset = true});
  }
}

void Handle(step_context& context, const load_result& event) {
  if (event.ok) {
    context.state.reports.engine_load = event.load;
    StartQueued(context);
    ReportLoad(context);
  }
}

void Handle(step_context& context, const cache_result& event) {
  report_state& reports = context.state.reports;
  wire::cache_hint hint;
  for (const cache_change& change : event.changes) {
    if (change.sequence <= reports.cache_sequence) {
      continue;  // Already received with an overlapping poll.
    }
    if (change.sequence != reports.cache_sequence + 1) {
      // Events are missing and may include removals: start over.
      hint = {.reset = true};
      reports.cached_blocks.clear();
    }
    reports.cache_sequence = change.sequence;
    (change.added ? hint.added : hint.removed).push_back(change.block);
    if (!change.added) {
      reports.cached_blocks.erase(change.block);
      std::erase(hint.added, change.block);
    } else if (reports.cached_blocks.size() < kMaxCachedBlocks) {
      reports.cached_blocks.insert(change.block);
    }
  }
  if (hint.added.empty() && hint.removed.empty() && !hint.reset) {
    return;
  }
  hint.sequence = reports.cache_sequence;
  for (const net::link_id link : reports.entry_links) {
    context.Send(link, hint);
  }
}

void CheckReports(step_context& context) {
  agent_state& state = context.state;
  report_state& reports = state.reports;
  if (reports.entry_links.empty()) {
    return;
  }
  ReportLoad(context);
  if (!state.options.engine || !state.health.healthy) {
    return;
  }
  if (context.now_us >= reports.next_load_poll_us) {
    reports.next_load_poll_us = context.now_us + kLoadPeriodUs;
    context.Emit(poll_backend{.kind = poll_kind::kLoad});
  }
  if (context.now_us >= reports.next_cache_poll_us) {
    reports.next_cache_poll_us = context.now_us + kCachePeriodUs;
    context.Emit(poll_backend{.kind = poll_kind::kCache,
                              .number = reports.cache_sequence});
  }
}

void ReportState(step_context& context) {
  report_state& reports = context.state.reports;
  if (!SameState(context)) {
    reports.last_state = CurrentState(context);
    for (const net::link_id link : reports.entry_links) {
      context.Send(link, reports.last_state);
    }
  }
  UpdateMember(context);
  reports.models_changed = false;
}

}  // namespace wisteriaroute::agent
