#include "libwisteriaroute/base/log_explain.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

#include "libwisteriaroute/base/hlc.h"

namespace wisteriaroute::base {

namespace {

constexpr int kHlcCounterBits = 16;
// Context lines are taken from this long before the request's first line: a
// change of an expert map takes up to 4 s, and a lease lasts 2.5 s.
constexpr std::uint64_t kBeforeMs = 5'000;
// Context lines are taken until this long after the request's last line.
constexpr std::uint64_t kAfterMs = 1'000;

// Events that may affect requests of every process.
constexpr std::array<std::string_view, 13> kClusterEvents = {
    "leader_elected",      "leadership_lost",     "document_accepted",
    "map_change_begun",    "map_change_ended",    "map_change_adopted",
    "map_change_outdated", "map_change_replaced", "map_change_given_up",
    "stray_hold",          "rank_lost",           "rank_found",
    "log_lines_dropped"};
// Events that may affect only requests of the process that logs them.
constexpr std::array<std::string_view, 12> kProcessEvents = {
    "traffic_published",
    "configuration_unreadable",
    "gateway_started",
    "stopping",
    "drained",
    "reload",
    "control_link_up",
    "control_link_down",
    "control_session_opened",
    "input_refused",
    "evacuation_started",
    "evacuation_ended"};

template <std::size_t size>
bool Holds(const std::array<std::string_view, size>& names,
           std::string_view name) {
  return std::ranges::find(names, name) != names.end();
}

/**
 * Removes the next blank-separated word from `text` and returns it. A quoted
 * value is part of its word and loses its quotes and escapes.
 */
std::string TakeWord(std::string_view& text) {
  const std::size_t start = text.find_first_not_of(' ');
  text.remove_prefix(std::min(start, text.size()));
  std::string word;
  bool quoted = false;
  std::size_t i = 0;
  for (; i < text.size() && (quoted || text[i] != ' '); ++i) {
    if (text[i] == '\\' && quoted && i + 1 < text.size()) {
      word += text[++i];
    } else if (text[i] == '"') {
      quoted = !quoted;
    } else {
      word += text[i];
    }
  }
  text.remove_prefix(i);
  return word;
}

std::uint64_t ToNumber(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

/**
 * Converts a time of the form `2026-12-04T07:45:54.244` to milliseconds since
 * 1970; 0 if `text` has another form.
 */
std::uint64_t ToMilliseconds(std::string_view text) {
  constexpr std::size_t kLength = 23;
  if (text.size() != kLength || text[10] != 'T' || text[19] != '.') {
    return 0;
  }
  const auto number = [&](std::size_t at, std::size_t size) {
    return static_cast<std::int64_t>(ToNumber(text.substr(at, size)));
  };
  // Converts the Gregorian date to days since 1970, with years that begin in
  // March.
  const std::int64_t month = number(5, 2);
  const std::int64_t year = number(0, 4) - (month <= 2 ? 1 : 0);
  const std::int64_t era_year = year % 400;
  const std::int64_t year_day =
      (153 * (month + (month > 2 ? -3 : 9)) + 2) / 5 + number(8, 2) - 1;
  const std::int64_t days = year / 400 * 146'097 + era_year * 365 +
                            era_year / 4 - era_year / 100 + year_day - 719'468;
  const std::int64_t seconds =
      ((days * 24 + number(11, 2)) * 60 + number(14, 2)) * 60 + number(17, 2);
  return static_cast<std::uint64_t>(seconds * 1'000 + number(20, 3));
}

/** Parses one log; the timestamps of the returned lines never decrease. */
std::vector<log_line> ParseLog(std::string_view text) {
  std::vector<log_line> lines;
  std::uint64_t last = 0;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    if (auto line = ParseLogLine(text.substr(0, end))) {
      // The wall clock may jump back; the order of lines in the file is right.
      last = line->hlc = std::max(line->hlc, last);
      lines.push_back(std::move(*line));
    }
    text.remove_prefix(end == text.npos ? text.size() : end + 1);
  }
  return lines;
}

/** Processes, servers and time range that the request's lines refer to. */
struct references {
  std::set<std::string, std::less<>> processes;
  std::set<std::string, std::less<>> servers;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

references Collect(const std::vector<request_explanation::entry>& own) {
  references found;
  for (const request_explanation::entry& one : own) {
    const log_line& line = one.line;
    found.processes.insert(line.process);
    if (const std::string_view server = line.Field("server"); !server.empty()) {
      found.servers.emplace(server);
    }
    found.first = found.first == 0 ? line.hlc : std::min(found.first, line.hlc);
    found.last = std::max(found.last, line.hlc);
  }
  return found;
}

bool IsContext(const log_line& line, const references& to) {
  if (line.hlc + (kBeforeMs << kHlcCounterBits) < to.first ||
      line.hlc > to.last + (kAfterMs << kHlcCounterBits)) {
    return false;
  }
  if (Holds(kClusterEvents, line.event)) {
    return true;
  }
  if (Holds(kProcessEvents, line.event)) {
    return to.processes.contains(line.process);
  }
  // Lines of other requests at the same server don't explain this one.
  return line.Field("request").empty() &&
         to.servers.contains(line.Field("server"));
}

std::string Summarize(const std::vector<request_explanation::entry>& own) {
  if (own.empty()) {
    return "no line names the request";
  }
  const auto end = std::ranges::find_if(own, [](const auto& one) {
    return one.line.event == "request_ended" ||
           one.line.event == "request_refused";
  });
  if (end == own.end()) {
    return "the request has no end in these logs: " + own.back().line.process +
           " stopped, or its lines were dropped or are missing";
  }
  const log_line& line = end->line;
  std::string text = line.event == "request_refused"
                         ? "refused"
                         : std::string(line.Field("outcome"));
  text += " by " + line.process;
  for (const char* key : {"status", "code", "cause", "attempts", "ms", "events",
                          "first_event_ms", "server", "retry_after_ms"}) {
    if (const std::string_view value = line.Field(key); !value.empty()) {
      text += std::string(" ") + key + "=" + std::string(value);
    }
  }
  return text;
}

}  // namespace

std::string_view log_line::Field(std::string_view key) const {
  const auto found = fields.find(key);
  return found == fields.end() ? std::string_view() : found->second;
}

std::optional<log_line> ParseLogLine(std::string_view text) {
  log_line line{.text = std::string(text)};
  std::uint64_t time_ms = 0;
  while (!text.empty()) {
    const std::string word = TakeWord(text);
    const std::size_t equals = word.find('=');
    if (line.process.empty()) {
      // Before the process come the time, the level and a collector's prefix.
      time_ms = std::max(time_ms, ToMilliseconds(word));
      if (word.starts_with("process=")) {
        line.process = word.substr(equals + 1);
      }
    } else if (equals == word.npos) {
      if (line.event.empty()) {
        line.event = word;
      }
    } else {
      line.fields[word.substr(0, equals)] = word.substr(equals + 1);
    }
  }
  if (line.process.empty() || line.event.empty()) {
    return std::nullopt;
  }
  line.hlc = ToNumber(line.Field("hlc"));
  if (line.hlc == 0) {
    line.hlc = time_ms << kHlcCounterBits;
  }
  return line;
}

request_explanation ExplainRequest(std::span<const std::string> logs,
                                   std::string_view request_id) {
  std::vector<log_line> lines;
  for (const std::string& log : logs) {
    std::ranges::move(ParseLog(log), std::back_inserter(lines));
  }
  std::ranges::stable_sort(lines, {}, &log_line::hlc);
  std::vector<request_explanation::entry> own;
  for (const log_line& line : lines) {
    if (line.Field("request") == request_id) {
      own.push_back({line, true});
    }
  }
  request_explanation explanation{.summary = Summarize(own)};
  if (own.empty()) {
    return explanation;
  }
  const references refers = Collect(own);
  for (log_line& line : lines) {
    const bool is_own = line.Field("request") == request_id;
    if (is_own || IsContext(line, refers)) {
      explanation.entries.push_back({std::move(line), is_own});
    }
  }
  return explanation;
}

}  // namespace wisteriaroute::base
