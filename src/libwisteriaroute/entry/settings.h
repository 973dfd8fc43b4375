#ifndef LIBWISTERIAROUTE_ENTRY_SETTINGS_H_
#define LIBWISTERIAROUTE_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "libwisteriaroute/base/process_settings.h"

namespace wisteriaroute::entry {

/** `[entry]` of an entry's settings file. */
struct entry_settings {
  /** `IP:port` for callers. */
  std::string listen_http;
  std::int64_t max_header_bytes = 16 * 1024;
  std::int64_t max_body_bytes = 1024 * 1024;
  std::int64_t max_connections = 4'096;
  /** Memory that the process may use. */
  std::int64_t memory_mb = 112;
  /** Descriptors that the process may open. */
  std::int64_t max_fds = 4'096;
  /** Time limit for receiving a request. */
  std::int64_t header_timeout_ms = 60'000;
  /** Connections without a request are closed after this time. */
  std::int64_t idle_timeout_ms = 60'000;
  /** A caller that doesn't take its output for this long is disconnected. */
  std::int64_t send_timeout_ms = 60'000;
  std::int64_t max_queue = 1'024;
  /** Deadline of generation requests without X-Request-Deadline-Ms. */
  std::int64_t default_deadline_ms = 120'000;
  /** After SIGTERM, /readyz fails for this long before new work is refused. */
  std::int64_t settle_ms = 1'000;
  /** Time from SIGTERM until requests in progress are aborted. */
  std::int64_t drain_limit_ms = 60'000;
  /** How long an attempt whose link was lost may wait for a new link. */
  std::int64_t reattach_ms = 3'000;
  /**
   * Retries per 100 requests of the last 10 s; at least `retry_floor` retries
   * are allowed in that time.
   */
  std::int64_t retry_percent = 10;
  std::int64_t retry_floor = 3;

  bool operator==(const entry_settings&) const = default;
};

struct settings_file {
  base::process_settings process;
  entry_settings entry;
};

/** Parses the settings and adds their errors to `out`. */
settings_file ParseSettings(std::string_view text,
                            std::string_view file,
                            base::findings& out);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_SETTINGS_H_
