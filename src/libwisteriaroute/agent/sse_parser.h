#ifndef LIBWISTERIAROUTE_AGENT_SSE_PARSER_H_
#define LIBWISTERIAROUTE_AGENT_SSE_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

namespace wisteriaroute::agent {

/** Maximum total size of the current line and the data of its event. */
inline constexpr std::size_t kMaxSseBytes = 256 * 1024;

/** Splits a byte stream into the data fields of server-sent events. */
class sse_parser {
 public:
  /**
   * Parses `bytes` and appends the data of completed events to `events`.
   * Returns false if a line or an event exceeds kMaxSseBytes, and on every
   * later call.
   */
  bool Feed(std::string_view bytes, std::vector<std::string>& events);

 private:
  void EndLine(std::vector<std::string>& events);

  std::string line_;
  std::string data_;
  bool has_data_ = false;
  bool last_was_return_ = false;
  bool failed_ = false;
};

}  // namespace wisteriaroute::agent

#endif  // LIBWISTERIAROUTE_AGENT_SSE_PARSER_H_
