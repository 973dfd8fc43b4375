#include "libwisteriaroute/entry/quarantine.h"

#include <algorithm>

#include "libwisteriaroute/entry/queue.h"
#include "libwisteriaroute/entry/respond.h"

namespace wisteriaroute::entry {

error_reply QuarantinedError() {
  return {.status = 422,
          .code = "request_quarantined",
          .message = "backend servers failed while they ran this request"};
}

bool IsQuarantined(const entry_state& state, const request& of) {
  const auto found = state.quarantine.find(of.fingerprint);
  return found != state.quarantine.end() &&
         (found->second.state == wire::quarantine_state::kQuarantined ||
          found->second.crashes >= kMaxCrashes);
}

void MarkSuspect(const entry_state& state, request& of) {
  const auto found = state.quarantine.find(of.fingerprint);
  if (found != state.quarantine.end()) {
    of.suspect = true;
    of.crashes = std::max(of.crashes, found->second.crashes);
  }
}

void NoteCrash(step_context& step,
               request& of,
               std::span<const base::digest128> ran_beside) {
  agent* at = FindAgent(step.state, of.current->agent);
  if (!of.suspect && at != nullptr) {
    ++at->suspects;
  }
  of.suspect = true;
  ++of.crashes;
  const bool alone = std::none_of(
      ran_beside.begin(), ran_beside.end(), [&](const base::digest128& other) {
        return other != of.fingerprint && step.state.quarantine.contains(other);
      });
  // Control decides the same from the agents' reports; until its update is
  // here, resends must not reach a third server.
  wire::quarantine_entry& entry = step.state.quarantine[of.fingerprint];
  entry.fingerprint = of.fingerprint;
  entry.crashes = std::max(entry.crashes, of.crashes);
  if (of.crashes >= kMaxCrashes && alone) {
    entry.state = wire::quarantine_state::kQuarantined;
  }
  Note(step, of, "suspect", of.current->agent, std::to_string(of.crashes));
  step.Emit(count_metric{"wisteriaroute_suspects_total"});
}

void NoteSurvived(step_context& step, request& of) {
  if (!of.suspect) {
    return;
  }
  step.state.quarantine.erase(of.fingerprint);
  Note(step, of, "suspect_cleared");
  step.Emit(send_control{wire::suspect_cleared{of.fingerprint}});
}

void HandleQuarantineUpdate(step_context& step,
                            const wire::quarantine_update& update) {
  auto& quarantine = step.state.quarantine;
  if (update.full) {
    quarantine.clear();
  }
  for (const wire::quarantine_entry& changed : update.changed) {
    quarantine[changed.fingerprint] = changed;
  }
  for (const base::digest128& removed : update.removed) {
    quarantine.erase(removed);
  }
  std::vector<std::uint64_t> waiting;
  for (auto& [number, of] : step.state.requests) {
    if (of.phase != request_phase::kQueued) {
      continue;
    }
    MarkSuspect(step.state, of);
    if (IsQuarantined(step.state, of)) {
      waiting.push_back(number);
    }
  }
  for (const std::uint64_t number : waiting) {
    if (request* of = FindRequest(step.state, number)) {
      error_reply error = QuarantinedError();
      error.ran = Outcome(*of);
      RespondError(step, *of, error);
      Close(step, *of);
    }
  }
}

}  // namespace wisteriaroute::entry
