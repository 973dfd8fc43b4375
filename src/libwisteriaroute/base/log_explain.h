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

/** A line that a process wrote with log.h. */
struct log_line {
  std::string text;
  std::string process;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;
  /** Hybrid time stamp; made from the time of day if the line has none. */
  std::uint64_t hlc = 0;

  /** Value of a field, or empty. */
  std::string_view Field(std::string_view key) const;
};

/** Reads a line, whatever stands before its time; nothing if it isn't one. */
std::optional<log_line> ParseLogLine(std::string_view text);

/** What became of a request, from the logs of several processes. */
struct request_story {
  struct entry {
    log_line line;
    /** Whether it names the request; else it explains a line that does. */
    bool own = false;
  };
  /** In causal order. */
  std::vector<entry> entries;
  /** One sentence on the end of the request, or why it isn't known. */
  std::string summary;
};

/** Each element of `logs` is the whole text of one process's log. */
request_story ExplainRequest(std::span<const std::string> logs,
                             std::string_view request_id);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_LOG_EXPLAIN_H_
