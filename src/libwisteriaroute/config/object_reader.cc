#include "libwisteriaroute/config/object_reader.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wisteriaroute::config {

namespace {

// The limit of a DNS label: a name can be part of a host name.
constexpr std::size_t kMaxNameCharacters = 63;
constexpr std::size_t kMaxVersionCharacters = 255;
constexpr std::size_t kSha256HexDigits = 64;
constexpr std::size_t kMaxMethodCharacters = 32;

constexpr std::string_view kNameRule =
    "lower-case letters, digits and '-', at most 63, not starting with '-'";

bool IsLowerOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool IsKeyDigest(std::string_view digest) {
  return digest.size() == kSha256HexDigits &&
         std::ranges::all_of(digest, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

bool IsMethod(std::string_view method) {
  return !method.empty() && method.size() <= kMaxMethodCharacters &&
         std::ranges::all_of(method,
                             [](char c) { return c >= 'A' && c <= 'Z'; });
}

}  // namespace

bool IsName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameCharacters &&
         name.front() != '-' && std::ranges::all_of(name, [](char c) {
           return IsLowerOrDigit(c) || c == '-';
         });
}

base::finding FindingAt(const toml::table& table,
                        std::string_view file,
                        std::string_view key,
                        std::size_t index,
                        std::string message) {
  const toml::node* node = table.get(key);
  if (node != nullptr && node->is_array() && index < node->as_array()->size()) {
    node = node->as_array()->get(index);
  }
  const toml::source_region& source =
      node != nullptr ? node->source() : table.source();
  return {.file = std::string(file),
          .line = source.begin.line,
          .column = source.begin.column,
          .message = std::move(message)};
}

object_reader::object_reader(const toml::table& table,
                             std::string_view file,
                             base::findings& out)
    : table_(table), file_(file), out_(out), reader_(table, file, out) {}

void object_reader::Boolean(std::string_view key, bool& value) {
  value = reader_.Boolean(key, value);
}

void object_reader::Integer(std::string_view key,
                            std::int64_t& value,
                            std::int64_t min,
                            std::int64_t max) {
  value = reader_.Integer(key, value, min, max);
}

void object_reader::Number(std::string_view key,
                           double& value,
                           double min,
                           double max) {
  value = reader_.Number(key, value, min, max);
}

void object_reader::Kind(std::string_view key, backend_kind& value) {
  const std::string name = reader_.RequiredString(key);
  if (name == "model_engine") {
    value = backend_kind::kModelEngine;
  } else if (name == "plain") {
    value = backend_kind::kPlain;
  } else if (!name.empty()) {
    reader_.Report(key, "'" + std::string(key) +
                            "' must be 'model_engine' or 'plain', not '" +
                            name + "'");
  }
}

void object_reader::RequiredString(std::string_view key, std::string& value) {
  value = reader_.RequiredString(key);
  if (value.size() > kMaxVersionCharacters) {
    reader_.Report(
        key, "'" + std::string(key) + "' must have at most 255 characters");
  }
}

void object_reader::Strings(std::string_view key,
                            std::vector<std::string>& values,
                            bool (*valid)(std::string_view),
                            std::string_view wanted) {
  values = reader_.Strings(key);
  const toml::array* array = table_[key].as_array();
  if (array == nullptr) {
    return;
  }
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < array->size(); ++i) {
    const auto* element = array->get(i)->as_string();
    if (element == nullptr) {
      continue;
    }
    const std::string& text = element->get();
    if (!valid(text)) {
      out_.push_back(FindingAt(table_, file_, key, i,
                               "'" + text + "' in '" + std::string(key) +
                                   "' must be " + std::string(wanted)));
    } else if (!seen.insert(text).second) {
      out_.push_back(FindingAt(
          table_, file_, key, i,
          "'" + text + "' is repeated in '" + std::string(key) + "'"));
    }
  }
}

void object_reader::Names(std::string_view key,
                          std::vector<std::string>& values) {
  Strings(key, values, &IsName, kNameRule);
}

void object_reader::Methods(std::string_view key,
                            std::vector<std::string>& values) {
  Strings(key, values, &IsMethod, "an HTTP method in upper-case letters");
}

void object_reader::KeyDigests(std::string_view key,
                               std::vector<std::string>& values) {
  Strings(key, values, &IsKeyDigest,
          "64 lower-case hexadecimal digits (see wrctl key-digest)");
}

void object_reader::Reference(std::string_view key,
                              std::string& value,
                              std::string_view,
                              presence wanted) {
  value = wanted == presence::kRequired ? reader_.RequiredString(key)
                                        : reader_.String(key, value);
}

void object_reader::References(std::string_view key,
                               std::vector<std::string>& values,
                               std::string_view) {
  Strings(
      key, values, [](std::string_view) { return true; }, "");
}

void object_reader::Finish() {
  reader_.ReportUnknownKeys();
}

}  // namespace wisteriaroute::config
