#include "libwisteriaroute/base/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>

namespace wisteriaroute::base {

namespace {

log4cplus::Logger& ProcessLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=\n") != value.npos;
}

std::string Quote(std::string_view value) {
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c == '\n' ? ' ' : c;
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

std::string FormatLine(std::string_view event,
                       std::initializer_list<log_field> fields) {
  std::string line(event);
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
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %p process=" + std::string(process_name) +
      " %m%n"));
  ProcessLogger().addAppender(appender);
  ProcessLogger().setLogLevel(
      log4cplus::getLogLevelManager().fromString(std::string(level)));
}

void LogInfo(std::string_view event, std::initializer_list<log_field> fields) {
  LOG4CPLUS_INFO(ProcessLogger(), FormatLine(event, fields));
}

void LogFields(std::string_view event,
               std::span<const std::pair<std::string, std::string>> fields) {
  std::string line(event);
  for (const auto& [key, value] : fields) {
    AppendField(key, value, line);
  }
  LOG4CPLUS_INFO(ProcessLogger(), line);
}

void LogWarning(std::string_view event,
                std::initializer_list<log_field> fields) {
  LOG4CPLUS_WARN(ProcessLogger(), FormatLine(event, fields));
}

void LogError(std::string_view event, std::initializer_list<log_field> fields) {
  LOG4CPLUS_ERROR(ProcessLogger(), FormatLine(event, fields));
}

}  // namespace wisteriaroute::base
