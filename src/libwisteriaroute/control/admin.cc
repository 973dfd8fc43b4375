#include "libwisteriaroute/control/admin.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/config/changes.h"
#include "libwisteriaroute/config/parse.h"
#include "libwisteriaroute/control/admin_json.h"
#include "libwisteriaroute/control/proposals.h"
#include "libwisteriaroute/control/server_reports.h"
#include "libwisteriaroute/control/sessions.h"

namespace wisteriaroute::control {

namespace {

void Reply(net::link_id link,
           std::uint64_t correlation,
           wire::admin_reply reply,
           replica_effects& out) {
  reply.correlation = correlation;
  out.push_back(send_to_links{{link}, std::move(reply)});
}

// A log entry holds at most 4 MiB, including names and lengths.
constexpr std::size_t kMaxChangeBytes = 3'500'000;

std::size_t Bytes(const std::vector<wire::config_object>& objects) {
  std::size_t bytes = 0;
  for (const wire::config_object& object : objects) {
    bytes += object.kind.size() + object.name.size() + object.body.size() + 48;
  }
  return bytes;
}

struct admin_request_handler {
  replica_state& state;
  net::link_id link;
  std::uint64_t correlation;
  const step_time& now;
  replica_effects& out;

  void operator()(const wire::publish_request& request) const {
    if (request.operation_id.empty()) {
      Refuse("invalid_operation", "an operation id is required");
      return;
    }
    const config_history& history = state.durable.config;
    publish_command command{.base_revision = request.base_revision,
                            .operation_id = request.operation_id,
                            .content_digest = ContentDigest(request)};
    const bool resend = std::ranges::any_of(
        history.operations, [&](const publish_operation& operation) {
          return operation.operation_id == request.operation_id;
        });
    if (!resend && request.base_revision == history.revision) {
      const std::vector<wire::config_object> base = Objects(history);
      const config::set_changes wanted =
          config::RequestedChanges(request, base);
      const config::parsed_set parsed = config::ParseObjects(
          config::Apply(base, wanted.changed, wanted.removed));
      if (!parsed.findings.empty()) {
        Refuse("invalid_config", base::findings_error(parsed.findings).what());
        return;
      }
      // The log and the members receive the parser's canonical form.
      config::set_changes changes = config::Diff(base, parsed.objects);
      command.changed = std::move(changes.changed);
      command.removed = std::move(changes.removed);
      if (Bytes(command.changed) > kMaxChangeBytes) {
        Refuse("too_large",
               "the change exceeds 3.5 MB; publish it in several parts");
        return;
      }
      command.result_digest =
          DigestAfter(history, command.changed, command.removed);
      command.validated = true;
    }
    Submit(std::move(command));
  }
  void operator()(const wire::publish_document& request) const {
    if (request.body.size() > kMaxChangeBytes) {
      Refuse("too_large", "the document exceeds 3.5 MB");
      return;
    }
    if (link != kHttpLink && state.options.decode_traffic) {
      base::findings found;
      const auto set = state.options.decode_traffic(request.body, found);
      if (!set || set->version != request.version) {
        Refuse("invalid_config", found.empty()
                                     ? "the version differs from the document's"
                                     : base::ToString(found.front()));
        return;
      }
    }
    Submit(request);
  }
  void operator()(const wire::report_server& report) const {
    // The entries are notified before the quorum round or the commit ends. The
    // reply then confirms that this replica was still the leader.
    if (!HandleServerReport(state, report, now, out)) {
      out.push_back(send_to_links{
          {link},
          wire::admin_reply{.correlation = correlation,
                            .result = wire::admin_result::kUnavailable}});
      return;
    }
    if (auto departure = FindUnrecordedDeparture(state, report, now)) {
      Submit(std::move(*departure));
      return;
    }
    state.leadership->next_batch.reads.push_back({link, correlation, report});
    BeginConfirm(state, now, out);
  }
  void operator()(const wire::drain_request& request) const { Submit(request); }
  void operator()(const wire::evacuation_order& order) const {
    const evacuation_table& known = state.durable.evacuations;
    const auto& allowed = state.options.data_centers;
    if (order.data_center.empty() ||
        order.data_center.size() > kMaxDataCenterBytes) {
      Refuse("invalid_data_center", "the name is empty or too long");
    } else if (!allowed.empty() && !allowed.contains(order.data_center) &&
               !IsKnown(known, order.data_center)) {
      // An order that was accepted under earlier settings is accepted again.
      Refuse("not_found", "the settings don't list this data centre");
    } else if (order.evacuated && !IsKnown(known, order.data_center) &&
               known.data_centers.size() >= kMaxEvacuatedDataCenters) {
      Refuse("too_many", "too many data centres are evacuated");
    } else {
      Submit(order);
    }
  }
  void operator()(const wire::release_quarantine& request) const {
    Submit(request);
  }
  void operator()(const wire::add_replica& request) const {
    ChangeReplica(request);
  }
  void operator()(const wire::remove_replica& request) const {
    ChangeReplica(request);
  }
  void operator()(const base::timeline_filter& filter) const {
    out.push_back(answer_timeline{link, correlation, filter});
  }
  void operator()(const wire::rebalance_request& request) const {
    if (!state.durable.groups.groups.contains(request.group)) {
      Refuse("not_found", "this group has not been formed");
      return;
    }
    state.leadership->groups[request.group].next_plan_us = 0;
    Reply(link, correlation,
          {.result = wire::admin_result::kOk, .json = R"({"asked":true})"},
          out);
  }
  template <typename Read>
  void operator()(const Read& read) const {
    state.leadership->next_batch.reads.push_back({link, correlation, read});
    BeginConfirm(state, now, out);
  }

 private:
  void Refuse(std::string code, std::string message) const {
    Reply(link, correlation,
          {.result = wire::admin_result::kRefused,
           .code = std::move(code),
           .message = std::move(message)},
          out);
  }
  void Submit(command_body body) const {
    Propose(state, std::move(body), pending_admin{link, correlation}, now, out);
  }
  template <typename Change>
  void ChangeReplica(const Change& change) const {
    const std::uint64_t id = state.next_id++;
    state.leadership->proposals.emplace(id, pending_admin{link, correlation});
    out.push_back(change_replica{id, change});
  }
};

struct read_handler {
  replica_state& state;
  const step_time& now;

  std::string operator()(const wire::get_config&) const {
    return ConfigJson(state);
  }
  std::string operator()(const wire::get_document&) const {
    return std::string(DocumentBody(state.durable.config));
  }
  std::string operator()(const wire::get_status&) const {
    return StatusJson(state, now.now_us);
  }
  std::string operator()(const wire::get_history&) const {
    return HistoryJson(state);
  }
  std::string operator()(const wire::get_groups&) const {
    return GroupsJson(state);
  }
  std::string operator()(const wire::get_quarantine&) const {
    return QuarantineJson(state);
  }
  std::string operator()(const wire::get_members&) const {
    return MembersJson(state, now.now_us);
  }
  template <typename Other>
  std::string operator()(const Other&) const {
    return "{}";
  }
};

}  // namespace

void HandleAdmin(replica_state& state,
                 net::link_id link,
                 const wire::admin_request& request,
                 const step_time& now,
                 replica_effects& out) {
  const bool any_replica =
      std::holds_alternative<base::timeline_filter>(request.call);
  if (!state.leadership && !any_replica) {
    Reply(link, request.correlation,
          {.result = wire::admin_result::kNotLeader,
           .code = "not_leader",
           .message = state.leader_address},
          out);
    return;
  }
  std::visit(admin_request_handler{state, link, request.correlation, now, out},
             request.call);
}

void AnswerRead(replica_state& state,
                const waiting_read& read,
                const step_time& now,
                replica_effects& out) {
  Reply(read.link, read.correlation,
        {.result = wire::admin_result::kOk,
         .json = std::visit(read_handler{state, now}, read.call)},
        out);
}

void RefuseRead(const waiting_read& read, replica_effects& out) {
  Reply(read.link, read.correlation,
        {.code = "unavailable",
         .message = "no quorum confirmed the leader; retry the request"},
        out);
}

}  // namespace wisteriaroute::control
