#include "wrctl/client_settings.h"

#include <cstdlib>
#include <optional>
#include <string_view>

#include "libwisteriaroute/base/process_settings.h"
#include "libwisteriaroute/base/toml_reader.h"
#include "libwisteriaroute/net/address.h"
#include "wrctl/command_line.h"
#include "wrctl/exit_status.h"

namespace wisteriaroute::wrctl {

namespace {

struct file_settings {
  std::vector<std::string> controls;
  std::string key_file;
};

/** Reads the table `[wrctl]`, or else the same keys in `[process]`. */
file_settings ReadFileSettings(const std::string& path) {
  base::findings findings;
  const std::optional<toml::table> root =
      base::ParseToml(base::ReadFile(path), path, findings);
  file_settings settings;
  if (root) {
    base::toml_reader reader(*root, path, findings);
    const toml::table* table = reader.Table("wrctl");
    const bool has_wrctl_table = table != nullptr;
    if (!has_wrctl_table) {
      table = reader.Table("process");
    }
    if (table == nullptr) {
      reader.Report("wrctl", "the table [wrctl] or [process] is required");
    } else {
      base::toml_reader values(*table, path, findings);
      settings.controls = values.Strings("controls");
      settings.key_file = values.String("cluster_key_file", "");
      if (has_wrctl_table) {
        values.ReportUnknownKeys();
      }
    }
  }
  if (!findings.empty()) {
    throw command_failure(kUsage, base::findings_error(findings).what());
  }
  return settings;
}

std::vector<std::string> SplitCommas(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    if (comma != 0) {
      parts.emplace_back(text.substr(0, comma));
    }
    text.remove_prefix(comma == text.npos ? text.size() : comma + 1);
  }
  return parts;
}

std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

}  // namespace

client_settings ReadClientSettings() {
  file_settings file;
  if (!FLAGS_settings.empty()) {
    file = ReadFileSettings(FLAGS_settings);
  }
  client_settings settings{.controls = SplitCommas(FLAGS_controls)};
  if (settings.controls.empty()) {
    settings.controls = file.controls;
  }
  if (settings.controls.empty()) {
    settings.controls = SplitCommas(Environment("WRCTL_CONTROLS"));
  }
  if (settings.controls.empty()) {
    throw command_failure(kUsage,
                          "no control address: set --controls, --settings or "
                          "WRCTL_CONTROLS");
  }
  for (const std::string& address : settings.controls) {
    if (!net::IsAddress(address)) {
      throw command_failure(
          kUsage, "'" + address + "' is not an address; write IP:port");
    }
  }
  std::string key_file = FLAGS_cluster_key_file;
  if (key_file.empty()) {
    key_file = file.key_file;
  }
  if (key_file.empty()) {
    key_file = Environment("WRCTL_KEY_FILE");
  }
  if (key_file.empty()) {
    throw command_failure(kUsage,
                          "no cluster key: set --cluster-key-file, --settings "
                          "or WRCTL_KEY_FILE");
  }
  settings.cluster_key = base::ReadClusterKey(key_file);
  return settings;
}

}  // namespace wisteriaroute::wrctl
