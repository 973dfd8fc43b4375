#include "libwisteriaroute/base/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <sstream>
#include <utility>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/base/log_sink.h"

namespace wisteriaroute::base {

namespace {

log4cplus::Logger& ProcessLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

// Limit for each event. More lines of one event add no information and take
// time from requests.
constexpr std::uint64_t kLinesPerSecond = 400;

log_limiter& Limiter() {
  static log_limiter limiter(kLinesPerSecond);
  return limiter;
}

std::uint64_t unwritten_lines = 0;
std::uint64_t dropped_lines = 0;
hybrid_clock* line_clock = nullptr;

/** Writes lines to standard output; drops a line that would block. */
class non_blocking_appender final : public log4cplus::Appender {
 public:
  ~non_blocking_appender() override { destructorImpl(); }

  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    if (!WriteWithoutBlocking(STDOUT_FILENO, line.str())) {
      ++unwritten_lines;
    }
  }
};

/**
 * Returns whether a line of this event and level may be written. If so, logs
 * first how many lines were dropped before it.
 */
bool Admit(std::string_view event, log4cplus::LogLevel level) {
  if (!ProcessLogger().isEnabledFor(level)) {
    return false;
  }
  if (!Limiter().Admit(event, MonotonicMs())) {
    return false;
  }
  const std::uint64_t dropped =
      Limiter().TakeDropped() + std::exchange(unwritten_lines, 0);
  if (dropped > 0) {
    dropped_lines += dropped;
    LOG4CPLUS_WARN(ProcessLogger(),
                   "log_lines_dropped count=" + std::to_string(dropped));
  }
  return true;
}

// Longer values are truncated; they may come from outside the process.
constexpr std::size_t kMaxValueBytes = 1'024;

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.size() > kMaxValueBytes ||
         std::ranges::any_of(value, [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=';
         });
}

std::string Quote(std::string_view value) {
  std::string quoted = "\"";
  for (const char c : value.substr(0, kMaxValueBytes)) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    // Values such as request ids come from outside. A line break in one could
    // forge a log line, so control characters become blanks.
    quoted += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  return quoted + "\"";
}

void AppendField(std::string_view key,
                 std::string_view value,
                 std::string& line) {
  line += ' ';
  line += key;
  line += '=';
  if (NeedsQuotes(value)) {
    line += Quote(value);
  } else {
    line += value;
  }
}

std::string StartLine(std::string_view event) {
  std::string line;
  if (line_clock != nullptr) {
    line = "hlc=" + std::to_string(line_clock->Tick(WallMs())) + " ";
  }
  line += event;
  return line;
}

std::string FormatLine(std::string_view event,
                       std::initializer_list<log_field> fields) {
  std::string line = StartLine(event);
  for (const log_field& field : fields) {
    AppendField(field.key, field.value, line);
  }
  return line;
}

}  // namespace

log_field::log_field(std::string_view key, std::string_view value)
    : key(key), value(value) {}
log_field::log_field(std::string_view key, const char* value)
    : key(key), value(value) {}
log_field::log_field(std::string_view key, const std::string& value)
    : key(key), value(value) {}
log_field::log_field(std::string_view key, std::int64_t value)
    : key(key), value(std::to_string(value)) {}
log_field::log_field(std::string_view key, std::uint64_t value)
    : key(key), value(std::to_string(value)) {}
log_field::log_field(std::string_view key, int value)
    : key(key), value(std::to_string(value)) {}

void InitializeLog(std::string_view process_name, std::string_view level) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender(new non_blocking_appender);
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %p process=" + std::string(process_name) +
      " %m%n"));
  ProcessLogger().addAppender(appender);
  SetLogLevel(level);
}

bool IsLogLevel(std::string_view level) {
  constexpr std::array<std::string_view, 4> kLevels = {"DEBUG", "INFO", "WARN",
                                                       "ERROR"};
  return std::ranges::find(kLevels, level) != kLevels.end();
}

void SetLogLevel(std::string_view level) {
  ProcessLogger().setLogLevel(
      log4cplus::getLogLevelManager().fromString(std::string(level)));
}

void SetLogClock(hybrid_clock* clock) {
  line_clock = clock;
}

std::uint64_t DroppedLogLines() {
  return dropped_lines;
}

void LogInfo(std::string_view event, std::initializer_list<log_field> fields) {
  if (Admit(event, log4cplus::INFO_LOG_LEVEL)) {
    LOG4CPLUS_INFO(ProcessLogger(), FormatLine(event, fields));
  }
}

void LogFields(std::string_view event,
               std::span<const std::pair<std::string, std::string>> fields) {
  if (!Admit(event, log4cplus::INFO_LOG_LEVEL)) {
    return;
  }
  std::string line = StartLine(event);
  for (const auto& [key, value] : fields) {
    AppendField(key, value, line);
  }
  LOG4CPLUS_INFO(ProcessLogger(), line);
}

void LogWarning(std::string_view event,
                std::initializer_list<log_field> fields) {
  if (Admit(event, log4cplus::WARN_LOG_LEVEL)) {
    LOG4CPLUS_WARN(ProcessLogger(), FormatLine(event, fields));
  }
}

void LogError(std::string_view event, std::initializer_list<log_field> fields) {
  if (Admit(event, log4cplus::ERROR_LOG_LEVEL)) {
    LOG4CPLUS_ERROR(ProcessLogger(), FormatLine(event, fields));
  }
}

}  // namespace wisteriaroute::base
