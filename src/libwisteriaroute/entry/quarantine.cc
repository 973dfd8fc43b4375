#include "libwisteriaroute/entry/quarantine.h"

#include <algorithm>

#include "libwisteriaroute/entry/queue.h"
#include "libwisteriaroute/entry/respond.h"
#include "libwisteriaroute/policy/crash_evidence.h"

namespace wisteriaroute::entry {

namespace {

// A suspect may be assigned no server because the suspects with higher hashes
// are never sent again. After this time it may run at any server that runs no
// other suspect.
constexpr base::time_us kIsolationWaitUs = 1'500'000;
constexpr std::size_t kMaxRecentCrashes = 64;
constexpr base::time_us kUsPerMs = 1'000;

std::uint64_t RendezvousHash(const base::digest128& suspect,
                             const agent& peer) {
  return base::Hash64(peer.member.name, suspect.high ^ suspect.low);
}

// The requests among `ran_beside` that were suspects before this crash. If
// there are none, all of `ran_beside` become suspects. The first report of a
// crash decides, because the quarantine list has changed when the later ones
// arrive.
const std::vector<base::digest128>& SuspectsBeforeCrash(
    step_context& step,
    const attempt& lost,
    std::span<const base::digest128> ran_beside) {
  auto& crashes = step.state.recent_crashes;
  const auto same = [&](const crash& each) {
    return each.agent == lost.agent &&
           each.backend_incarnation == lost.backend_incarnation;
  };
  const auto found = std::find_if(crashes.begin(), crashes.end(), same);
  if (found != crashes.end()) {
    return found->suspects_before;
  }
  crash added{lost.agent, lost.backend_incarnation, {}};
  for (const base::digest128& each : ran_beside) {
    if (step.state.quarantine.contains(each)) {
      added.suspects_before.push_back(each);
    }
  }
  if (added.suspects_before.empty()) {
    for (const base::digest128& each : ran_beside) {
      step.state.quarantine[each] = {.fingerprint = each, .crashes = 1};
    }
  }
  if (crashes.size() >= kMaxRecentCrashes) {
    crashes.pop_front();
  }
  crashes.push_back(std::move(added));
  return crashes.back().suspects_before;
}

// No two requests may be alike that crash servers with a message they share, so
// control looks for what the crashes have in common.
void ReportSharedMessages(step_context& step, const request_state& request) {
  if (request.shared_messages.empty() || request.response.offset > 0) {
    return;
  }
  wire::suspect_request suspect{.fingerprint = request.fingerprint};
  for (const base::digest128& message : request.shared_messages) {
    const bool answered = step.state.answered_parts.Find(message).has_value();
    suspect.parts.push_back({.fingerprint = message, .answered = answered});
  }
  const base::digest128 id = policy::CrashId(
      request.current->agent, request.current->backend_incarnation);
  auto& reported = step.state.reported_crashes;
  if (reported.size() >= policy::kMaxReportedCrashes) {
    reported.erase(reported.begin());
  }
  reported.push_back({.id = id,
                      .at_ms = step.now_us / kUsPerMs,
                      .suspects = {std::move(suspect)}});
  step.Emit(send_control{wire::crash_reports{
      {policy::MakeReport(reported.back(), step.now_us / kUsPerMs)}}});
}

void HandlePart(step_context& step, const wire::quarantine_entry& part) {
  step.state.suspect_parts[part.fingerprint] = part;
  const auto answered_us = step.state.answered_parts.Find(part.fingerprint);
  if (answered_us) {
    step.Emit(send_control{wire::answers_begun{
        {{.fingerprint = part.fingerprint,
          .age_ms = (step.now_us - *answered_us) / 1'000}}}});
  }
}

bool IsQuarantinedPart(const entry_state& state, const base::digest128& part) {
  const auto found = state.suspect_parts.find(part);
  return found != state.suspect_parts.end() &&
         found->second.state == wire::quarantine_state::kQuarantined;
}

}  // namespace

error_reply QuarantinedError() {
  return {.status = 422,
          .code = "request_quarantined",
          .message = "backend servers failed while they ran this request"};
}

bool IsQuarantined(const entry_state& state, const request_state& request) {
  if (std::ranges::any_of(request.shared_messages, [&](const auto& message) {
        return IsQuarantinedPart(state, message);
      })) {
    return true;
  }
  const auto found = state.quarantine.find(request.fingerprint);
  return found != state.quarantine.end() &&
         (found->second.state == wire::quarantine_state::kQuarantined ||
          found->second.crashes >= kMaxCrashes);
}

void MarkSuspect(const entry_state& state, request_state& request) {
  const auto found = state.quarantine.find(request.fingerprint);
  if (found != state.quarantine.end()) {
    request.suspect = true;
    request.crashes = std::max(request.crashes, found->second.crashes);
  }
}

bool MayIsolate(const step_context& step,
                const request_state& request,
                const agent& peer) {
  if (peer.suspects_in_flight > 0) {
    return false;
  }
  if (step.now_us - request.phase_since_us >= kIsolationWaitUs) {
    return true;
  }
  const std::uint64_t own = RendezvousHash(request.fingerprint, peer);
  return std::none_of(step.state.quarantine.begin(),
                      step.state.quarantine.end(), [&](const auto& item) {
                        return item.second.state ==
                                   wire::quarantine_state::kSuspect &&
                               item.second.crashes < kMaxCrashes &&
                               RendezvousHash(item.first, peer) > own;
                      });
}

void RecordCrash(step_context& step,
                 request_state& request,
                 std::span<const base::digest128> ran_beside) {
  ReportSharedMessages(step, request);
  const auto& suspects_before =
      SuspectsBeforeCrash(step, *request.current, ran_beside);
  request.ran_at_crash = true;
  // If suspects ran there, the requests beside them don't become suspects.
  if (!suspects_before.empty() &&
      std::find(suspects_before.begin(), suspects_before.end(),
                request.fingerprint) == suspects_before.end()) {
    Note(step, request, "beside_suspect", request.current->agent);
    return;
  }
  agent* peer = FindAgent(step.state, request.current->agent);
  if (!request.suspect && peer != nullptr) {
    ++peer->suspects_in_flight;
  }
  request.suspect = true;
  ++request.crashes;
  // Control derives the same from the agents' reports. Until its update
  // arrives, this keeps resends of the request from a third server.
  wire::quarantine_entry& entry = step.state.quarantine[request.fingerprint];
  entry.fingerprint = request.fingerprint;
  entry.crashes = std::max(entry.crashes, request.crashes);
  if (request.crashes >= kMaxCrashes && suspects_before.size() == 1) {
    entry.state = wire::quarantine_state::kQuarantined;
  }
  Note(step, request, "suspect", request.current->agent,
       std::to_string(request.crashes));
  step.Emit(count_metric{"wisteriaroute_suspects_total"});
}

void ResendCrashReports(step_context& step) {
  const base::time_ms now_ms = step.now_us / kUsPerMs;
  auto& reported = step.state.reported_crashes;
  std::erase_if(reported, [&](const policy::crash& one) {
    return now_ms - one.at_ms > policy::kReportRetentionMs;
  });
  wire::crash_reports reports;
  for (const policy::crash& one : reported) {
    reports.crashes.push_back(policy::MakeReport(one, now_ms));
  }
  if (!reports.crashes.empty()) {
    step.Emit(send_control{std::move(reports)});
  }
}

void NoteAnswerBegun(step_context& step, const request_state& request) {
  for (const base::digest128& message : request.shared_messages) {
    step.state.answered_parts.Add(message, step.now_us);
    policy::ApplyAnswer(step.state.reported_crashes, message,
                        step.now_us / kUsPerMs);
    if (step.state.suspect_parts.contains(message)) {
      step.Emit(send_control{wire::answers_begun{{{message}}}});
    }
  }
}

void ClearSuspect(step_context& step, request_state& request) {
  if (!request.suspect) {
    return;
  }
  step.state.quarantine.erase(request.fingerprint);
  Note(step, request, "suspect_cleared");
  step.Emit(send_control{wire::suspect_cleared{request.fingerprint}});
}

void HandleQuarantineUpdate(step_context& step,
                            const wire::quarantine_update& update) {
  auto& quarantine = step.state.quarantine;
  if (update.full) {
    quarantine.clear();
    step.state.suspect_parts.clear();
  }
  for (const wire::quarantine_entry& changed : update.changed) {
    if (changed.is_part) {
      HandlePart(step, changed);
    } else {
      quarantine[changed.fingerprint] = changed;
    }
  }
  for (const base::digest128& removed : update.removed) {
    quarantine.erase(removed);
    step.state.suspect_parts.erase(removed);
  }
  std::vector<std::uint64_t> waiting;
  for (auto& [number, request] : step.state.requests) {
    if (request.phase != request_phase::kQueued) {
      continue;
    }
    MarkSuspect(step.state, request);
    if (IsQuarantined(step.state, request)) {
      waiting.push_back(number);
    }
  }
  for (const std::uint64_t number : waiting) {
    if (request_state* request = FindRequest(step.state, number)) {
      error_reply error = QuarantinedError();
      error.ran = Outcome(*request);
      RespondError(step, *request, error);
      Close(step, *request);
    }
  }
}

}  // namespace wisteriaroute::entry
