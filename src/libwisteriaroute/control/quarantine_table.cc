#include "libwisteriaroute/control/quarantine_table.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace wisteriaroute::control {

namespace {

using wire::quarantine_state;

base::digest128 ReportDigest(const wire::suspect_report& report) {
  return base::Digest128(report.agent + "/" +
                         std::to_string(report.backend_incarnation));
}

bool IsQuarantined(const wire::quarantine_entry& entry) {
  return entry.state == quarantine_state::kQuarantined;
}

base::time_ms QuarantineTime(const wire::quarantine_entry& entry) {
  constexpr std::uint32_t kMaxDoublings = 8;
  const std::uint32_t beyond = entry.crashes > 2 ? entry.crashes - 2 : 0;
  return std::min(kMaxQuarantineMs,
                  kQuarantineMs << std::min(beyond, kMaxDoublings));
}

/** Adds a report to the record of its crash. */
void MergeCrash(std::vector<policy::crash>& crashes,
                const wire::crash_report& report,
                base::time_ms at_ms) {
  auto found = std::ranges::find(crashes, report.id, &policy::crash::id);
  if (found == crashes.end()) {
    const auto after =
        std::ranges::upper_bound(crashes, at_ms, {}, &policy::crash::at_ms);
    found = crashes.insert(after, {.id = report.id, .at_ms = at_ms});
  }
  for (const wire::suspect_request& suspect : report.suspects) {
    // A report that is sent again adds nothing.
    if (std::ranges::find(found->suspects, suspect.fingerprint,
                          &wire::suspect_request::fingerprint) ==
            found->suspects.end() &&
        found->suspects.size() < kMaxSuspectsPerCrash) {
      found->suspects.push_back(suspect);
    }
  }
}

/** Makes a part a suspect unless it is known. */
void AddSuspectPart(quarantine_table& table,
                    const base::digest128& fingerprint,
                    base::time_ms log_time_ms,
                    quarantine_changes& changes) {
  const auto [entry, is_new] = table.entries.try_emplace(fingerprint);
  if (is_new) {
    entry->second = {.fingerprint = fingerprint,
                     .crashes = 1,
                     .since_ms = log_time_ms,
                     .is_part = true};
    changes.push_back(fingerprint);
  }
}

void Quarantine(quarantine_table& table,
                base::time_ms log_time_ms,
                quarantine_changes& changes) {
  std::set<base::digest128> known;
  std::set<base::digest128> earlier;
  for (const auto& [fingerprint, entry] : table.entries) {
    if (IsQuarantined(entry)) {
      known.insert(fingerprint);
    } else if (entry.crashes > 1) {
      earlier.insert(fingerprint);
    }
  }
  for (const policy::culprit& found :
       policy::FindCulprits(table.crashes, known, earlier)) {
    wire::quarantine_entry& entry = table.entries[found.fingerprint];
    const std::uint32_t before =
        earlier.contains(found.fingerprint) ? entry.crashes : 0;
    entry = {.fingerprint = found.fingerprint,
             .state = quarantine_state::kQuarantined,
             .crashes = before + found.crashes,
             .since_ms = log_time_ms,
             .is_part = found.is_part};
    changes.push_back(found.fingerprint);
  }
}

/** Drops the oldest suspects, then the oldest of all entries. */
void LimitEntries(quarantine_table& table, quarantine_changes& changes) {
  while (table.entries.size() > kMaxQuarantineEntries) {
    const auto oldest =
        std::ranges::min_element(table.entries, {}, [](const auto& item) {
          return std::pair(IsQuarantined(item.second), item.second.since_ms);
        });
    changes.push_back(oldest->first);
    table.entries.erase(oldest);
  }
}

}  // namespace

quarantine_changes ReportSuspects(quarantine_table& table,
                                  const wire::suspect_report& report,
                                  base::time_ms log_time_ms) {
  const base::digest128 id = ReportDigest(report);
  if (std::ranges::find(table.reports, id) != table.reports.end()) {
    return {};
  }
  table.reports.push_back(id);
  if (table.reports.size() > kKeptReports) {
    table.reports.pop_front();
  }
  const std::set<base::digest128> running(report.running.begin(),
                                          report.running.end());
  quarantine_changes known;
  for (const base::digest128& fingerprint : running) {
    if (table.entries.contains(fingerprint)) {
      known.push_back(fingerprint);
    }
  }
  if (known.empty()) {
    for (const base::digest128& fingerprint : running) {
      table.entries[fingerprint] = {
          .fingerprint = fingerprint, .crashes = 1, .since_ms = log_time_ms};
    }
    return {running.begin(), running.end()};
  }
  for (const base::digest128& fingerprint : known) {
    wire::quarantine_entry& entry = table.entries[fingerprint];
    ++entry.crashes;
    entry.since_ms = log_time_ms;
    if (known.size() == 1) {
      entry.state = quarantine_state::kQuarantined;
    }
  }
  return known;
}

quarantine_changes ReportCrashes(quarantine_table& table,
                                 const wire::crash_reports& reports,
                                 base::time_ms log_time_ms) {
  quarantine_changes changes;
  for (const wire::crash_report& report : reports.crashes) {
    MergeCrash(table.crashes, report,
               log_time_ms - std::max<std::int64_t>(report.age_ms, 0));
    for (const wire::suspect_request& suspect : report.suspects) {
      // Only parts: another entry can tell nothing of a whole request.
      for (const wire::suspect_part& part : suspect.parts) {
        AddSuspectPart(table, part.fingerprint, log_time_ms, changes);
      }
    }
  }
  if (table.crashes.size() > kMaxCrashes) {
    table.crashes.erase(table.crashes.begin(),
                        std::prev(table.crashes.end(), kMaxCrashes));
  }
  Quarantine(table, log_time_ms, changes);
  LimitEntries(table, changes);
  return changes;
}

quarantine_changes NoteAnswers(quarantine_table& table,
                               const wire::answers_begun& answers,
                               base::time_ms log_time_ms) {
  quarantine_changes changes;
  for (const wire::begun_answer& answer : answers.answers) {
    const bool still_suspect = policy::ApplyAnswer(
        table.crashes, answer.fingerprint,
        log_time_ms - std::max<std::int64_t>(answer.age_ms, 0));
    if (!still_suspect && table.entries.erase(answer.fingerprint) > 0) {
      changes.push_back(answer.fingerprint);
    }
  }
  return changes;
}

quarantine_changes ClearSuspect(quarantine_table& table,
                                const base::digest128& fingerprint) {
  const auto found = table.entries.find(fingerprint);
  if (found == table.entries.end() ||
      found->second.state != quarantine_state::kSuspect) {
    return {};
  }
  table.entries.erase(found);
  return {fingerprint};
}

quarantine_changes Release(quarantine_table& table,
                           const base::digest128& fingerprint) {
  if (table.entries.erase(fingerprint) == 0) {
    return {};
  }
  return {fingerprint};
}

quarantine_changes ExpireSuspects(quarantine_table& table,
                                  base::time_ms log_time_ms) {
  quarantine_changes changes;
  for (auto& [fingerprint, entry] : table.entries) {
    if (IsQuarantined(entry) &&
        entry.since_ms + QuarantineTime(entry) < log_time_ms) {
      entry.state = quarantine_state::kSuspect;
      entry.since_ms = log_time_ms;
      // Only a crash from now on counts against it.
      const std::set<base::digest128> ended = {fingerprint};
      std::erase_if(table.crashes, [&](const policy::crash& one) {
        return policy::HasAny(one, ended);
      });
      changes.push_back(fingerprint);
    }
  }
  std::erase_if(table.entries, [&](const auto& item) {
    const bool expired =
        !IsQuarantined(item.second) &&
        item.second.since_ms + kSuspectRetentionMs < log_time_ms;
    if (expired) {
      changes.push_back(item.first);
    }
    return expired;
  });
  std::erase_if(table.crashes, [&](const policy::crash& one) {
    return one.at_ms + kSuspectRetentionMs < log_time_ms;
  });
  return changes;
}

}  // namespace wisteriaroute::control
