#include "libwisteriaroute/agent/settings.h"

#include "libwisteriaroute/net/address.h"

namespace wisteriaroute::agent {

namespace {

constexpr std::string_view kUrlPrefix = "http://";

void ReadBackend(base::toml_reader& reader, agent_settings& into) {
  std::string url = reader.RequiredString("backend_url");
  while (url.ends_with('/')) {
    url.pop_back();
  }
  const bool usable = url.starts_with(kUrlPrefix) &&
                      net::IsAddress(url.substr(kUrlPrefix.size()));
  if (!url.empty() && !usable) {
    reader.Report("backend_url", "'backend_url' must be http://IP:port");
  }
  into.backend.backend_url = std::move(url);
  into.backend.health_path = reader.String("health_path", "/health");
  if (!into.backend.health_path.starts_with('/')) {
    reader.Report("health_path", "'health_path' must start with /");
  }
}

void ReadIdentity(base::toml_reader& reader, agent_options& options) {
  options.class_name = reader.RequiredString("class");
  options.service = reader.String("service", "");
  options.group = reader.String("group", "");
  options.rank =
      static_cast<std::uint32_t>(reader.Integer("rank", 0, 0, 65'535));
  options.models = reader.Strings("models");
  if (options.service.empty() == options.group.empty()) {
    reader.Report("service",
                  "exactly one of 'service' and 'group' must be set");
  }
  options.engine = options.service.empty();
}

void ReadLimits(base::toml_reader& reader, agent_options& options) {
  options.slots = static_cast<std::uint32_t>(
      reader.Integer("slots", options.slots, 0, 100'000));
  options.queue = static_cast<std::uint32_t>(
      reader.Integer("queue", options.queue, 0, 100'000));
  options.window_us =
      reader.Integer("window_ms", options.window_us / 1'000, 1'000, 3'600'000) *
      1'000;
  options.orphan_timeout_us =
      reader.Integer("orphan_ms", options.orphan_timeout_us / 1'000, 0,
                     3'600'000) *
      1'000;
  options.stop_limit_us =
      reader.Integer("stop_limit_ms", options.stop_limit_us / 1'000, 0,
                     3'600'000) *
      1'000;
  options.call_timeout_us =
      reader.Integer("call_timeout_ms", options.call_timeout_us / 1'000, 100,
                     3'600'000) *
      1'000;
  options.stream_idle_timeout_us =
      reader.Integer("silent_ms", options.stream_idle_timeout_us / 1'000, 100,
                     3'600'000) *
      1'000;
  options.tail_bytes = static_cast<std::size_t>(
      reader.Integer("tail_bytes", 256 * 1'024, 4'096, 64 * 1'024 * 1'024));
  options.max_buffered_bytes = static_cast<std::size_t>(reader.Integer(
      "kept_bytes", 4 * 1'024 * 1'024, 65'536, 1'024 * 1'024 * 1'024));
}

}  // namespace

agent_settings ParseSettings(std::string_view text, std::string_view file) {
  base::findings faults;
  agent_settings settings;
  const std::optional<toml::table> table = base::ParseToml(text, file, faults);
  if (table) {
    base::toml_reader root(*table, file, faults);
    settings.process = base::ParseProcessSettings(root, file, faults);
    settings.options.name = settings.process.name;
    if (const toml::table* agent = root.Table("agent")) {
      base::toml_reader reader(*agent, file, faults);
      ReadBackend(reader, settings);
      ReadIdentity(reader, settings.options);
      ReadLimits(reader, settings.options);
      reader.ReportUnknownKeys();
    } else {
      root.Report("agent", "the table [agent] is required");
    }
    root.ReportUnknownKeys();
  }
  if (!faults.empty()) {
    throw base::findings_error(std::move(faults));
  }
  settings.backend.engine = settings.options.engine;
  return settings;
}

}  // namespace wisteriaroute::agent
