#include "libwisteriaroute/control/proposals.h"

#include <algorithm>
#include <utility>

#include "libwisteriaroute/config/parse.h"

namespace wisteriaroute::control {

namespace {

constexpr base::time_ms kHourMs = 3'600'000;
constexpr base::time_ms kDefaultRetentionMs = 24 * kHourMs;

void ReplyClaim(const pending_claim& waiter,
                const claim_decision& decision,
                replica_effects& out) {
  out.push_back(
      send_to_links{{waiter.link},
                    wire::claim_reply{.correlation = waiter.correlation,
                                      .result = decision.result,
                                      .holder = decision.holder,
                                      .response = decision.response}});
}

wire::admin_reply DescribePublish(const publish_result& result) {
  wire::admin_reply reply{
      .json = "{\"revision\":" + std::to_string(result.revision) +
              ",\"repeated\":" + (result.repeated ? "true" : "false") + "}"};
  switch (result.code) {
    case publish_code::kOk:
      reply.result = wire::admin_result::kOk;
      return reply;
    case publish_code::kStaleBase:
      reply.code = "stale_base";
      reply.message = "the newest revision is " +
                      std::to_string(result.revision) + "; nothing was changed";
      break;
    case publish_code::kOperationReused:
      reply.code = "operation_reused";
      reply.message = "the operation id was used for different content";
      break;
    case publish_code::kDigestMismatch:
      reply.code = "digest_mismatch";
      reply.message = "the resulting set differs from the validated one";
      break;
  }
  reply.result = wire::admin_result::kRefused;
  return reply;
}

struct admin_reply_builder {
  wire::admin_reply operator()(const publish_result& result) const {
    return DescribePublish(result);
  }
  wire::admin_reply operator()(const change_result& result) const {
    return {.result = wire::admin_result::kOk,
            .json = result.changed ? R"({"changed":true})"
                                   : R"({"changed":false})"};
  }
  wire::admin_reply operator()(const quarantine_changes& changes) const {
    if (changes.empty()) {
      return {.result = wire::admin_result::kRefused,
              .code = "not_found",
              .message = "this fingerprint is not in quarantine"};
    }
    return (*this)(change_result{true});
  }
  wire::admin_reply operator()(const claim_decision&) const { return {}; }
};

struct waiter_answer {
  replica_state& state;
  const command_result& result;
  replica_effects& out;

  void operator()(const std::monostate&) const {}
  void operator()(const pending_claim& waiter) const {
    ReplyClaim(waiter, std::get<claim_decision>(result), out);
  }
  void operator()(const pending_admin& waiter) const {
    wire::admin_reply reply = std::visit(admin_reply_builder{}, result);
    reply.correlation = waiter.correlation;
    out.push_back(send_to_links{{waiter.link}, std::move(reply)});
  }
  void operator()(const pending_group& waiter) const {
    state.leadership->groups[waiter.group].proposal_id = 0;
  }
};

struct waiter_failure {
  replica_state& state;
  const proposal_failed& failure;
  replica_effects& out;

  void operator()(const std::monostate&) const {}
  void operator()(const pending_claim& waiter) const {
    ReplyClaim(waiter, {}, out);
  }
  void operator()(const pending_admin& waiter) const {
    wire::admin_reply reply{.correlation = waiter.correlation,
                            .code = "unavailable",
                            .message = failure.reason};
    if (failure.permanent) {
      reply.result = wire::admin_result::kRefused;
      reply.code = "invalid_change";
    }
    out.push_back(send_to_links{{waiter.link}, std::move(reply)});
  }
  void operator()(const pending_group& waiter) const {
    state.leadership->groups[waiter.group].proposal_id = 0;
  }
};

/**
 * Proposes, or answers kUnavailable if too many proposals are pending; the
 * entry then repeats the request.
 */
void ProposeOrRefuse(replica_state& state,
                     command_body body,
                     const pending_claim& waiter,
                     const step_time& now,
                     replica_effects& out) {
  if (state.leadership->proposals.size() >=
      state.options.max_pending_proposals) {
    ReplyClaim(waiter, {}, out);
    return;
  }
  Propose(state, std::move(body), waiter, now, out);
}

claim_limits LimitsOf(replica_state& state, const std::string& workspace) {
  claim_limits limits{.retention_ms = KeyRetentionMs(state)};
  const auto& workspaces = CurrentConfig(state).workspaces;
  const auto found = workspaces.find(workspace);
  if (found != workspaces.end()) {
    limits.max_undated_keys =
        static_cast<std::uint64_t>(found->second.max_undated_keys);
  }
  return limits;
}

}  // namespace

std::uint64_t Propose(replica_state& state,
                      command_body body,
                      pending_proposal waiter,
                      const step_time& now,
                      replica_effects& out) {
  const std::uint64_t id = state.next_id++;
  state.leadership->proposals.emplace(id, std::move(waiter));
  out.push_back(
      propose_command{id, EncodeCommand({.wall_ms = now.wall_ms,
                                         .proposer = state.options.incarnation,
                                         .proposal = id,
                                         .body = std::move(body)})});
  return id;
}

void ProposeClaim(replica_state& state,
                  net::link_id link,
                  const wire::claim_request& request,
                  const step_time& now,
                  replica_effects& out) {
  ProposeOrRefuse(state,
                  claim_command{.request = request,
                                .limits = LimitsOf(state, request.workspace)},
                  {link, request.correlation}, now, out);
}

void ProposeClaim(replica_state& state,
                  net::link_id link,
                  const wire::claim_move& move,
                  const step_time& now,
                  replica_effects& out) {
  ProposeOrRefuse(state, move, {link, move.correlation}, now, out);
}

void ProposeClaim(replica_state& state,
                  net::link_id link,
                  const wire::claim_outcome& outcome,
                  const step_time& now,
                  replica_effects& out) {
  wire::claim_outcome trimmed = outcome;
  TrimResponse(trimmed.response);
  ProposeOrRefuse(state, std::move(trimmed), {link, outcome.correlation}, now,
                  out);
}

void AnswerProposal(replica_state& state,
                    const command& value,
                    const command_result& result,
                    replica_effects& out) {
  if (value.proposer != state.options.incarnation) {
    return;
  }
  auto node = state.leadership->proposals.extract(value.proposal);
  if (!node.empty()) {
    std::visit(waiter_answer{state, result, out}, node.mapped());
  }
}

void FailProposal(replica_state& state,
                  const proposal_failed& failure,
                  replica_effects& out) {
  auto node = state.leadership->proposals.extract(failure.proposal_id);
  if (!node.empty()) {
    std::visit(waiter_failure{state, failure, out}, node.mapped());
  }
}

void FailAllProposals(replica_state& state, replica_effects& out) {
  while (!state.leadership->proposals.empty()) {
    FailProposal(state,
                 {.proposal_id = state.leadership->proposals.begin()->first,
                  .reason = "the leader changed; retry the same request"},
                 out);
  }
}

const config::object_set& CurrentConfig(replica_state& state) {
  if (!state.leadership->config) {
    // The set is empty with a published document: the entries interpret the
    // document, and control's decisions use only its engine shapes (see
    // ReadShapes).
    state.leadership->config =
        DocumentBody(state.durable.config).empty()
            ? config::ParseObjects(Objects(state.durable.config)).set
            : config::object_set();
  }
  return *state.leadership->config;
}

base::time_ms KeyRetentionMs(replica_state& state) {
  // A claim doesn't name its service, so the longest retention applies to all.
  base::time_ms retention = 0;
  for (const auto& [name, service] : CurrentConfig(state).services) {
    retention = std::max(retention, service.key_retention_h * kHourMs);
  }
  return retention == 0 ? kDefaultRetentionMs : retention;
}

}  // namespace wisteriaroute::control
