#ifndef LIBWISTERIAROUTE_CONTROL_CLAIM_TABLE_H_
#define LIBWISTERIAROUTE_CONTROL_CLAIM_TABLE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::control {

/** A larger response body isn't recorded; the status is. */
inline constexpr std::size_t kMaxRecordedBodyBytes = 64 * 1024;
/** A key whose creation time is further ahead of the log time is refused. */
inline constexpr base::time_ms kMaxKeyAheadMs = 300'000;

/** Limits that the leader takes from the configuration for each command. */
struct claim_limits {
  base::time_ms retention_ms = 24 * 3'600'000;
  std::uint64_t max_undated_keys = 1'000'000;

  bool operator==(const claim_limits&) const = default;
};

/** The state of one key of a workspace. */
struct claim {
  base::digest128 body_digest;
  /** Creation time in the key, Unix ms; 0 for an undated key. */
  base::time_ms created_ms = 0;
  /** Log time of the grant, Unix ms. */
  base::time_ms claimed_ms = 0;
  wire::claim_target target;
  /** Set when the call has ended. */
  std::optional<wire::recorded_response> response;

  bool operator==(const claim&) const = default;
};

/** Sorted digests of undated keys whose claims have expired. */
struct expired_keys {
  std::vector<base::digest128> ran;
  std::vector<base::digest128> unknown;

  bool operator==(const expired_keys&) const = default;
};

struct workspace_claims {
  std::unordered_map<base::digest128, claim> claims;
  expired_keys expired;
  /** Number of undated keys in `claims`. */
  std::uint64_t live_undated = 0;

  bool operator==(const workspace_claims&) const = default;
};

/** Result of a claim command; sent to the entry. */
struct claim_decision {
  wire::claim_result result = wire::claim_result::kUnavailable;
  wire::claim_target holder;
  wire::recorded_response response;

  bool operator==(const claim_decision&) const = default;
};

/** All claims. Changed only by committed commands. */
struct claim_table {
  std::map<std::string, workspace_claims, std::less<>> workspaces;
  /** Claims in expiry order: (creation or claim time, workspace, key). */
  std::set<std::pair<base::time_ms, std::pair<std::string, base::digest128>>>
      by_time;
  /**
   * Dated keys created before this time are refused. It never decreases, so
   * that a longer retention doesn't admit a key whose claim has been removed.
   */
  base::time_ms horizon_ms = 0;

  bool operator==(const claim_table&) const = default;
};

/**
 * Grants a key to an attempt, unless another attempt holds it or it has a
 * recorded response. Refuses a key that was used with another body, that has
 * expired, was created too far ahead, or exceeds the limit of undated keys.
 * Idempotent for the same attempt.
 */
claim_decision Claim(claim_table& table,
                     const wire::claim_request& request,
                     const claim_limits& limits,
                     base::time_ms log_time_ms);
/**
 * Moves a claim to another attempt if `from_attempt` holds it and no response
 * is recorded. Idempotent for the same move.
 */
claim_decision Move(claim_table& table, const wire::claim_move& move);
/**
 * Records the outcome of the attempt that holds the claim. kNotRun removes the
 * claim; a recorded kUnknown may still become kRan.
 */
claim_decision RecordOutcome(claim_table& table,
                             const wire::claim_outcome& outcome);

/** Removes claims older than the retention. Undated keys leave a digest. */
void ExpireClaims(claim_table& table,
                  base::time_ms retention_ms,
                  base::time_ms log_time_ms);

/** Drops a body larger than kMaxRecordedBodyBytes. */
void TrimResponse(wire::recorded_response& response);

/** Number of claims, without those of which only a digest is kept. */
std::size_t ClaimCount(const claim_table& table);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_CLAIM_TABLE_H_
