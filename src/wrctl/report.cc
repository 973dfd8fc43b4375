#include "wrctl/report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iostream>

#include "wrctl/command_line.h"
#include "wrctl/exit_status.h"

namespace wisteriaroute::wrctl {

namespace {

/** Keys whose values are Unix milliseconds. */
constexpr std::array<std::string_view, 3> kUnixTimes = {"time_ms", "since_ms",
                                                        "log_time_ms"};

// Longer lists would make table columns too wide to read; --output json prints
// all elements.
constexpr std::size_t kShownElements = 4;

std::string FormatCell(std::string_view key, const nlohmann::json& value) {
  if (value.is_null()) {
    return "-";
  }
  if (value.is_string()) {
    const std::string text = Printable(value.get_ref<const std::string&>());
    return text.empty() ? "-" : text;
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (value.is_number_integer() &&
      std::ranges::find(kUnixTimes, key) != kUnixTimes.end()) {
    return FormatTime(value.get<std::int64_t>());
  }
  if (value.is_array()) {
    std::string text;
    for (std::size_t i = 0; i < value.size() && i < kShownElements; ++i) {
      text += (text.empty() ? "" : ",") + FormatCell("", value[i]);
    }
    if (value.size() > kShownElements) {
      text += ",... (" + std::to_string(value.size()) + ")";
    }
    return text.empty() ? "-" : text;
  }
  if (value.is_object()) {
    std::string text;
    for (auto item = value.begin(); item != value.end(); ++item) {
      text += (text.empty() ? "" : " ") + item.key() + "=" +
              FormatCell(item.key(), *item);
    }
    return text.empty() ? "-" : text;
  }
  return value.dump();
}

bool IsTable(const nlohmann::json& value) {
  return value.is_array() && !value.empty() &&
         std::ranges::all_of(
             value, [](const auto& element) { return element.is_object(); });
}

/** Whether any row contains a table; all rows are then printed one by one. */
bool HasInnerTables(const nlohmann::json& value) {
  return IsTable(value) &&
         std::ranges::any_of(value, [](const nlohmann::json& row) {
           return std::ranges::any_of(row, &IsTable);
         });
}

/** The keys of an object, preferred keys first. */
table_row Keys(const nlohmann::json& object,
               std::span<const std::string_view> preferred) {
  table_row keys;
  for (const std::string_view key : preferred) {
    if (object.contains(std::string(key))) {
      keys.emplace_back(key);
    }
  }
  for (auto item = object.begin(); item != object.end(); ++item) {
    if (std::ranges::find(preferred, item.key()) == preferred.end()) {
      keys.push_back(item.key());
    }
  }
  return keys;
}

/** The union of the keys of all rows, preferred keys first. */
table_row Columns(const nlohmann::json& table,
                  std::span<const std::string_view> preferred) {
  nlohmann::json all = nlohmann::json::object();
  for (const nlohmann::json& row : table) {
    all.update(row);
  }
  return Keys(all, preferred);
}

std::string FormatRows(const nlohmann::json& table,
                       std::span<const std::string_view> preferred) {
  std::vector<table_row> rows = {Columns(table, preferred)};
  for (const nlohmann::json& row : table) {
    table_row cells;
    for (const std::string& column : rows.front()) {
      cells.push_back(row.contains(column) ? FormatCell(column, row[column])
                                           : "-");
    }
    rows.push_back(std::move(cells));
  }
  return FormatTable(rows);
}

}  // namespace

std::string FormatTable(const std::vector<table_row>& rows) {
  std::vector<std::size_t> widths;
  for (const table_row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const table_row& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line.append(widths[i] - row[i].size() + 2, ' ');
      }
    }
    text += line + "\n";
  }
  return text;
}

std::string FormatReport(const nlohmann::json& report,
                         std::span<const std::string_view> columns) {
  if (IsTable(report)) {
    return FormatRows(report, columns);
  }
  if (!report.is_object()) {
    return FormatCell("", report) + "\n";
  }
  std::string values;
  std::string tables;
  for (const std::string& key : Keys(report, columns)) {
    const nlohmann::json& value = report[key];
    if (HasInnerTables(value)) {
      for (const nlohmann::json& row : value) {
        tables += "\n" + FormatReport(row, columns);
      }
    } else if (IsTable(value)) {
      tables += "\n" + key + ":\n" + FormatRows(value, columns);
    } else {
      values += key + ": " + FormatCell(key, value) + "\n";
    }
  }
  return values.empty() ? tables.substr(std::min<std::size_t>(1, tables.size()))
                        : values + tables;
}

void PrintReport(const nlohmann::json& report,
                 std::span<const std::string_view> columns) {
  if (FLAGS_output == "json") {
    std::cout << report.dump(2, ' ', false,
                             nlohmann::json::error_handler_t::replace)
              << "\n";
  } else {
    std::cout << FormatReport(report, columns);
  }
}

nlohmann::json ParseAnswer(std::string_view text) {
  nlohmann::json answer = nlohmann::json::parse(text, nullptr, false);
  if (answer.is_discarded()) {
    throw command_failure(kUnreachable, "control's answer is not JSON");
  }
  return answer;
}

std::string FormatTime(std::int64_t unix_ms) {
  const std::time_t seconds = unix_ms / 1'000;
  std::tm fields{};
  if (unix_ms < 0 || gmtime_r(&seconds, &fields) == nullptr) {
    return std::to_string(unix_ms);
  }
  std::array<char, 40> buffer{};
  const std::size_t length =
      std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &fields);
  std::array<char, 8> fraction{};
  std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                static_cast<int>(unix_ms % 1'000));
  return std::string(buffer.data(), length) + fraction.data();
}

std::string Printable(std::string_view text) {
  std::string result(text);
  std::ranges::replace_if(
      result,
      [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; },
      ' ');
  return result;
}

}  // namespace wisteriaroute::wrctl
