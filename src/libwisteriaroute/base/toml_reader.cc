#include "libwisteriaroute/base/toml_reader.h"

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <iterator>
#include <numeric>
#include <system_error>

namespace wisteriaroute::base {

namespace {

finding MakeFinding(std::string_view file,
                    const toml::source_region& source,
                    std::string message) {
  return {.file = std::string(file),
          .line = source.begin.line,
          .column = source.begin.column,
          .message = std::move(message)};
}

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
    }
  }
  return row[b.size()];
}

}  // namespace

toml_reader::toml_reader(const toml::table& table,
                         std::string_view file,
                         findings& out)
    : table_(table), file_(file), out_(out) {}

const toml::node* toml_reader::Find(std::string_view key) {
  known_.emplace(key);
  return table_.get(key);
}

void toml_reader::Report(std::string_view key, std::string_view message) {
  const toml::node* node = table_.get(key);
  out_.push_back(MakeFinding(file_, node ? node->source() : table_.source(),
                             std::string(message)));
}

void toml_reader::ReportType(std::string_view key, std::string_view wanted) {
  Report(key, "'" + std::string(key) + "' must be " + std::string(wanted));
}

std::string toml_reader::String(std::string_view key,
                                std::string_view fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return std::string(fallback);
  }
  const auto* value = node->as_string();
  if (value == nullptr) {
    ReportType(key, "a string");
    return std::string(fallback);
  }
  return value->get();
}

std::string toml_reader::RequiredString(std::string_view key) {
  std::string value = String(key, "");
  const toml::node* node = table_.get(key);
  if (value.empty() && (node == nullptr || node->is_string())) {
    Report(key, "'" + std::string(key) + "' is required");
  }
  return value;
}

std::int64_t toml_reader::Integer(std::string_view key,
                                  std::int64_t fallback,
                                  std::int64_t min,
                                  std::int64_t max) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto* value = node->as_integer();
  if (value == nullptr) {
    ReportType(key, "an integer");
    return fallback;
  }
  if (value->get() < min || value->get() > max) {
    ReportType(
        key, "between " + std::to_string(min) + " and " + std::to_string(max));
    return fallback;
  }
  return value->get();
}

double toml_reader::Number(std::string_view key,
                           double fallback,
                           double min,
                           double max) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return fallback;
  }
  const std::optional<double> value = node->value<double>();
  if (!node->is_number() || !value) {
    ReportType(key, "a number");
    return fallback;
  }
  if (!(*value >= min && *value <= max)) {
    ReportType(
        key, "between " + std::to_string(min) + " and " + std::to_string(max));
    return fallback;
  }
  return *value;
}

bool toml_reader::Boolean(std::string_view key, bool fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto* value = node->as_boolean();
  if (value == nullptr) {
    ReportType(key, "true or false");
    return fallback;
  }
  return value->get();
}

std::vector<std::string> toml_reader::Strings(std::string_view key) {
  std::vector<std::string> values;
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return values;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    ReportType(key, "an array of strings");
    return values;
  }
  for (const toml::node& element : *array) {
    if (const auto* value = element.as_string()) {
      values.push_back(value->get());
    } else {
      out_.push_back(
          MakeFinding(file_, element.source(),
                      "'" + std::string(key) + "' must hold strings only"));
    }
  }
  return values;
}

const toml::table* toml_reader::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return nullptr;
  }
  if (!node->is_table()) {
    ReportType(key, "a table");
  }
  return node->as_table();
}

std::vector<const toml::table*> toml_reader::Tables(std::string_view key) {
  std::vector<const toml::table*> tables;
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return tables;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    ReportType(key, "an array of tables");
    return tables;
  }
  for (const toml::node& element : *array) {
    if (const toml::table* table = element.as_table()) {
      tables.push_back(table);
    } else {
      out_.push_back(
          MakeFinding(file_, element.source(),
                      "'" + std::string(key) + "' must hold tables only"));
    }
  }
  return tables;
}

void toml_reader::ReportUnknownKeys() {
  for (const auto& [key, node] : table_) {
    if (known_.contains(key.str())) {
      continue;
    }
    std::string message = "unknown key '" + std::string(key.str()) + "'";
    const std::string nearest = NearestWord(key.str(), known_);
    if (!nearest.empty()) {
      message += "; did you mean '" + nearest + "'?";
    }
    out_.push_back(MakeFinding(file_, key.source(), std::move(message)));
  }
}

std::optional<toml::table> ParseToml(std::string_view text,
                                     std::string_view file,
                                     findings& out) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    out.push_back(
        MakeFinding(file, error.source(), std::string(error.description())));
    return std::nullopt;
  }
}

std::string NearestWord(std::string_view word,
                        const std::set<std::string, std::less<>>& candidates) {
  std::string nearest;
  // The limit excludes candidates that share no character with the word.
  std::size_t best = std::min(word.size(), word.size() / 3 + 2);
  for (const std::string& candidate : candidates) {
    const std::size_t distance = EditDistance(word, candidate);
    if (distance < best) {
      best = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

std::string ReadFile(std::string_view path) {
  std::ifstream stream{std::string(path), std::ios::binary};
  if (!stream) {
    throw std::system_error(errno, std::generic_category(),
                            "can't read " + std::string(path));
  }
  return {std::istreambuf_iterator<char>(stream), {}};
}

}  // namespace wisteriaroute::base
