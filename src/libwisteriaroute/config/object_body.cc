#include "libwisteriaroute/config/object_body.h"

#include <cstdint>
#include <nlohmann/json.hpp>

#include "libwisteriaroute/config/fields.h"

namespace wisteriaroute::config {

namespace {

/** Writes the fields of an object to JSON; a visitor for VisitFields. */
struct body_writer {
  // nlohmann::json sorts the keys of objects.
  nlohmann::json body = nlohmann::json::object();

  template <typename Value>
  void Put(std::string_view key, const Value& value) {
    body[std::string(key)] = value;
  }

  void Boolean(std::string_view key, bool value) { Put(key, value); }
  void Integer(std::string_view key,
               std::int64_t value,
               std::int64_t,
               std::int64_t) {
    Put(key, value);
  }
  void Number(std::string_view key, double value, double, double) {
    Put(key, value);
  }
  void Kind(std::string_view key, backend_kind value) {
    Put(key, value == backend_kind::kModelEngine ? "model_engine" : "plain");
  }
  void RequiredString(std::string_view key, const std::string& value) {
    Put(key, value);
  }
  void Names(std::string_view key, const std::vector<std::string>& values) {
    Put(key, values);
  }
  void Methods(std::string_view key, const std::vector<std::string>& values) {
    Put(key, values);
  }
  void KeyDigests(std::string_view key,
                  const std::vector<std::string>& values) {
    Put(key, values);
  }
  void Reference(std::string_view key,
                 const std::string& value,
                 std::string_view,
                 presence) {
    Put(key, value);
  }
  void References(std::string_view key,
                  const std::vector<std::string>& values,
                  std::string_view) {
    Put(key, values);
  }

  std::string Text() const {
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
};

/** Calls `function` with the TOML equivalent of a JSON scalar. */
template <typename Function>
void WithScalar(const nlohmann::json& json, Function&& function) {
  switch (json.type()) {
    case nlohmann::json::value_t::string:
      function(json.get_ref<const std::string&>());
      break;
    case nlohmann::json::value_t::boolean:
      function(json.get<bool>());
      break;
    case nlohmann::json::value_t::number_integer:
      function(json.get<std::int64_t>());
      break;
    case nlohmann::json::value_t::number_unsigned:
      if (json.get<std::uint64_t>() <= INT64_MAX) {
        function(json.get<std::int64_t>());
        break;
      }
      [[fallthrough]];
    case nlohmann::json::value_t::number_float:
      function(json.get<double>());
      break;
    default:
      function(toml::table{});
  }
}

}  // namespace

std::vector<wire::config_object> CanonicalObjects(const object_set& set) {
  std::vector<wire::config_object> objects;
  VisitKinds(set, [&](std::string_view kind, const auto& map) {
    for (const auto& [name, object] : map) {
      body_writer writer;
      VisitFields(writer, object);
      objects.push_back(
          {.kind = std::string(kind), .name = name, .body = writer.Text()});
    }
  });
  return objects;
}

std::optional<toml::table> ParseBody(std::string_view body,
                                     std::string_view place,
                                     base::findings& out) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    out.push_back({.file = std::string(place),
                   .message = "the body is not a JSON object"});
    return std::nullopt;
  }
  toml::table table;
  for (auto item = json.begin(); item != json.end(); ++item) {
    if (item->is_array()) {
      toml::array array;
      for (const nlohmann::json& element : *item) {
        WithScalar(element, [&](auto&& scalar) { array.push_back(scalar); });
      }
      table.insert_or_assign(item.key(), std::move(array));
    } else {
      WithScalar(*item, [&](auto&& scalar) {
        table.insert_or_assign(item.key(), scalar);
      });
    }
  }
  return table;
}

}  // namespace wisteriaroute::config
