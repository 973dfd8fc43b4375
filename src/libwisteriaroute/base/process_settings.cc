#include "libwisteriaroute/base/process_settings.h"

#include <stdexcept>

#include "libwisteriaroute/base/log.h"

namespace wisteriaroute::base {

namespace {

// A recorded handshake lets an attacker guess shorter keys offline.
constexpr std::size_t kMinClusterKeyBytes = 16;

constexpr std::int64_t kMaxPort = 65'535;

}  // namespace

process_settings ParseProcessSettings(toml_reader& root,
                                      std::string_view file,
                                      findings& out) {
  process_settings settings{.file = std::string(file)};
  const toml::table* table = root.Table("process");
  if (table == nullptr) {
    root.Report("process", "the table [process] is required");
    return settings;
  }
  toml_reader reader(*table, file, out);
  settings.name = reader.RequiredString("name");
  settings.region = reader.RequiredString("region");
  settings.data_center = reader.RequiredString("data_center");
  settings.listen = reader.RequiredString("listen");
  settings.advertise = reader.String("advertise", settings.listen);
  settings.controls = reader.Strings("controls");
  const std::int64_t port = reader.Integer("control_port", 0, 0, kMaxPort);
  if (port != 0) {
    for (std::string& control : settings.controls) {
      control = HostOf(control) + ":" + std::to_string(port);
    }
  }
  if (settings.controls.empty()) {
    reader.Report("controls", "'controls' must name at least one replica");
  }
  settings.learn_controls = reader.Boolean("learn_controls", false);
  settings.cluster_key_file = reader.Boolean("trusted_network", false)
                                  ? reader.String("cluster_key_file", "")
                                  : reader.RequiredString("cluster_key_file");
  settings.log_level = reader.String("log_level", settings.log_level);
  if (!IsLogLevel(settings.log_level)) {
    reader.Report("log_level", "'" + settings.log_level +
                                   "' is not one of DEBUG, INFO, WARN, ERROR");
  }
  settings.listen_metrics = reader.String("listen_metrics", "");
  settings.protocol = reader.String("protocol", settings.protocol);
  if (settings.protocol != "native" && settings.protocol != "platform") {
    reader.Report("protocol",
                  "'" + settings.protocol +
                      "' is not a protocol: use native or platform");
  }
  reader.ReportUnknownKeys();
  return settings;
}

std::string HostOf(std::string_view address) {
  return std::string(address.substr(0, address.rfind(':')));
}

std::string ReadClusterKey(std::string_view path) {
  if (path.empty()) {
    LogWarning("links_not_authenticated",
               {{"cause", "trusted_network is set"}});
    return {};
  }
  std::string key = ReadFile(path);
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
    key.pop_back();
  }
  if (key.size() < kMinClusterKeyBytes) {
    throw std::runtime_error("the cluster key in " + std::string(path) +
                             " is shorter than 16 bytes");
  }
  return key;
}

}  // namespace wisteriaroute::base
