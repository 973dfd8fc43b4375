#include "libwisteriaroute/entry/settings.h"

#include "libwisteriaroute/base/toml_reader.h"
#include "libwisteriaroute/net/address.h"

namespace wisteriaroute::entry {

namespace {

entry_settings ParseEntry(base::toml_reader& reader) {
  entry_settings defaults;
  entry_settings result;
  result.listen_http = reader.RequiredString("listen_http");
  if (!result.listen_http.empty() && !net::IsAddress(result.listen_http)) {
    reader.Report("listen_http", "'listen_http' must be IP:port");
  }
  result.max_header_bytes = reader.Integer(
      "max_header_bytes", defaults.max_header_bytes, 1'024, 1'048'576);
  result.max_body_bytes = reader.Integer(
      "max_body_bytes", defaults.max_body_bytes, 1'024, 4 * 1'048'576);
  result.max_connections =
      reader.Integer("max_connections", defaults.max_connections, 1, 65'536);
  result.memory_mb =
      reader.Integer("memory_mb", defaults.memory_mb, 48, 1'000'000);
  result.max_fds = reader.Integer("max_fds", defaults.max_fds, 600, 10'000'000);
  result.header_timeout_ms = reader.Integer(
      "header_timeout_ms", defaults.header_timeout_ms, 1, 600'000);
  result.idle_timeout_ms =
      reader.Integer("idle_timeout_ms", defaults.idle_timeout_ms, 1, 600'000);
  result.send_timeout_ms =
      reader.Integer("send_timeout_ms", defaults.send_timeout_ms, 100, 600'000);
  result.max_queue = reader.Integer("max_queue", defaults.max_queue, 1, 65'536);
  result.default_deadline_ms = reader.Integer(
      "default_deadline_ms", defaults.default_deadline_ms, 1, 86'400'000);
  result.settle_ms = reader.Integer("settle_ms", defaults.settle_ms, 0, 60'000);
  result.drain_limit_ms =
      reader.Integer("drain_limit_ms", defaults.drain_limit_ms, 0, 3'600'000);
  result.reattach_ms =
      reader.Integer("reattach_ms", defaults.reattach_ms, 100, 60'000);
  result.retry_percent =
      reader.Integer("retry_percent", defaults.retry_percent, 0, 100);
  result.retry_floor =
      reader.Integer("retry_floor", defaults.retry_floor, 0, 1'000);
  reader.ReportUnknownKeys();
  return result;
}

}  // namespace

settings_file ParseSettings(std::string_view text,
                            std::string_view file,
                            base::findings& out) {
  settings_file result;
  const auto table = base::ParseToml(text, file, out);
  if (!table) {
    return result;
  }
  base::toml_reader root(*table, file, out);
  result.process = base::ParseProcessSettings(root, file, out);
  const toml::table* entry = root.Table("entry");
  if (entry == nullptr) {
    root.Report("entry", "the table [entry] is required");
  } else {
    base::toml_reader reader(*entry, file, out);
    result.entry = ParseEntry(reader);
  }
  root.ReportUnknownKeys();
  return result;
}

}  // namespace wisteriaroute::entry
