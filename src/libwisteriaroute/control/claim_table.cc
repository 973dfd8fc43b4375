#include "libwisteriaroute/control/claim_table.h"

#include <algorithm>
#include <iterator>

namespace wisteriaroute::control {

namespace {

using wire::claim_result;

claim_decision Decide(claim_result result) {
  return {.result = result};
}

claim_decision Describe(const claim& held) {
  if (held.response) {
    return {.result = claim_result::kRecorded,
            .holder = held.target,
            .response = *held.response};
  }
  return {.result = claim_result::kHeld, .holder = held.target};
}

std::uint64_t UndatedKeys(const workspace_claims& workspace) {
  return workspace.live_undated + workspace.expired.ran.size() +
         workspace.expired.unknown.size();
}

/** Outcome of an undated key whose claim has expired, if it is one. */
std::optional<wire::outcome> ExpiredOutcome(const expired_keys& expired,
                                            const base::digest128& key) {
  if (std::binary_search(expired.ran.begin(), expired.ran.end(), key)) {
    return wire::outcome::kRan;
  }
  if (std::binary_search(expired.unknown.begin(), expired.unknown.end(), key)) {
    return wire::outcome::kUnknown;
  }
  return std::nullopt;
}

claim_decision DescribeExpired(wire::outcome ran) {
  return {.result = claim_result::kRecorded,
          .response = {.ran = ran, .body_dropped = true}};
}

base::time_ms ExpiryTime(const claim& held) {
  return held.created_ms != 0 ? held.created_ms : held.claimed_ms;
}

struct found_claim {
  workspace_claims* workspace = nullptr;
  claim* held = nullptr;
};

found_claim Find(claim_table& table,
                 const std::string& workspace,
                 const base::digest128& key) {
  const auto found = table.workspaces.find(workspace);
  if (found == table.workspaces.end()) {
    return {};
  }
  const auto held = found->second.claims.find(key);
  return {&found->second,
          held == found->second.claims.end() ? nullptr : &held->second};
}

void Erase(claim_table& table,
           const std::string& workspace,
           const base::digest128& key) {
  const found_claim found = Find(table, workspace, key);
  table.by_time.erase({ExpiryTime(*found.held), {workspace, key}});
  if (found.held->created_ms == 0) {
    --found.workspace->live_undated;
  }
  found.workspace->claims.erase(key);
}

/** Decides a move or outcome for a key without a claim. */
claim_decision DecideMissing(const found_claim& found,
                             const base::digest128& key) {
  if (found.workspace != nullptr) {
    if (const auto ran = ExpiredOutcome(found.workspace->expired, key)) {
      return DescribeExpired(*ran);
    }
  }
  return Decide(claim_result::kUnavailable);
}

void MergeSorted(std::vector<base::digest128>& into,
                 std::vector<base::digest128>& added) {
  std::sort(added.begin(), added.end());
  std::vector<base::digest128> merged;
  merged.reserve(into.size() + added.size());
  std::merge(into.begin(), into.end(), added.begin(), added.end(),
             std::back_inserter(merged));
  into = std::move(merged);
}

}  // namespace

claim_decision Claim(claim_table& table,
                     const wire::claim_request& request,
                     const claim_limits& limits,
                     base::time_ms log_time_ms) {
  const found_claim found = Find(table, request.workspace, request.key_digest);
  if (found.held != nullptr) {
    if (found.held->body_digest != request.body_digest) {
      return Decide(claim_result::kBodyMismatch);
    }
    claim_decision decision = Describe(*found.held);
    if (decision.result == claim_result::kHeld &&
        found.held->target.attempt == request.target.attempt) {
      decision.result = claim_result::kGranted;
    }
    return decision;
  }
  if (request.key_created_ms != 0) {
    if (request.key_created_ms < table.horizon_ms ||
        request.key_created_ms < log_time_ms - limits.retention_ms ||
        request.key_created_ms > log_time_ms + kMaxKeyAheadMs) {
      return Decide(claim_result::kKeyExpired);
    }
  } else if (found.workspace != nullptr) {
    if (const auto ran =
            ExpiredOutcome(found.workspace->expired, request.key_digest)) {
      return DescribeExpired(*ran);
    }
  }
  workspace_claims& workspace = table.workspaces[request.workspace];
  if (request.key_created_ms == 0) {
    if (UndatedKeys(workspace) >= limits.max_undated_keys) {
      return Decide(claim_result::kKeyLimit);
    }
    ++workspace.live_undated;
  }
  claim granted{.body_digest = request.body_digest,
                .created_ms = request.key_created_ms,
                .claimed_ms = log_time_ms,
                .target = request.target};
  table.by_time.insert(
      {ExpiryTime(granted), {request.workspace, request.key_digest}});
  workspace.claims.emplace(request.key_digest, std::move(granted));
  return {.result = claim_result::kGranted, .holder = request.target};
}

claim_decision Move(claim_table& table, const wire::claim_move& move) {
  const found_claim found = Find(table, move.workspace, move.key_digest);
  if (found.held == nullptr) {
    return DecideMissing(found, move.key_digest);
  }
  claim& held = *found.held;
  if (held.response) {
    return Describe(held);
  }
  if (held.target.attempt == move.to.attempt) {
    return {.result = claim_result::kGranted, .holder = held.target};
  }
  if (held.target.attempt != move.from_attempt) {
    return Describe(held);
  }
  held.target = move.to;
  return {.result = claim_result::kGranted, .holder = held.target};
}

claim_decision RecordOutcome(claim_table& table,
                             const wire::claim_outcome& outcome) {
  const found_claim found = Find(table, outcome.workspace, outcome.key_digest);
  if (found.held == nullptr) {
    // The first kNotRun removed the claim; a repetition must succeed as well.
    return outcome.response.ran == wire::outcome::kNotRun
               ? Decide(claim_result::kGranted)
               : DecideMissing(found, outcome.key_digest);
  }
  claim& held = *found.held;
  if (held.target.attempt != outcome.attempt) {
    return Describe(held);
  }
  if (held.response) {
    // An entry that asks a lost agent about the attempt records `unknown`. The
    // entry that has the response may still record it for the same attempt.
    const bool better = held.response->ran == wire::outcome::kUnknown &&
                        outcome.response.ran == wire::outcome::kRan;
    if (!better) {
      claim_decision decision = Describe(held);
      if (held.response->ran == outcome.response.ran) {
        decision.result = claim_result::kGranted;
      }
      return decision;
    }
  }
  const wire::claim_target target = held.target;
  if (outcome.response.ran == wire::outcome::kNotRun) {
    Erase(table, outcome.workspace, outcome.key_digest);
  } else {
    held.response = outcome.response;
    TrimResponse(*held.response);
  }
  return {.result = claim_result::kGranted, .holder = target};
}

void ExpireClaims(claim_table& table,
                  base::time_ms retention_ms,
                  base::time_ms log_time_ms) {
  table.horizon_ms = std::max(table.horizon_ms, log_time_ms - retention_ms);
  std::map<std::string, expired_keys, std::less<>> added;
  while (!table.by_time.empty() &&
         table.by_time.begin()->first < table.horizon_ms) {
    const auto [workspace, key] = table.by_time.begin()->second;
    const claim& held = *Find(table, workspace, key).held;
    if (held.created_ms == 0) {
      const bool ran =
          held.response && held.response->ran == wire::outcome::kRan;
      expired_keys& expired = added[workspace];
      (ran ? expired.ran : expired.unknown).push_back(key);
    }
    Erase(table, workspace, key);
  }
  for (auto& [name, expired] : added) {
    workspace_claims& workspace = table.workspaces[name];
    MergeSorted(workspace.expired.ran, expired.ran);
    MergeSorted(workspace.expired.unknown, expired.unknown);
  }
}

void TrimResponse(wire::recorded_response& response) {
  if (response.body.size() > kMaxRecordedBodyBytes) {
    response.body = std::string();
    response.body_dropped = true;
  }
}

std::size_t ClaimCount(const claim_table& table) {
  std::size_t count = 0;
  for (const auto& [name, workspace] : table.workspaces) {
    count += workspace.claims.size();
  }
  return count;
}

}  // namespace wisteriaroute::control
