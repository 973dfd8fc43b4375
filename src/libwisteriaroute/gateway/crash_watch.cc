#include "libwisteriaroute/gateway/crash_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "libwisteriaroute/gateway/step_context.h"

namespace wisteriaroute::gateway {

namespace {

constexpr base::time_us kUsPerMs = 1'000;
// A server is back or removed by then.
constexpr base::time_us kBrokenServerUs = 10'000'000;

wire::suspect_request MakeSuspect(const crash_watch& watch,
                                  const caller_request& request) {
  wire::suspect_request suspect{.fingerprint = request.digest};
  for (const prompt_part& part : request.shared_parts) {
    suspect.parts.push_back(
        {.fingerprint = part.digest,
         .answered = watch.answered.Find(part.digest).has_value()});
  }
  return suspect;
}

/** Moves the suspects of a server that has crashed to its crash. */
void RecordSuspects(step_context& step,
                    const std::string& name,
                    broken_server& crashed) {
  crash_watch& watch = step.state.crashes;
  const base::digest128 id = policy::CrashId(name, crashed.incarnation);
  auto found = std::ranges::find(watch.crashes, id, &policy::crash::id);
  if (found == watch.crashes.end()) {
    watch.crashes.push_back({.id = id, .at_ms = crashed.since_us / kUsPerMs});
    found = std::prev(watch.crashes.end());
  }
  step.Note("server_crashed",
            {{"server", name},
             {"incarnation", std::to_string(crashed.incarnation)},
             {"suspects", std::to_string(crashed.suspects.size())}});
  std::ranges::move(std::exchange(crashed.suspects, {}),
                    std::back_inserter(found->suspects));
  watch.unreported.insert(id);
  if (watch.crashes.size() > policy::kMaxReportedCrashes) {
    watch.unreported.erase(watch.crashes.front().id);
    watch.crashes.erase(watch.crashes.begin());
  }
}

bool IsSuspect(const crash_watch& watch, const base::digest128& fingerprint) {
  return watch.quarantine.contains(fingerprint) ||
         std::ranges::any_of(watch.crashes, [&](const policy::crash& one) {
           return policy::HasAny(one, {fingerprint});
         });
}

void NoteAnswer(step_context& step, const base::digest128& fingerprint) {
  crash_watch& watch = step.state.crashes;
  if (!IsSuspect(watch, fingerprint)) {
    return;
  }
  policy::ApplyAnswer(watch.crashes, fingerprint, step.now_us / kUsPerMs);
  watch.unreported_answers[fingerprint] = step.now_us;
}

bool IsQuarantined(const crash_watch& watch,
                   const base::digest128& fingerprint) {
  const auto found = watch.quarantine.find(fingerprint);
  return found != watch.quarantine.end() &&
         found->second.state == wire::quarantine_state::kQuarantined;
}

}  // namespace

bool HasReports(const crash_watch& watch) {
  return !watch.unreported.empty() || !watch.unreported_answers.empty();
}

void NoteBrokenAttempt(step_context& step, const request_state& request) {
  const server* target = step.state.servers.Find(request.server);
  // A server that leaves ends its connections as it exits.
  if (target == nullptr || target->info.leaving ||
      target->info.incarnation != request.server_incarnation) {
    return;
  }
  crash_watch& watch = step.state.crashes;
  std::erase_if(watch.broken, [&](const auto& item) {
    return step.now_us - item.second.since_us > kBrokenServerUs ||
           (item.first == request.server &&
            item.second.incarnation != request.server_incarnation);
  });
  const auto [found, is_new] = watch.broken.try_emplace(request.server);
  broken_server& broken = found->second;
  broken.suspects.push_back(MakeSuspect(watch, request.request));
  if (is_new) {
    broken.incarnation = request.server_incarnation;
    broken.since_us = step.now_us;
    step.out.push_back(probe_server{.server = request.server,
                                    .incarnation = request.server_incarnation,
                                    .address = target->info.address});
  } else if (broken.crashed) {
    RecordSuspects(step, request.server, broken);
  }
}

void NoteServerCrash(step_context& step,
                     std::string_view server_id,
                     std::uint64_t incarnation,
                     std::string_view source) {
  const server* known = step.state.servers.Find(server_id);
  if (known != nullptr && known->info.incarnation == incarnation) {
    MarkLost(step, server_id);
  }
  if (!step.state.servers.NoteCrash(server_id, incarnation, step.now_us)) {
    return;
  }
  const auto* crashed = step.state.servers.Find(server_id);
  step.Count("wisteriaroute_group_outages_total", "source", source);
  step.Note("group_down", {{"group", crashed->info.backend.group},
                           {"server", std::string(server_id)},
                           {"incarnation", std::to_string(incarnation)},
                           {"source", std::string(source)}});
}

void HandleProbe(step_context& step, const probe_ended& event) {
  crash_watch& watch = step.state.crashes;
  const auto found = watch.broken.find(event.server);
  if (found == watch.broken.end() ||
      found->second.incarnation != event.incarnation) {
    return;
  }
  if (!event.refused) {
    step.Note(
        "server_not_crashed",
        {{"server", event.server},
         {"broken_requests", std::to_string(found->second.suspects.size())}});
    watch.broken.erase(found);
    return;
  }
  found->second.crashed = true;
  NoteServerCrash(step, event.server, event.incarnation, "probe");
  step.out.push_back(
      send_control{wire::server_crash{event.server, event.incarnation}});
  step.Count("wisteriaroute_server_crashes_total", "suspects",
             found->second.suspects.empty() ? "no" : "yes");
  RecordSuspects(step, event.server, found->second);
}

void NoteAnswerBegun(step_context& step, const request_state& request) {
  NoteAnswer(step, request.request.digest);
  for (const prompt_part& part : request.request.shared_parts) {
    step.state.crashes.answered.Add(part.digest, step.now_us);
    NoteAnswer(step, part.digest);
  }
}

void HandleQuarantine(step_context& step,
                      const wire::quarantine_update& update) {
  crash_watch& watch = step.state.crashes;
  if (update.full) {
    watch.quarantine.clear();
  }
  for (const wire::quarantine_entry& entry : update.changed) {
    watch.quarantine[entry.fingerprint] = entry;
    if (entry.state == wire::quarantine_state::kQuarantined) {
      step.Note("quarantined",
                {{"fingerprint", base::ToString(entry.fingerprint)},
                 {"crashes", std::to_string(entry.crashes)}});
    }
    const auto answered_us = watch.answered.Find(entry.fingerprint);
    if (answered_us) {
      watch.unreported_answers[entry.fingerprint] = *answered_us;
    }
  }
  for (const base::digest128& removed : update.removed) {
    if (IsQuarantined(watch, removed)) {
      step.Note("quarantine_ended", {{"fingerprint", base::ToString(removed)}});
    }
    watch.quarantine.erase(removed);
  }
}

void HandleControlOpened(step_context& step) {
  // An earlier leader may have lost the reports.
  crash_watch& watch = step.state.crashes;
  for (const policy::crash& one : watch.crashes) {
    watch.unreported.insert(one.id);
  }
}

void SendReports(step_context& step) {
  crash_watch& watch = step.state.crashes;
  std::erase_if(watch.crashes, [&](const policy::crash& one) {
    return step.now_us / kUsPerMs - one.at_ms > policy::kReportRetentionMs;
  });
  wire::crash_reports reports;
  for (const policy::crash& one : watch.crashes) {
    if (watch.unreported.contains(one.id)) {
      reports.crashes.push_back(
          policy::MakeReport(one, step.now_us / kUsPerMs));
    }
  }
  watch.unreported.clear();
  if (!reports.crashes.empty()) {
    step.Note("crashes_reported",
              {{"crashes", std::to_string(reports.crashes.size())}});
    step.out.push_back(send_control{std::move(reports)});
  }
  wire::answers_begun answers;
  for (const auto& [fingerprint, at_us] :
       std::exchange(watch.unreported_answers, {})) {
    answers.answers.push_back({.fingerprint = fingerprint,
                               .age_ms = (step.now_us - at_us) / kUsPerMs});
  }
  if (!answers.answers.empty()) {
    step.out.push_back(send_control{std::move(answers)});
  }
}

const prompt_part* FindUnansweredPart(const crash_watch& watch,
                                      const caller_request& request) {
  const auto found =
      std::find_if(request.shared_parts.rbegin(), request.shared_parts.rend(),
                   [&](const prompt_part& part) {
                     return !watch.answered.Find(part.digest);
                   });
  return found == request.shared_parts.rend() ? nullptr : &*found;
}

bool IsSuspect(const crash_watch& watch, const prompt_part& part) {
  return IsSuspect(watch, part.digest) ||
         std::ranges::any_of(watch.broken, [&](const auto& item) {
           return policy::HasAny({.suspects = item.second.suspects},
                                 {part.digest});
         });
}

bool IsQuarantined(step_context& step, const request_state& request) {
  const crash_watch& watch = step.state.crashes;
  std::string cause;
  if (IsQuarantined(watch, request.request.digest)) {
    cause = "request";
  }
  for (const prompt_part& part : request.request.shared_parts) {
    if (IsQuarantined(watch, part.digest)) {
      cause = "part " + part.id;
    }
  }
  if (!cause.empty()) {
    step.Note("request_quarantined",
              {{"request", request.request.id}, {"cause", cause}});
  }
  return !cause.empty();
}

}  // namespace wisteriaroute::gateway
