#ifndef LIBWISTERIAROUTE_CONFIG_OBJECT_READER_H_
#define LIBWISTERIAROUTE_CONFIG_OBJECT_READER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/toml_reader.h"
#include "libwisteriaroute/config/fields.h"

namespace wisteriaroute::config {

/** Reads the fields of an object from TOML; a visitor for VisitFields. */
class object_reader {
 public:
  object_reader(const toml::table& table,
                std::string_view file,
                base::findings& out);

  void Boolean(std::string_view key, bool& value);
  void Integer(std::string_view key,
               std::int64_t& value,
               std::int64_t min,
               std::int64_t max);
  void Number(std::string_view key, double& value, double min, double max);
  void Kind(std::string_view key, backend_kind& value);
  void RequiredString(std::string_view key, std::string& value);
  void Names(std::string_view key, std::vector<std::string>& values);
  void Methods(std::string_view key, std::vector<std::string>& values);
  void KeyDigests(std::string_view key, std::vector<std::string>& values);
  void Reference(std::string_view key,
                 std::string& value,
                 std::string_view kind,
                 presence wanted);
  void References(std::string_view key,
                  std::vector<std::string>& values,
                  std::string_view kind);

  /** Reports unknown keys; call after all fields are read. */
  void Finish();

 private:
  /**
   * Reads strings. Reports each one that fails `valid` as not being `wanted`,
   * and each duplicate.
   */
  void Strings(std::string_view key,
               std::vector<std::string>& values,
               bool (*valid)(std::string_view),
               std::string_view wanted);

  const toml::table& table_;
  std::string file_;
  base::findings& out_;
  base::toml_reader reader_;
};

/** Whether `name` is `[a-z0-9][a-z0-9-]*` of at most 63 characters. */
bool IsName(std::string_view name);

/**
 * A finding at element `index` of the array `key`; at `key` if it is no array
 * or has no such element; at the table if there is no such key.
 */
base::finding FindingAt(const toml::table& table,
                        std::string_view file,
                        std::string_view key,
                        std::size_t index,
                        std::string message);

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_OBJECT_READER_H_
