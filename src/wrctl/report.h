#ifndef WRCTL_REPORT_H_
#define WRCTL_REPORT_H_

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaroute::wrctl {

using table_row = std::vector<std::string>;

/** Rows in columns of equal width; the first row is the heading. */
std::string FormatTable(const std::vector<table_row>& rows);

/**
 * A JSON answer as text: single values as `key: value`, lists of objects as
 * tables. Tables show `columns` first, then other keys in order.
 */
std::string FormatReport(const nlohmann::json& report,
                         std::span<const std::string_view> columns);

/** Prints the answer of a reading command as --output asks. */
void PrintReport(const nlohmann::json& report,
                 std::span<const std::string_view> columns);

/** Parses the JSON of an answer. Throws command_failure if it isn't any. */
nlohmann::json ParseAnswer(std::string_view text);

/** Unix milliseconds as `2026-12-04T03:10:00.125Z`. */
std::string FormatTime(std::int64_t unix_ms);

/** Bytes of others without control characters, for a terminal. */
std::string Printable(std::string_view text);

}  // namespace wisteriaroute::wrctl

#endif  // WRCTL_REPORT_H_
