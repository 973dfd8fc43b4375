#ifndef LIBWISTERIAROUTE_CONTROL_QUARANTINE_TABLE_H_
#define LIBWISTERIAROUTE_CONTROL_QUARANTINE_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::control {

/** A suspect that was neither cleared nor seen again is dropped after this. */
inline constexpr base::time_ms kSuspectRetentionMs = 3'600'000;
/** Reports that are remembered, to count a repeated report once. */
inline constexpr std::size_t kKeptReports = 4'096;

/** Requests that ran on backend servers when these were lost. */
struct quarantine_table {
  std::map<base::digest128, wire::quarantine_entry> entries;
  /** Digests of (agent, lost incarnation), oldest first. */
  std::deque<base::digest128> reports;

  bool operator==(const quarantine_table&) const = default;
};

/** Fingerprints whose entries changed or went. */
using quarantine_changes = std::vector<base::digest128>;

/**
 * Counts a lost backend server. A known suspect that was the only suspect
 * there is quarantined; without a known suspect all that ran become suspects.
 */
quarantine_changes ReportSuspects(quarantine_table& table,
                                  const wire::suspect_report& report,
                                  base::time_ms log_time_ms);

/** Drops a suspect; a quarantined fingerprint stays. */
quarantine_changes ClearSuspect(quarantine_table& table,
                                const base::digest128& fingerprint);

/** Drops a suspect or a quarantined fingerprint on an operator's request. */
quarantine_changes Release(quarantine_table& table,
                           const base::digest128& fingerprint);

quarantine_changes ExpireSuspects(quarantine_table& table,
                                  base::time_ms log_time_ms);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_QUARANTINE_TABLE_H_
