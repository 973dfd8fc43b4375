#include "libwisteriaroute/gateway/event_framer.h"

#include <algorithm>
#include <charconv>

namespace wisteriaroute::gateway {

namespace {

/** Length of the event at the start of `text`, or 0 if it is incomplete. */
std::size_t EventLength(std::string_view text) {
  const std::size_t lf = text.find("\n\n");
  const std::size_t crlf = text.find("\r\n\r\n");
  if (lf == text.npos && crlf == text.npos) {
    return 0;
  }
  return lf < crlf ? lf + 2 : crlf + 4;
}

/** Removes the first line from `text` and returns it without its line break. */
std::string_view NextLine(std::string_view& text) {
  const std::size_t end = std::min(text.find('\n'), text.size());
  std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

bool IsComment(std::string_view event) {
  while (!event.empty()) {
    const std::string_view line = NextLine(event);
    if (!line.empty() && !line.starts_with(':')) {
      return false;
    }
  }
  return true;
}

std::optional<std::uint64_t> ParseId(std::string_view event) {
  while (!event.empty()) {
    std::string_view line = NextLine(event);
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [last, error] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc() && last != line.data()) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

std::vector<stream_event> event_framer::Feed(std::string_view data) {
  buffer_ += data;
  std::vector<stream_event> events;
  std::size_t used = 0;
  for (;;) {
    const std::string_view text = std::string_view(buffer_).substr(used);
    const std::size_t length = EventLength(text);
    if (length == 0) {
      break;
    }
    const std::string_view event = text.substr(0, length);
    events.push_back({.text = std::string(event),
                      .id = ParseId(event),
                      .is_comment = IsComment(event)});
    used += length;
  }
  buffer_.erase(0, used);
  return events;
}

}  // namespace wisteriaroute::gateway
