#include "libwisteriaroute/control/server_reports.h"

#include <utility>
#include <vector>

#include "libwisteriaroute/control/sessions.h"
#include "libwisteriaroute/control/updates.h"

namespace wisteriaroute::control {

namespace {

bool IsOutdated(const member_session& known,
                const wire::report_server& report) {
  if (report.gone && report.info.incarnation == 0) {
    // The goodbye doesn't name the incarnation.
    return false;
  }
  if (known.info.incarnation != report.info.incarnation) {
    return report.info.incarnation < known.info.incarnation;
  }
  // A goodbye carries no sequence number.
  return !report.gone && report.sequence <= known.report_sequence;
}

}  // namespace

void HandleServerReport(replica_state& state,
                        const wire::report_server& report,
                        const step_time& now,
                        replica_effects& out) {
  leader_state& leader = *state.leadership;
  const std::string& name = report.info.name;
  const auto found = leader.sessions.find(name);
  if (found != leader.sessions.end() &&
      found->second.info.role != wire::member_role::kServer) {
    // Another writer used the name of an entry, agent or sidecar.
    out.push_back(record_event{{.kind = "report_ignored",
                                .server = name,
                                .detail = "the name of another member"}});
    return;
  }
  if (found == leader.sessions.end()) {
    if (report.gone && report.info.address.empty()) {
      // This leader doesn't know the server, but an entry may; notify it.
      leader.removed_members.insert(name);
      return;
    }
    RecordMemberEvent(report.info, "server_opened", out);
  } else if (IsOutdated(found->second, report)) {
    return;
  }
  member_session& session = leader.sessions[name];
  const bool same_run = session.info.incarnation == report.info.incarnation;
  wire::member_info info = report.info;
  if (report.gone) {
    info = session.info;
    info.leaving = true;
  } else if (same_run && session.info.leaving) {
    // A leaving server doesn't return under the same incarnation.
    info.leaving = true;
  }
  session.last_message_us = now.now_us;
  if (!report.gone) {
    session.report_sequence = report.sequence;
  }
  if (session.info == info) {
    return;
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
