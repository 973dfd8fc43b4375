#ifndef LIBWISTERIAROUTE_BASE_TOML_READER_H_
#define LIBWISTERIAROUTE_BASE_TOML_READER_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "libwisteriaroute/base/finding.h"

namespace wisteriaroute::base {

/**
 * Reads typed values from one TOML table. Errors become findings with their
 * location, and reading continues, so one run reports all of them.
 */
class toml_reader {
 public:
  toml_reader(const toml::table& table, std::string_view file, findings& out);

  /** Returns the value, or `fallback` if it is absent or invalid. */
  std::string String(std::string_view key, std::string_view fallback);
  std::int64_t Integer(
      std::string_view key,
      std::int64_t fallback,
      std::int64_t min = std::numeric_limits<std::int64_t>::min(),
      std::int64_t max = std::numeric_limits<std::int64_t>::max());
  double Number(std::string_view key, double fallback, double min, double max);
  bool Boolean(std::string_view key, bool fallback);
  std::vector<std::string> Strings(std::string_view key);

  /** Like String without a fallback; an absent or empty value is a finding. */
  std::string RequiredString(std::string_view key);

  /** Returns the sub-table, or null if it is absent or not a table. */
  const toml::table* Table(std::string_view key);

  /** Returns the tables of an array; other elements are findings. */
  std::vector<const toml::table*> Tables(std::string_view key);

  /**
   * Reports each key of the table that was not read, with the nearest key that
   * was asked for. Call it after all keys have been read.
   */
  void ReportUnknownKeys();

  /** Adds a finding at the location of `key`, or of the table if absent. */
  void Report(std::string_view key, std::string_view message);

 private:
  const toml::node* Find(std::string_view key);
  void ReportType(std::string_view key, std::string_view wanted);

  const toml::table& table_;
  std::string file_;
  findings& out_;
  std::set<std::string, std::less<>> known_;
};

/** Parses TOML text; a syntax error becomes a finding and returns nothing. */
std::optional<toml::table> ParseToml(std::string_view text,
                                     std::string_view file,
                                     findings& out);

/** Returns the candidate nearest to `word` by edit distance; empty if none. */
std::string NearestWord(std::string_view word,
                        const std::set<std::string, std::less<>>& candidates);

/** Reads a whole file. Throws std::system_error. */
std::string ReadFile(std::string_view path);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_TOML_READER_H_
