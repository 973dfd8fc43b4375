#include "libwisteriaroute/control/quarantine_table.h"

#include <algorithm>
#include <set>

namespace wisteriaroute::control {

namespace {

using wire::quarantine_state;

base::digest128 ReportDigest(const wire::suspect_report& report) {
  return base::Digest128(report.agent + "/" +
                         std::to_string(report.backend_incarnation));
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
  quarantine_changes dropped;
  std::erase_if(table.entries, [&](const auto& item) {
    const bool expired =
        item.second.state == quarantine_state::kSuspect &&
        item.second.since_ms + kSuspectRetentionMs < log_time_ms;
    if (expired) {
      dropped.push_back(item.first);
    }
    return expired;
  });
  return dropped;
}

}  // namespace wisteriaroute::control
