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
 * Sends log lines of this process to standard output. Lines that the reader
 * doesn't take, and many of one kind in a second, are dropped and counted.
 */
void InitializeLog(std::string_view process_name, std::string_view level);

/** Whether `level` names a level: DEBUG, INFO, WARN or ERROR. */
bool IsLogLevel(std::string_view level);

/** Lines below the level aren't written from now on. */
void SetLogLevel(std::string_view level);

/** Stamps lines with the clock, which orders them over all processes. */
void SetLogClock(hybrid_clock* clock);

/** Lines that were left out since the start. */
std::uint64_t DroppedLogLines();

/** Writes one line for a change of state: `event key=value ...`. */
void LogInfo(std::string_view event, std::initializer_list<log_field> fields);
/** The same for fields that were collected elsewhere. */
void LogFields(std::string_view event,
               std::span<const std::pair<std::string, std::string>> fields);
void LogWarning(std::string_view event,
                std::initializer_list<log_field> fields);
void LogError(std::string_view event, std::initializer_list<log_field> fields);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_LOG_H_
