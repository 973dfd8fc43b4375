#include "gateway/settings.h"

#include <optional>

#include "libwisteriaroute/base/toml_reader.h"
#include "libwisteriaroute/net/address.h"

namespace wisteriaroute::gateway {

namespace {

std::string ReadAddress(base::toml_reader& reader, std::string_view key) {
  std::string address = reader.RequiredString(key);
  if (!address.empty() && !net::IsAddress(address)) {
    reader.Report(key,
                  "'" + address + "' is not an address like 10.0.0.1:8080");
  }
  return address;
}

void ParseGatewayTable(const toml::table& table,
                       std::string_view file,
                       gateway_settings& settings,
                       base::findings& out) {
  base::toml_reader reader(table, file, out);
  settings.listen_http = ReadAddress(reader, "listen_http");
  settings.listen_ready = ReadAddress(reader, "listen_ready");
  settings.max_connections =
      reader.Integer("max_connections", settings.max_connections, 1, 1'000'000);
  settings.memory_mb =
      reader.Integer("memory_mb", settings.memory_mb, 48, 1'000'000);
  settings.max_fds =
      reader.Integer("max_fds", settings.max_fds, 600, 10'000'000);
  settings.send_timeout_ms =
      reader.Integer("send_timeout_ms", settings.send_timeout_ms, 100, 600'000);
  settings.serve_without_quorum =
      reader.Boolean("serve_without_quorum", settings.serve_without_quorum);
  settings.settle_ms =
      reader.Integer("settle_ms", settings.settle_ms, 0, 600'000);
  settings.drain_limit_ms =
      reader.Integer("drain_limit_ms", settings.drain_limit_ms, 0, 600'000);
  gateway_options& options = settings.options;
  options.retries.ratio =
      reader.Number("retry_ratio", options.retries.ratio, 0, 1);
  options.retries.floor =
      reader.Number("retry_floor", options.retries.floor, 0, 1'000);
  options.retries.window_us =
      reader.Integer("retry_window_ms", options.retries.window_us / 1'000, 100,
                     600'000) *
      1'000;
  options.server_queue =
      reader.Number("server_queue", options.server_queue, -1'000, 1'000);
  options.group_start_ms =
      reader.Integer("group_start_ms", options.group_start_ms, 0, 600'000);
  options.server_limits =
      reader.Boolean("server_limits", options.server_limits);
  options.silent_stream_ms =
      reader.Integer("silent_stream_ms", options.silent_stream_ms, 10, 600'000);
  options.max_response_bytes = static_cast<std::size_t>(
      reader.Integer("max_response_bytes",
                     static_cast<std::int64_t>(options.max_response_bytes),
                     1'024, 1'000'000'000));
  options.max_event_bytes = static_cast<std::size_t>(reader.Integer(
      "max_event_bytes", static_cast<std::int64_t>(options.max_event_bytes),
      1'024, 1'000'000'000));
  reader.ReportUnknownKeys();
}

}  // namespace

gateway_settings ParseGatewaySettings(std::string_view text,
                                      std::string_view file,
                                      base::findings& out) {
  gateway_settings settings;
  const std::optional<toml::table> root = base::ParseToml(text, file, out);
  if (!root) {
    return settings;
  }
  base::toml_reader reader(*root, file, out);
  settings.process = base::ParseProcessSettings(reader, file, out);
  const toml::table* gateway = reader.Table("gateway");
  if (gateway == nullptr) {
    reader.Report("gateway", "the table [gateway] is required");
  } else {
    ParseGatewayTable(*gateway, file, settings, out);
  }
  reader.ReportUnknownKeys();
  return settings;
}

}  // namespace wisteriaroute::gateway
