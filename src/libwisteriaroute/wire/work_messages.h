#ifndef LIBWISTERIAROUTE_WIRE_WORK_MESSAGES_H_
#define LIBWISTERIAROUTE_WIRE_WORK_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libwisteriaroute/wire/common.h"

namespace wisteriaroute::wire {

enum class work_kind : std::uint8_t { kCompletion, kChatCompletion, kPlain };

/** Entry to agent: run this attempt. */
struct submit {
  attempt_id attempt;
  std::string request_id;
  work_kind kind = work_kind::kPlain;
  /** Backend incarnation and attempt window that the entry last saw. */
  std::uint64_t backend_incarnation = 0;
  std::uint64_t window = 0;
  /** The log holds a claim on a non-repeatable call for this attempt. */
  bool claimed = false;
  /** 0 is the highest. */
  std::uint8_t priority = 5;
  /** Time left when the message was sent; 0: no deadline. */
  std::int64_t deadline_ms = 0;
  std::string workspace;
  std::string model;
  std::string adapter;
  std::string method;
  /** Path and query of the request to the backend server. */
  std::string target;
  header_list headers;
  std::string body;
  /** Number of tokens that the caller already has, and their text. */
  std::uint64_t resume_offset = 0;
  std::string resume_text;
  /** Digest of workspace and body; identifies requests that cause crashes. */
  base::digest128 fingerprint;
  /** The request may have crashed a server. At most one such request runs at a
   * server at a time. */
  bool isolated = false;

  bool operator==(const submit&) const = default;
};

/** Entry to agent: stop the attempt; answered by attempt_status. */
struct cancel {
  attempt_id attempt;

  bool operator==(const cancel&) const = default;
};

/**
 * Entry to agent: asks for the state of an attempt, answered by
 * attempt_status. An attempt that the agent hasn't seen is refused from then
 * on.
 */
struct query {
  attempt_id attempt;
  std::uint64_t backend_incarnation = 0;
  std::uint64_t window = 0;

  bool operator==(const query&) const = default;
};

/** Entry to agent: resend the response from `offset` on. */
struct attach {
  attempt_id attempt;
  std::uint64_t offset = 0;

  bool operator==(const attach&) const = default;
};

/** Entry to agent: the response up to `offset` may be discarded. */
struct ack {
  attempt_id attempt;
  std::uint64_t offset = 0;

  bool operator==(const ack&) const = default;
};

enum class attempt_phase : std::uint8_t {
  /** Not started, and never will be. */
  kNeverRuns,
  kRunning,
  kFinished,
  kFailed,
  /** Belongs to another incarnation or to a window that has ended. */
  kForgotten,
};

struct attempt_status {
  attempt_id attempt;
  attempt_phase phase = attempt_phase::kForgotten;

  bool operator==(const attempt_status&) const = default;
};

/** Agent to entry: status line and headers of a response. */
struct head {
  attempt_id attempt;
  std::uint16_t status = 0;
  header_list headers;

  bool operator==(const head&) const = default;
};

/** Agent to entry: text of tokens, or bytes of a plain body. */
struct chunk {
  attempt_id attempt;
  /** Tokens (generation) or bytes (plain) before this chunk. */
  std::uint64_t offset = 0;
  /** Tokens in this chunk; 0 for plain bodies. */
  std::uint32_t token_count = 0;
  std::string data;

  bool operator==(const chunk&) const = default;
};

/** Agent to entry: the response is complete. */
struct finish {
  attempt_id attempt;
  /** Offset after the last chunk. */
  std::uint64_t end_offset = 0;
  /** `stop`, `length`, or empty for plain responses. */
  std::string reason;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
  /** Prompt tokens that the engine took from its prefix cache. */
  std::uint32_t cached_tokens = 0;

  bool operator==(const finish&) const = default;
};

enum class refusal_reason : std::uint8_t {
  kOtherIncarnation,
  kWindowOver,
  kQueriedBefore,
  kLeaving,
  kNoLease,
  kUnhealthy,
  kOverloaded,
  kCancelled,
  kDeadline,
  kSuspectRuns,
};

/** Agent to entry: this attempt did not run and never will. */
struct refused {
  attempt_id attempt;
  refusal_reason reason = refusal_reason::kUnhealthy;
  /** Time until the same server may accept requests again; 0: unknown. */
  std::int64_t retry_after_ms = 0;

  bool operator==(const refused&) const = default;
};

enum class failure_reason : std::uint8_t {
  kBackendLost,
  kBackendError,
  kTimeout,
  kResponseTooLarge,
  kCancelled,
};

/** Agent to entry: this attempt was started but has no complete response. */
struct failed {
  attempt_id attempt;
  failure_reason reason = failure_reason::kBackendLost;
  outcome ran = outcome::kUnknown;
  /**
   * Fingerprints of the requests that were running when the backend server was
   * lost, including this one.
   */
  std::vector<base::digest128> ran_beside;

  bool operator==(const failed&) const = default;
};

/** Agent to entry, at most every 100 ms and only when changed. */
struct load_report {
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  /** Maximum number of requests that the engine runs concurrently. */
  std::uint32_t slots = 0;
  std::uint64_t kv_used_tokens = 0;
  std::uint64_t kv_total_tokens = 0;
  std::uint32_t step_time_us = 0;
  std::uint32_t tokens_per_s = 0;
  /** Age of the engine's metrics when the report was sent. */
  std::int64_t age_ms = 0;

  bool operator==(const load_report&) const = default;
};

/** Agent to entry: changes of the engine's prefix cache, by block hash. */
struct cache_hint {
  std::uint64_t sequence = 0;
  std::vector<std::uint64_t> added;
  std::vector<std::uint64_t> removed;
  /** Events were lost: discard everything from earlier hints. */
  bool reset = false;

  bool operator==(const cache_hint&) const = default;
};

/** Agent to entry, first on each link and whenever it changes. */
struct agent_state {
  std::string name;
  std::uint64_t backend_incarnation = 0;
  std::uint64_t window = 0;
  bool healthy = false;
  bool leaving = false;
  /** Healthy, not leaving, and the agent's lease is valid. */
  bool accepting = false;
  std::vector<std::string> models;

  bool operator==(const agent_state&) const = default;
};

using work_message = std::variant<submit,
                                  cancel,
                                  query,
                                  attach,
                                  ack,
                                  attempt_status,
                                  head,
                                  chunk,
                                  finish,
                                  refused,
                                  failed,
                                  load_report,
                                  cache_hint,
                                  agent_state>;

/** Encodes for a link. */
std::string Encode(const work_message& message);

/** Throws malformed_message. */
work_message DecodeWork(std::string_view bytes);

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_WORK_MESSAGES_H_
