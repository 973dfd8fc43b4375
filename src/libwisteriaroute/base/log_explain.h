#ifndef LIBWISTERIAROUTE_BASE_LOG_EXPLAIN_H_
#define LIBWISTERIAROUTE_BASE_LOG_EXPLAIN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaroute::base {

/** A parsed line that a process wrote with log.h. */
struct log_line {
  std::string text;
  std::string process;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;
  /** Hybrid timestamp; derived from the line's wall time if it has none. */
  std::uint64_t hlc = 0;

  /** Returns the value of a field, or empty if the line lacks it. */
  std::string_view Field(std::string_view key) const;
};

/**
 * Parses a log line; ignores any prefix that a log collector has added. Returns
 * nullopt if the line has no process or no event.
 */
std::optional<log_line> ParseLogLine(std::string_view text);

/** The log lines of several processes that explain one request's outcome. */
struct request_explanation {
  struct entry {
    log_line line;
    /** Whether the line names the request; otherwise it is context. */
    bool own = false;
  };
  /** Sorted by hybrid timestamp, which is causal order. */
  std::vector<entry> entries;
  /** How the request ended, or why that isn't known. */
  std::string summary;
};

/** Each element of `logs` is the full text of one process's log. */
request_explanation ExplainRequest(std::span<const std::string> logs,
                                   std::string_view request_id);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_LOG_EXPLAIN_H_
