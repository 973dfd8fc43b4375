#ifndef WRCTL_REPORT_H_
#define WRCTL_REPORT_H_

#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaroute::wrctl {

using table_row = std::vector<std::string>;

/** Aligns the rows in columns; the first row is the heading. */
std::string FormatTable(const std::vector<table_row>& rows);

/**
 * Formats a JSON answer as text: lists of objects as tables, other values as
 * `key: value`. The keys in `columns` come first, then the others in order.
 */
std::string FormatReport(const nlohmann::json& report,
                         std::span<const std::string_view> columns);

/** Prints an answer as text or JSON, depending on --output. */
void PrintReport(const nlohmann::json& report,
                 std::span<const std::string_view> columns);

/** Parses the JSON of an answer. Throws command_failure if it is malformed. */
nlohmann::json ParseAnswer(std::string_view text);

/** Formats Unix milliseconds as `2026-12-04T03:10:00.125Z`. */
std::string FormatTime(std::int64_t unix_ms);

/**
 * Replaces ASCII control characters in received text by spaces, so that it can
 * be printed on a terminal.
 */
std::string Printable(std::string_view text);

}  // namespace wisteriaroute::wrctl

#endif  // WRCTL_REPORT_H_
