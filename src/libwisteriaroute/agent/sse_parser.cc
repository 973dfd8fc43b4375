#include "libwisteriaroute/agent/sse_parser.h"

namespace wisteriaroute::agent {

bool sse_parser::Feed(std::string_view bytes,
                      std::vector<std::string>& events) {
  while (!bytes.empty() && !failed_) {
    // A line ends with \n, \r\n or \r.
    if (last_was_return_ && bytes.front() == '\n') {
      bytes.remove_prefix(1);
      last_was_return_ = false;
      continue;
    }
    last_was_return_ = false;
    const std::size_t end = bytes.find_first_of("\r\n");
    line_.append(bytes.substr(0, end));
    if (line_.size() + data_.size() > kMaxSseBytes) {
      failed_ = true;
      break;
    }
    if (end == std::string_view::npos) {
      break;
    }
    last_was_return_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    EndLine(events);
  }
  return !failed_;
}

void sse_parser::EndLine(std::vector<std::string>& events) {
  if (line_.empty()) {
    if (has_data_) {
      events.push_back(std::move(data_));
    }
    data_.clear();
    has_data_ = false;
    return;
  }
  std::string_view line = line_;
  if (line.starts_with("data:")) {
    line.remove_prefix(5);
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (has_data_) {
      data_ += '\n';
    }
    data_ += line;
    has_data_ = true;
  }
  line_.clear();
}

}  // namespace wisteriaroute::agent
