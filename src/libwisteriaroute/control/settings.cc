#include "libwisteriaroute/control/settings.h"

#include <algorithm>
#include <optional>
#include <set>

#include "libwisteriaroute/base/toml_reader.h"
#include "libwisteriaroute/net/address.h"

namespace wisteriaroute::control {

namespace {

constexpr std::int64_t kMaxToleratedLosses = 3;

void CheckAddress(base::toml_reader& reader,
                  std::string_view key,
                  const std::string& address) {
  if (!address.empty() && !net::IsAddress(address)) {
    reader.Report(key,
                  "'" + address + "' is not an address like 10.0.0.1:7100");
  }
}

std::vector<replica_address> ParseReplicas(base::toml_reader& reader,
                                           std::string_view file,
                                           base::findings& out) {
  std::vector<replica_address> replicas;
  std::set<std::string> names;
  for (const toml::table* table : reader.Tables("replicas")) {
    base::toml_reader fields(*table, file, out);
    replica_address replica{.name = fields.RequiredString("name"),
                            .address = fields.RequiredString("address")};
    CheckAddress(fields, "address", replica.address);
    fields.ReportUnknownKeys();
    if (!names.insert(replica.name).second) {
      fields.Report("name",
                    "the replica '" + replica.name + "' is listed twice");
    }
    replicas.push_back(std::move(replica));
  }
  return replicas;
}

void ParseControlTable(const toml::table& table,
                       std::string_view file,
                       control_settings& settings,
                       base::findings& out) {
  base::toml_reader reader(table, file, out);
  settings.data_dir = reader.RequiredString("data_dir");
  settings.snapshot_entries =
      reader.Integer("snapshot_entries", settings.snapshot_entries, 10);
  settings.max_pending_proposals = reader.Integer(
      "max_pending_proposals", settings.max_pending_proposals, 1, 1'000'000);
  settings.kept_entries =
      reader.Integer("kept_entries", settings.kept_entries, 8, 1'000'000);
  settings.bootstrap = reader.Boolean("bootstrap", false);
  settings.join_automatically = reader.Boolean("join_automatically", false);
  settings.tolerated_losses =
      reader.Integer("tolerated_losses", 0, 0, kMaxToleratedLosses);
  for (std::string& name : reader.Strings("data_centers")) {
    settings.data_centers.insert(std::move(name));
  }
  settings.listen_http = reader.String("listen_http", "");
  CheckAddress(reader, "listen_http", settings.listen_http);
  settings.replicas = ParseReplicas(reader, file, out);
  if (reader.Boolean("replicas_from_controls", false)) {
    for (const std::string& address : settings.process.controls) {
      settings.replicas.push_back({base::HostOf(address), address});
    }
    // A replica that isn't listed joins as a learner.
    reader.ReportUnknownKeys();
    return;
  }
  const bool listed = std::ranges::any_of(
      settings.replicas, [&](const replica_address& replica) {
        return replica.name == settings.process.name;
      });
  if (!listed) {
    reader.Report("replicas", "'replicas' must list this process, '" +
                                  settings.process.name + "'");
  }
  reader.ReportUnknownKeys();
}

}  // namespace

control_settings ParseControlSettings(std::string_view text,
                                      std::string_view file,
                                      base::findings& out) {
  control_settings settings;
  const std::optional<toml::table> root = base::ParseToml(text, file, out);
  if (!root) {
    return settings;
  }
  base::toml_reader reader(*root, file, out);
  settings.process = base::ParseProcessSettings(reader, file, out);
  CheckAddress(reader, "process", settings.process.listen);
  const toml::table* control = reader.Table("control");
  if (control == nullptr) {
    reader.Report("control", "the table [control] is required");
  } else {
    ParseControlTable(*control, file, settings, out);
  }
  reader.ReportUnknownKeys();
  return settings;
}

}  // namespace wisteriaroute::control
