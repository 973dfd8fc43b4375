#ifndef LIBWISTERIAROUTE_BASE_LOG_H_
#define LIBWISTERIAROUTE_BASE_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "libwisteriaroute/base/hlc.h"

namespace wisteriaroute::base {

/** A `key=value` pair of a log line. */
struct log_field {
  log_field(std::string_view key, std::string_view value);
  log_field(std::string_view key, const char* value);
  log_field(std::string_view key, const std::string& value);
  log_field(std::string_view key, std::int64_t value);
  log_field(std::string_view key, std::uint64_t value);
  log_field(std::string_view key, int value);

  std::string key;
  std::string value;
};

/**
 * Starts logging to standard output. A line is dropped and counted if writing
 * it would block, or if its event exceeds the limit of lines per second.
 */
void InitializeLog(std::string_view process_name, std::string_view level);

/** Whether `level` names a level: DEBUG, INFO, WARN or ERROR. */
bool IsLogLevel(std::string_view level);

/** Sets the lowest level that is written, effective at once. */
void SetLogLevel(std::string_view level);

/**
 * Adds a timestamp of `clock` to each line, which orders lines across
 * processes. The clock must outlive all logging; null stops adding timestamps.
 */
void SetLogClock(hybrid_clock* clock);

/**
 * Number of lines dropped since the process started. Recent drops are added
 * when the next line is written.
 */
std::uint64_t DroppedLogLines();

/** Logs a change of state as one line, `event key=value ...`. */
void LogInfo(std::string_view event, std::initializer_list<log_field> fields);
/** Like LogInfo, for a list of fields that is built at run time. */
void LogFields(std::string_view event,
               std::span<const std::pair<std::string, std::string>> fields);
void LogWarning(std::string_view event,
                std::initializer_list<log_field> fields);
void LogError(std::string_view event, std::initializer_list<log_field> fields);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_LOG_H_
