#include "libwisteriaroute/control/server_reports.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libwisteriaroute/control/sessions.h"
#include "libwisteriaroute/control/updates.h"

namespace wisteriaroute::control {

namespace {

// Reports of the same end of a cold period differ by their delays. Announcing a
// later end than reported saves an update to all entries for each report.
constexpr base::time_us kColdToleranceUs = 250'000;

enum class report_kind : std::uint8_t { kCurrent, kOutdated, kUncertain };

/**
 * Whether a run with a lower incarnation than the known one is current. An
 * incarnation is the time of day of a start, so that of a later run is lower if
 * the time of day has jumped back. A late report of an ended run looks the
 * same, but its server doesn't go on to report, and the known run does.
 */
report_kind JudgeEarlierRun(member_session& known,
                            const wire::report_server& report,
                            base::time_us now_us) {
  earlier_run& earlier = known.earlier;
  const bool leaves = report.gone || report.info.leaving;
  const report_kind uncertain =
      leaves ? report_kind::kUncertain : report_kind::kOutdated;
  if (earlier.incarnation != report.info.incarnation ||
      known.last_message_us >= earlier.first_report_us) {
    earlier = {.incarnation = report.info.incarnation,
               .sequence = report.sequence,
               .first_report_us = now_us};
    return uncertain;
  }
  if (now_us - earlier.first_report_us < kRunSilenceUs) {
    earlier.sequence = std::max(earlier.sequence, report.sequence);
    return uncertain;
  }
  return report.gone || report.sequence > earlier.sequence
             ? report_kind::kCurrent
             : uncertain;
}

report_kind Judge(member_session& known,
                  const wire::report_server& report,
                  base::time_us now_us) {
  if (report.gone && report.info.incarnation == 0) {
    // The goodbye doesn't name the incarnation.
    return report_kind::kCurrent;
  }
  if (report.info.incarnation < known.reported_incarnation) {
    return JudgeEarlierRun(known, report, now_us);
  }
  // A goodbye carries no sequence number.
  const bool repeats = known.reported_incarnation == report.info.incarnation &&
                       !report.gone && report.sequence <= known.report_sequence;
  return repeats ? report_kind::kOutdated : report_kind::kCurrent;
}

/** Applies how long the server says that it stays cold. Returns whether entries
 * must be told. */
bool ApplyColdLeft(member_session& session,
                   const wire::report_server& report,
                   base::time_us now_us) {
  if (!report.info.cold_left_ms) {
    return false;
  }
  const base::time_us left_us = *report.info.cold_left_ms * 1'000;
  const base::time_us ends_us = now_us + left_us;
  const base::time_us known_us = session.cold_until_us.value_or(0);
  // Both warm, or the end differs only by the delays of the reports.
  const bool is_same =
      left_us == 0
          ? session.cold_until_us && known_us <= now_us
          : ends_us <= known_us && known_us - ends_us <= 2 * kColdToleranceUs;
  if (is_same) {
    return false;
  }
  session.cold_until_us = left_us == 0 ? now_us : ends_us + kColdToleranceUs;
  return true;
}

/**
 * Before the first report of a server at this leader: if a later run of it has
 * left, that run is the known one, as at the leader that it told.
 */
void RestoreDepartedRun(replica_state& state,
                        const wire::report_server& report,
                        const step_time& now) {
  const std::string& name = report.info.name;
  if (report.gone || state.leadership->sessions.contains(name)) {
    return;
  }
  const auto last = LastDeparted(state.durable.departures, name);
  if (!last || *last <= report.info.incarnation ||
      HasDeparted(state.durable.departures, name, report.info.incarnation)) {
    return;
  }
  member_session& session = state.leadership->sessions[name];
  session.info = report.info;
  session.info.cold_left_ms.reset();
  session.info.incarnation = *last;
  session.info.leaving = true;
  session.reported_incarnation = *last;
  // Silent since before this report, see JudgeEarlierRun().
  session.last_message_us = now.now_us - 1;
}

}  // namespace

bool HandleServerReport(replica_state& state,
                        const wire::report_server& report,
                        const step_time& now,
                        replica_effects& out) {
  leader_state& leader = *state.leadership;
  const std::string& name = report.info.name;
  const bool departed =
      HasDeparted(state.durable.departures, name, report.info.incarnation);
  RestoreDepartedRun(state, report, now);
  const auto found = leader.sessions.find(name);
  if (found != leader.sessions.end() &&
      found->second.info.role != wire::member_role::kServer) {
    // Another writer used the name of an entry, agent or sidecar.
    out.push_back(record_event{{.kind = "report_ignored",
                                .server = name,
                                .detail = "the name of another member"}});
    return true;
  }
  if (found == leader.sessions.end()) {
    if (report.gone && report.info.address.empty()) {
      // This leader doesn't know the server, but an entry may; notify it.
      leader.removed_members.insert(name);
      return true;
    }
    RecordMemberEvent(report.info, "server_opened", out);
  } else if (departed &&
             found->second.reported_incarnation != report.info.incarnation) {
    // Its server has started again since.
    return true;
  } else if (const report_kind kind = Judge(found->second, report, now.now_us);
             kind != report_kind::kCurrent) {
    if (kind == report_kind::kUncertain) {
      RecordMemberEvent(report.info, "server_run_uncertain", out);
    }
    return kind == report_kind::kOutdated;
  }
  const bool is_new = found == leader.sessions.end();
  member_session& session = leader.sessions[name];
  const bool same_run = session.reported_incarnation == report.info.incarnation;
  wire::member_info info = report.info;
  info.cold_left_ms.reset();
  if (same_run) {
    info.incarnation = session.info.incarnation;
  } else if (!is_new && info.incarnation <= session.info.incarnation) {
    // The time, so that no other leader has given another run this number.
    info.incarnation = std::max(
        session.info.incarnation + 1,
        static_cast<std::uint64_t>(std::max<base::time_ms>(0, now.wall_ms)));
  }
  if (report.gone) {
    info = session.info;
    info.leaving = true;
  } else if (departed || (same_run && session.info.leaving)) {
    // A leaving server doesn't return under the same incarnation.
    info.leaving = true;
  }
  session.last_message_us = now.now_us;
  session.earlier = {};
  bool cold_changed = false;
  if (!report.gone) {
    if (!same_run) {
      session.cold_until_us.reset();
    }
    cold_changed = ApplyColdLeft(session, report, now.now_us);
    session.report_sequence = report.sequence;
    session.reported_incarnation = report.info.incarnation;
  }
  if (session.info == info && !cold_changed) {
    return true;
  }
  if (info.leaving) {
    RecordMemberEvent(info, report.gone ? "server_gone" : "server_leaving",
                      out);
  }
  session.info = std::move(info);
  leader.changed_members.insert(name);
  leader.removed_members.erase(name);
  // Sent immediately, because new work must stop soon after the report is
  // acknowledged.
  FlushMembers(state, now, out);
  return true;
}

std::optional<departure_command> FindUnrecordedDeparture(
    const replica_state& state,
    const wire::report_server& report,
    const step_time& now) {
  if (!report.gone && !report.info.leaving) {
    return std::nullopt;
  }
  const std::string& name = report.info.name;
  departure_command departure{.name = name,
                              .incarnation = report.info.incarnation};
  if (departure.incarnation == 0) {
    const auto& sessions = state.leadership->sessions;
    const auto known = sessions.find(name);
    // Of a run that isn't known only its start before now is certain.
    departure.incarnation =
        known != sessions.end() && known->second.reported_incarnation != 0
            ? known->second.reported_incarnation
            : static_cast<std::uint64_t>(now.wall_ms);
  }
  if (HasDeparted(state.durable.departures, name, departure.incarnation)) {
    return std::nullopt;
  }
  return departure;
}

void HandleDeparture(replica_state& state,
                     const departure_command& departure,
                     const step_time& now,
                     replica_effects& out) {
  leader_state& leader = *state.leadership;
  const auto found = leader.sessions.find(departure.name);
  if (found == leader.sessions.end() || found->second.info.leaving ||
      found->second.info.role != wire::member_role::kServer ||
      found->second.reported_incarnation != departure.incarnation) {
    return;
  }
  found->second.info.leaving = true;
  RecordMemberEvent(found->second.info, "server_leaving", out);
  leader.changed_members.insert(departure.name);
  FlushMembers(state, now, out);
}

void HandleServerCrash(replica_state& state,
                       net::link_id reporter,
                       const wire::server_crash& crash,
                       replica_effects& out) {
  auto& sessions = state.leadership->sessions;
  const auto found = sessions.find(crash.server);
  if (found == sessions.end() ||
      found->second.info.incarnation != crash.incarnation ||
      found->second.crashed_incarnation == crash.incarnation) {
    return;
  }
  found->second.crashed_incarnation = crash.incarnation;
  RecordMemberEvent(found->second.info, "server_crashed", out);
  std::vector<net::link_id> links =
      LinksOf(*state.leadership, wire::member_role::kEntry);
  std::erase(links, reporter);
  if (!links.empty()) {
    out.push_back(send_to_links{std::move(links), crash});
  }
}

}  // namespace wisteriaroute::control
