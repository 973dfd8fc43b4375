#ifndef LIBWISTERIAROUTE_CONTROL_QUARANTINE_TABLE_H_
#define LIBWISTERIAROUTE_CONTROL_QUARANTINE_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/policy/crash_evidence.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::control {

/** A suspect is removed after this time without a further crash report. */
inline constexpr base::time_ms kSuspectRetentionMs = 3'600'000;
/**
 * A quarantined fingerprint becomes a suspect again after this time, doubled
 * for each crash beyond the second, at most kMaxQuarantineMs.
 */
inline constexpr base::time_ms kQuarantineMs = 600'000;
inline constexpr base::time_ms kMaxQuarantineMs = 86'400'000;
/** The oldest entries and crashes beyond these numbers are dropped. */
inline constexpr std::size_t kMaxQuarantineEntries = 2'048;
inline constexpr std::size_t kMaxCrashes = 256;
/** Suspects kept of one crash. */
inline constexpr std::size_t kMaxSuspectsPerCrash = 32;
/** Number of report digests kept, so that a repeated report counts once. */
inline constexpr std::size_t kKeptReports = 4'096;

/** Requests that were running on backend servers when these were lost. */
struct quarantine_table {
  std::map<base::digest128, wire::quarantine_entry> entries;
  /** Digests of (agent, lost incarnation), oldest first. */
  std::deque<base::digest128> reports;
  /** Recent crashes that entries have reported, sorted by time. */
  std::vector<policy::crash> crashes;

  bool operator==(const quarantine_table&) const = default;
};

/** Fingerprints whose entries were changed or removed. */
using quarantine_changes = std::vector<base::digest128>;

/**
 * Counts the loss of a backend server. If exactly one of the running requests
 * is a known suspect, it is quarantined. If none is, all running requests
 * become suspects. A repeated report changes nothing.
 */
quarantine_changes ReportSuspects(quarantine_table& table,
                                  const wire::suspect_report& report,
                                  base::time_ms log_time_ms);

/**
 * Records crashes, merges the reports of several entries, and quarantines what
 * explains them. Other suspects become known to the entries as such.
 */
quarantine_changes ReportCrashes(quarantine_table& table,
                                 const wire::crash_reports& reports,
                                 base::time_ms log_time_ms);

/** Removes suspects and quarantined fingerprints that were answered later than
 * they can have caused a crash. */
quarantine_changes NoteAnswers(quarantine_table& table,
                               const wire::answers_begun& answers,
                               base::time_ms log_time_ms);

/** Removes a suspect. A quarantined fingerprint stays. */
quarantine_changes ClearSuspect(quarantine_table& table,
                                const base::digest128& fingerprint);

/** Removes a suspect or quarantined fingerprint at an operator's request. */
quarantine_changes Release(quarantine_table& table,
                           const base::digest128& fingerprint);

/** Removes suspects that are older than kSuspectRetentionMs, and makes
 * quarantined fingerprints suspects when their time is over. */
quarantine_changes ExpireSuspects(quarantine_table& table,
                                  base::time_ms log_time_ms);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_QUARANTINE_TABLE_H_
