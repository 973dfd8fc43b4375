#ifndef LIBWISTERIAROUTE_ENTRY_REQUEST_H_
#define LIBWISTERIAROUTE_ENTRY_REQUEST_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/net/http_server.h"
#include "libwisteriaroute/wire/control_messages.h"
#include "libwisteriaroute/wire/work_messages.h"

namespace wisteriaroute::entry {

/** An error response that the entry generates itself. */
struct error_reply {
  unsigned status = 500;
  std::string code;
  std::string message;
  /** Whether the request was run, as far as the entry knows. */
  wire::outcome ran = wire::outcome::kUnknown;
  /** Value of Retry-After; 0: the header is not sent. */
  std::int64_t retry_after_s = 0;
};

enum class request_phase : std::uint8_t {
  /** Waits for a backend server. */
  kQueued,
  /** Waits for the reply to a claim_request or claim_move before dispatch. */
  kClaiming,
  /** The attempt `current` was submitted, or the entry attached to it. */
  kRunning,
  /** Another attempt holds the key; its agent is queried for its state. */
  kLocating,
  /** Waits for the reply to the claim_outcome that records the result. */
  kRecording,
  /** Waits for the reply to the claim_outcome that releases the key. */
  kReleasing,
};

/** One dispatch of a request to a backend server. */
struct attempt {
  wire::attempt_id id;
  std::string agent;
  std::uint64_t backend_incarnation = 0;
  std::uint64_t window = 0;
  base::time_us started_us = 0;
  /** The agent's load report number when this attempt was sent. */
  std::uint64_t load_report_number = 0;
  /**
   * Time of its start, of its last head, chunk or finish, or of a query that
   * was sent because of silence; the latest of these.
   */
  base::time_us last_message_us = 0;
  /** When the link to the agent was lost; 0 while it is up. */
  base::time_us detached_us = 0;
};

/** The part of a response that has been received. */
struct response_state {
  bool head_seen = false;
  unsigned status = 200;
  wire::header_list headers;
  /** Generated text or body up to `offset`, unless `forwarded` is set. */
  std::string text;
  /** Tokens (generation) or bytes (plain, errors) received in order. */
  std::uint64_t offset = 0;
  /** Chunks that arrived before the head or out of order, by offset. */
  std::map<std::uint64_t, wire::chunk> buffered_chunks;
  std::size_t buffered_bytes = 0;
  std::optional<wire::finish> end;
  /** Parts were sent to the callers and removed from `text`. */
  bool forwarded = false;
  /** Event stream of a plain service: forwarded without buffering. */
  bool forward_immediately = false;
  /** The offset that was last acknowledged to the agent. */
  std::uint64_t acked_offset = 0;
  /** When a missing part was first noticed, or last requested; 0: none. */
  base::time_us missing_since_us = 0;
};

/** A claim message to control that is sent again until it is answered. */
struct claim_exchange {
  std::uint64_t correlation = 0;
  wire::control_message message;
  base::time_us first_sent_us = 0;
  base::time_us resend_us = 0;
};

/** One request from its arrival to its last response byte. */
struct request_state {
  std::uint64_t number = 0;
  std::string request_id;
  std::string workspace;
  /** The workspaces whose limits count the request: its own and parents. */
  std::vector<std::string> charged_workspaces;
  wire::work_kind kind = wire::work_kind::kPlain;
  /** Key of the set of backend servers that can serve it. */
  std::string pool;
  std::string model;
  std::string adapter;
  std::string service;
  std::string method;
  std::string target;
  wire::header_list headers;
  std::string body;
  bool stream = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  std::vector<std::uint64_t> prefix_blocks;
  /** Parts of the prompt that other requests may share, in order. */
  std::vector<base::digest128> shared_messages;
  std::uint8_t priority = 5;
  base::time_us arrived_us = 0;
  base::time_us deadline_us = 0;
  std::int64_t created_s = 0;
  std::string key;
  std::int64_t key_created_ms = 0;
  base::digest128 key_digest;
  base::digest128 body_digest;
  base::digest128 fingerprint;
  bool non_repeatable = false;

  request_phase phase = request_phase::kQueued;
  base::time_us phase_since_us = 0;
  /** Exchanges that wait for this response; empty once it was answered. */
  std::vector<net::exchange_id> callers;
  /** The final response was sent, or all callers have left. */
  bool answered = false;
  bool stream_started = false;
  base::time_us last_write_us = 0;
  /** Outcome of the earlier attempts, including those of other entries. */
  wire::outcome earlier_outcome = wire::outcome::kNotRun;
  /** Outcome of the attempt `current` so far. */
  wire::outcome current_outcome = wire::outcome::kNotRun;
  unsigned attempts = 0;
  std::optional<attempt> current;
  /** Agents that refused the request or failed to complete it. */
  std::set<std::string> avoided_agents;
  response_state response;

  /** The attempt under which this entry holds the key; it never runs. */
  std::optional<wire::attempt_id> held_attempt;
  /** The attempt for which the key is being claimed. */
  wire::claim_target claim_target;
  std::optional<claim_exchange> claim;
  /** The error to send once the key is released or the outcome recorded. */
  std::optional<error_reply> pending_error;
  /** The attempt that holds the key, sent by another entry or earlier. */
  wire::claim_target holder;
  bool query_sent = false;

  /** Backend servers that were lost while they ran this request. */
  unsigned crashes = 0;
  /** The request may have caused the loss of a backend server. */
  bool suspect = false;
  /** A backend server was lost while it ran this request, suspect or not. */
  bool ran_at_crash = false;
  /** Virtual finish time for fair queueing in its pool. */
  double fair_tag = 0;
};

/** Whether the request was run, as it may be reported to callers. */
inline wire::outcome Outcome(const request_state& request) {
  return std::max(request.earlier_outcome, request.current_outcome);
}

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_REQUEST_H_
