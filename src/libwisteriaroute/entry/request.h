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

/** An error response that the entry makes itself. */
struct error_reply {
  unsigned status = 500;
  std::string code;
  std::string message;
  wire::outcome ran = wire::outcome::kUnknown;
  /** Seconds; 0: no Retry-After. */
  std::int64_t retry_after_s = 0;
};

enum class request_phase : std::uint8_t {
  /** Waits for a backend server. */
  kQueued,
  /** A claim_request or claim_move is unanswered; nothing is dispatched. */
  kClaiming,
  /** `current` was submitted, or attached to. */
  kRunning,
  /** Another attempt holds the key; its agent is being asked. */
  kLocating,
  /** claim_outcome with the response is unanswered. */
  kRecording,
  /** claim_outcome that gives the key back is unanswered. */
  kReleasing,
};

/** One dispatch of a request to a backend server. */
struct attempt {
  wire::attempt_id id;
  std::string agent;
  std::uint64_t backend_incarnation = 0;
  std::uint64_t window = 0;
  base::time_us started_us = 0;
  /** The agent's last load report when this was sent. */
  std::uint64_t report = 0;
  /** When the agent last sent something of it, or was asked about it. */
  base::time_us heard_us = 0;
  /** When the link to the agent was lost; 0 while it is up. */
  base::time_us detached_us = 0;
};

/** What arrived of a response. */
struct response_state {
  bool head_seen = false;
  unsigned status = 200;
  wire::header_list headers;
  /** Text or body, up to `offset`. */
  std::string text;
  /** Tokens (generation) or bytes (plain, errors) that arrived in order. */
  std::uint64_t offset = 0;
  /** Chunks that came before the ones ahead of them, by offset. */
  std::map<std::uint64_t, wire::chunk> held;
  std::size_t held_bytes = 0;
  std::optional<wire::finish> end;
  /** Parts of `text` were dropped after they were sent on. */
  bool forwarded = false;
  /** Events of a plain service, sent on as they come. */
  bool live = false;
  std::uint64_t acked = 0;
  /** Since when a part is missing; 0: none is. */
  base::time_us missing_since_us = 0;
};

/** A claim exchange with control that may have to be repeated. */
struct claim_exchange {
  std::uint64_t correlation = 0;
  wire::control_message message;
  base::time_us first_sent_us = 0;
  base::time_us resend_us = 0;
};

/** One request from its arrival to its last response byte. */
struct request {
  std::uint64_t number = 0;
  std::string request_id;
  std::string workspace;
  /** The workspace and its parents; their limits are charged. */
  std::vector<std::string> charged;
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
  /** Exchanges that wait for this response; empty when all callers left. */
  std::vector<net::exchange_id> callers;
  /** A final response was given to the callers. */
  bool answered = false;
  bool stream_started = false;
  base::time_us last_write_us = 0;
  /** What is known apart from `current`. */
  wire::outcome settled = wire::outcome::kNotRun;
  /** What is known of `current`. */
  wire::outcome running = wire::outcome::kNotRun;
  unsigned attempts = 0;
  std::optional<attempt> current;
  /** Agents that refused or failed it. */
  std::set<std::string> avoided;
  response_state response;

  /** The attempt under which this entry holds the key; it never runs. */
  std::optional<wire::attempt_id> held_attempt;
  /** The attempt that a claim in progress is for. */
  wire::claim_target claim_target;
  std::optional<claim_exchange> claim;
  /** The error to give once the key is released, or the outcome recorded. */
  std::optional<error_reply> pending_error;
  /** The attempt of another dispatch that holds the key. */
  wire::claim_target holder;
  bool query_sent = false;

  /** Backend servers that were lost while they ran this request. */
  unsigned crashes = 0;
  bool suspect = false;
  /** It ran at a backend server that died, suspect or not. */
  bool ran_at_crash = false;
  /** Position in the queue of its pool. */
  double fair_tag = 0;
};

/** What the callers may be told of whether the request ran. */
inline wire::outcome Outcome(const request& of) {
  return std::max(of.settled, of.running);
}

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_REQUEST_H_
