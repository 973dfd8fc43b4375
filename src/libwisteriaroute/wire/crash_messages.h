#ifndef LIBWISTERIAROUTE_WIRE_CRASH_MESSAGES_H_
#define LIBWISTERIAROUTE_WIRE_CRASH_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libwisteriaroute/base/digest.h"

namespace wisteriaroute::wire {

enum class quarantine_state : std::uint8_t { kSuspect, kQuarantined };

struct quarantine_entry {
  base::digest128 fingerprint;
  quarantine_state state = quarantine_state::kSuspect;
  std::uint32_t crashes = 0;
  /** Time of the replicated log, Unix ms. */
  std::int64_t since_ms = 0;
  /** A part of prompts, not a whole request. */
  bool is_part = false;

  bool operator==(const quarantine_entry&) const = default;
};

struct quarantine_update {
  bool full = false;
  std::vector<quarantine_entry> changed;
  std::vector<base::digest128> removed;

  bool operator==(const quarantine_update&) const = default;
};

/** Agent to control: requests that ran when the backend server was lost. */
struct suspect_report {
  std::string agent;
  std::uint64_t backend_incarnation = 0;
  std::vector<base::digest128> running;

  bool operator==(const suspect_report&) const = default;
};

/** Entry to control: a suspect request ran to its end; clears the suspicion. */
struct suspect_cleared {
  base::digest128 fingerprint;

  bool operator==(const suspect_cleared&) const = default;
};

/** A part of a prompt that a suspect request shares with other requests. */
struct suspect_part {
  base::digest128 fingerprint;
  /** Whether a server has begun to answer a prompt with this part, as far as
   * the reporting entry knows. */
  bool answered = false;

  bool operator==(const suspect_part&) const = default;
};

/** A request that a server had not begun to answer when it crashed. */
struct suspect_request {
  base::digest128 fingerprint;
  /** In the order of the prompt. */
  std::vector<suspect_part> parts;

  bool operator==(const suspect_request&) const = default;
};

/** A server's crash as one entry has seen it. */
struct crash_report {
  /** Of the server's name and incarnation: the same for all entries. */
  base::digest128 id;
  /** Time since the crash. */
  std::int64_t age_ms = 0;
  std::vector<suspect_request> suspects;

  bool operator==(const crash_report&) const = default;
};

/** Entry or agent to control; may be sent again. */
struct crash_reports {
  std::vector<crash_report> crashes;

  bool operator==(const crash_reports&) const = default;
};

/**
 * Entry to control, and from there to all other entries: a server's process has
 * ended unexpectedly.
 */
struct server_crash {
  std::string server;
  std::uint64_t incarnation = 0;

  bool operator==(const server_crash&) const = default;
};

/** The latest answer to a request, or to any prompt with a part. */
struct begun_answer {
  base::digest128 fingerprint;
  /** Time since the answer began. */
  std::int64_t age_ms = 0;

  bool operator==(const begun_answer&) const = default;
};

/** Entry to control: answers that concern suspects or quarantined ones. */
struct answers_begun {
  std::vector<begun_answer> answers;

  bool operator==(const answers_begun&) const = default;
};

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_CRASH_MESSAGES_H_
