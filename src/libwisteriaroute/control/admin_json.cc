#include "libwisteriaroute/control/admin_json.h"

#include <nlohmann/json.hpp>

#include "libwisteriaroute/control/sessions.h"

namespace wisteriaroute::control {

namespace {

using nlohmann::json;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json BodyJson(const std::string& body) {
  json parsed = json::parse(body, nullptr, false);
  return parsed.is_discarded() ? json(body) : parsed;
}

json NamesJson(const std::vector<wire::config_object>& objects) {
  json names = json::array();
  for (const wire::config_object& object : objects) {
    names.push_back(object.kind + "/" + object.name);
  }
  return names;
}

json NamesJson(const std::vector<wire::object_name>& objects) {
  json names = json::array();
  for (const wire::object_name& object : objects) {
    names.push_back(object.kind + "/" + object.name);
  }
  return names;
}

const char* PhaseName(group_phase phase) {
  switch (phase) {
    case group_phase::kNone:
      return "none";
    case group_phase::kForming:
      return "forming";
    case group_phase::kStaging:
      return "staging";
    case group_phase::kArming:
      return "arming";
    case group_phase::kDeciding:
      return "deciding";
  }
  return "none";
}

json SessionJson(const std::string& name,
                 const member_session& session,
                 base::time_us now_us) {
  return {{"name", name},
          {"role", RoleName(session.info.role)},
          {"data_center", session.info.data_center},
          {"revision", session.revision},
          {"ready", session.ready},
          {"leaving", session.info.leaving},
          {"connected", session.link != 0},
          {"lease_ms", std::max<base::time_us>(
                           0, (session.lease_until_us - now_us) / 1'000)}};
}

json MemberJson(const std::string& name,
                const member_session& session,
                base::time_us now_us) {
  json member = SessionJson(name, session, now_us);
  member["address"] = session.info.address;
  member["region"] = session.info.region;
  if (IsListed(session.info.role)) {
    const wire::backend_info& backend = session.info.backend;
    member["backend"] = {
        {"class", backend.class_name}, {"service", backend.service},
        {"group", backend.group},      {"rank", backend.rank},
        {"healthy", backend.healthy},  {"models", backend.models}};
  }
  return member;
}

json ReplicasJson(const replica_state& state) {
  json replicas = json::array();
  for (const replica_view& replica : state.replicas) {
    replicas.push_back({{"name", replica.name},
                        {"address", replica.address},
                        {"identity", replica.identity},
                        {"voter", replica.voter},
                        {"leader", replica.leader},
                        {"match_index", replica.match_index},
                        {"silent_ms", replica.silent_ms}});
  }
  return replicas;
}

json GroupJson(const std::string& name,
               const group_state& group,
               const leader_state& leader) {
  json ranks = json::array();
  const auto progress = leader.groups.find(name);
  for (std::uint32_t rank = 0; rank < group.ranks.size(); ++rank) {
    json item{{"agent", group.ranks[rank].agent},
              {"incarnation", group.ranks[rank].incarnation}};
    if (progress != leader.groups.end()) {
      const auto report = progress->second.reports.find(rank);
      if (report != progress->second.reports.end()) {
        item["step"] = report->second.step;
        item["map_epoch"] = report->second.map_epoch;
        item["step_time_us"] = report->second.step_time_us;
      }
      item["order_done"] = progress->second.done_ranks.contains(rank);
    }
    ranks.push_back(std::move(item));
  }
  // The replicated phase doesn't show that its order was carried out. Without a
  // pending change, nothing is left to do once every rank has done so.
  const bool settled = !group.change && progress != leader.groups.end() &&
                       progress->second.done_ranks.size() == group.ranks.size();
  json result{{"name", name},
              {"generation", group.generation},
              {"phase", settled ? "settled" : PhaseName(group.phase)},
              {"epoch", group.epoch},
              {"step", group.step},
              {"ranks", std::move(ranks)}};
  if (group.change) {
    result["pending_epoch"] = group.change->epoch;
  }
  return result;
}

}  // namespace

std::string ConfigJson(const replica_state& state) {
  json objects = json::array();
  for (const auto& [name, body] : state.durable.config.objects) {
    objects.push_back(
        {{"kind", name.kind}, {"name", name.name}, {"body", BodyJson(body)}});
  }
  return Dump({{"revision", state.durable.config.revision},
               {"objects", std::move(objects)}});
}

std::string StatusJson(const replica_state& state, base::time_us now_us) {
  json processes = json::array();
  for (const auto& [name, session] : state.leadership->sessions) {
    processes.push_back(SessionJson(name, session, now_us));
  }
  const std::uint64_t revision = state.durable.config.revision;
  const std::optional<std::uint64_t> in_force = RevisionInForce(state, now_us);
  return Dump({{"revision", revision},
               {"in_force", in_force ? json(*in_force) : json(nullptr)},
               {"in_force_everywhere", in_force == revision},
               {"leader", state.leader_name},
               {"term", state.leadership->term},
               {"log_index", state.applied_index},
               {"log_time_ms", state.durable.time_ms},
               {"claims", ClaimCount(state.durable.claims)},
               {"evacuated", state.durable.evacuations.data_centers},
               {"replicas", ReplicasJson(state)},
               {"processes", std::move(processes)}});
}

std::string HistoryJson(const replica_state& state) {
  json revisions = json::array();
  for (const revision_delta& delta : state.durable.config.deltas) {
    revisions.push_back({{"revision", delta.revision},
                         {"operation_id", delta.operation_id},
                         {"time_ms", delta.time_ms},
                         {"changed", NamesJson(delta.changed)},
                         {"removed", NamesJson(delta.removed)}});
  }
  return Dump({{"revisions", std::move(revisions)}});
}

std::string GroupsJson(const replica_state& state) {
  json groups = json::array();
  for (const auto& [name, group] : state.durable.groups.groups) {
    groups.push_back(GroupJson(name, group, *state.leadership));
  }
  return Dump({{"groups", std::move(groups)}});
}

std::string QuarantineJson(const replica_state& state) {
  json entries = json::array();
  for (const auto& [fingerprint, entry] : state.durable.quarantine.entries) {
    const bool suspect = entry.state == wire::quarantine_state::kSuspect;
    entries.push_back({{"fingerprint", base::ToString(fingerprint)},
                       {"kind", entry.is_part ? "part" : "request"},
                       {"state", suspect ? "suspect" : "quarantined"},
                       {"crashes", entry.crashes},
                       {"since_ms", entry.since_ms}});
  }
  return Dump({{"entries", std::move(entries)}});
}

std::string MembersJson(const replica_state& state, base::time_us now_us) {
  json members = json::array();
  for (const auto& [name, session] : state.leadership->sessions) {
    members.push_back(MemberJson(name, session, now_us));
  }
  return Dump({{"replicas", ReplicasJson(state)},
               {"members", std::move(members)},
               {"drained", state.durable.drained}});
}

}  // namespace wisteriaroute::control
