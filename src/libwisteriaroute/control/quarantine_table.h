#ifndef LIBWISTERIAROUTE_CONTROL_QUARANTINE_TABLE_H_
#define LIBWISTERIAROUTE_CONTROL_QUARANTINE_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::control {

/** A suspect is removed after this time without a further crash report. */
inline constexpr base::time_ms kSuspectRetentionMs = 3'600'000;
/** Number of report digests kept, so that a repeated report counts once. */
inline constexpr std::size_t kKeptReports = 4'096;

/** Requests that were running on backend servers when these were lost. */
struct quarantine_table {
  std::map<base::digest128, wire::quarantine_entry> entries;
  /** Digests of (agent, lost incarnation), oldest first. */
  std::deque<base::digest128> reports;

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

/** Removes a suspect. A quarantined fingerprint stays. */
quarantine_changes ClearSuspect(quarantine_table& table,
                                const base::digest128& fingerprint);

/** Removes a suspect or quarantined fingerprint at an operator's request. */
quarantine_changes Release(quarantine_table& table,
                           const base::digest128& fingerprint);

/** Removes suspects that are older than kSuspectRetentionMs. */
quarantine_changes ExpireSuspects(quarantine_table& table,
                                  base::time_ms log_time_ms);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_QUARANTINE_TABLE_H_
