#include "libwisteriaroute/config/traffic_parse.h"

#include <limits>
#include <string>
#include <utility>

#include "libwisteriaroute/base/toml_reader.h"

namespace wisteriaroute::config {

namespace {

constexpr std::int64_t kMaxTimeMs = 86'400'000;
constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr double kMaxNumber = 1e12;

/** Reads the tables of one file; adds faults with positions to `out`. */
class traffic_reader {
 public:
  traffic_reader(std::string_view file, base::findings& out)
      : file_(file), out_(out) {}

  traffic_set Read(const toml::table& root) {
    base::toml_reader reader(root, file_, out_);
    traffic_set set;
    set.version = static_cast<std::uint64_t>(reader.Integer(
        "version", 0, 0, std::numeric_limits<std::int64_t>::max()));
    if (set.version == 0) {
      reader.Report("version", "'version' must be above 0");
    }
    for (const toml::table* table : reader.Tables("route")) {
      set.routes.push_back(ReadRoute(*table));
    }
    for (const toml::table* table : reader.Tables("service")) {
      set.services.push_back(ReadService(*table));
    }
    for (const toml::table* table : reader.Tables("workspace")) {
      set.workspaces.push_back(ReadWorkspace(*table));
    }
    if (const toml::table* limits = reader.Table("limits")) {
      ReadLimits(*limits, set.limits);
    }
    reader.ReportUnknownKeys();
    return set;
  }

 private:
  repetition ReadRepeats(base::toml_reader& reader) {
    const std::string text = reader.String("repeats", "once");
    if (text != "once" && text != "repeatable") {
      reader.Report("repeats", "'repeats' must be once or repeatable");
    }
    return text == "repeatable" ? repetition::kRepeatable : repetition::kOnce;
  }

  route ReadRoute(const toml::table& table) {
    base::toml_reader reader(table, file_, out_);
    route one{.name = reader.RequiredString("name"),
              .host = reader.RequiredString("host"),
              .path_prefix = reader.RequiredString("path_prefix"),
              .repeats = ReadRepeats(reader),
              .streams = reader.Boolean("streams", false),
              .resumable = reader.Boolean("resumable", false),
              .timeout_ms = reader.Integer("timeout_ms", 0, 0, kMaxTimeMs),
              .objective_ms = reader.Integer("objective_ms", 0, 0, kMaxTimeMs),
              .gap_objective_ms =
                  reader.Integer("gap_objective_ms", 0, 0, kMaxTimeMs),
              .priority = static_cast<int>(reader.Integer("priority", 0, 0, 9)),
              .max_attempts =
                  static_cast<int>(reader.Integer("max_attempts", 1, 1, 10)),
              .is_public = reader.Boolean("public", false)};
    if (one.resumable && one.repeats == repetition::kOnce) {
      reader.Report("resumable", "a resumable stream must be repeatable");
    }
    for (const toml::table* target : reader.Tables("targets")) {
      base::toml_reader fields(*target, file_, out_);
      one.targets.push_back(
          {.service = fields.RequiredString("service"),
           .weight = fields.Integer("weight", 1, 0, kMaxCount)});
      fields.ReportUnknownKeys();
    }
    reader.ReportUnknownKeys();
    return one;
  }

  engine_shape ReadEngine(const toml::table& table) {
    base::toml_reader reader(table, file_, out_);
    const engine_shape shape{
        .slots = reader.Integer("slots", 0, 0, kMaxCount),
        .kv_tokens = reader.Integer("kv_tokens", 0, 0, kMaxCount),
        .step_ms = reader.Number("step_ms", 0, 0, kMaxNumber),
        .step_ms_per_sequence =
            reader.Number("step_ms_per_sequence", 0, 0, kMaxNumber),
        .prompt_tokens_per_s =
            reader.Number("prompt_tokens_per_s", 0, 0, kMaxNumber),
        .steps_per_pass = reader.Integer("steps_per_pass", 1, 1, kMaxCount),
        .expert_sets = reader.Integer("expert_sets", 0, 0, kMaxCount),
        .experts = reader.Integer("experts", 0, 0, kMaxCount),
        .expert_slots = reader.Integer("expert_slots", 0, 0, kMaxCount),
        .spare_slots = reader.Integer("spare_slots", 0, 0, kMaxCount),
        .expert_copy_ms = reader.Number("expert_copy_ms", 0, 0, kMaxNumber)};
    reader.ReportUnknownKeys();
    return shape;
  }

  traffic_service ReadService(const toml::table& table) {
    base::toml_reader reader(table, file_, out_);
    traffic_service one{
        .name = reader.RequiredString("name"),
        .health_path = reader.String("health_path", ""),
        .max_connections = reader.Integer("max_connections", 0, 0, kMaxCount),
        .cold_s = reader.Number("cold_s", 0, 0, kMaxColdS),
        .cold_requests_per_s =
            reader.Number("cold_requests_per_s", 0, 0, kMaxColdRequests)};
    if (const toml::table* engine = reader.Table("engine")) {
      one.engine = ReadEngine(*engine);
    }
    reader.ReportUnknownKeys();
    return one;
  }

  traffic_workspace ReadWorkspace(const toml::table& table) {
    base::toml_reader reader(table, file_, out_);
    traffic_workspace one{.name = reader.RequiredString("name")};
    for (const std::string& text : reader.Strings("key_digests")) {
      if (const auto digest = base::ParseSha256Hex(text)) {
        one.key_digests.push_back(*digest);
      } else {
        reader.Report(
            "key_digests",
            "'" + text + "' is not a SHA-256 digest (see wrctl key-digest)");
      }
    }
    const std::int64_t priority = reader.Integer("priority", -1, -1, 9);
    if (priority >= 0) {
      one.priority = static_cast<int>(priority);
    }
    reader.ReportUnknownKeys();
    return one;
  }

  void ReadLimits(const toml::table& table, caller_limits& limits) {
    base::toml_reader reader(table, file_, out_);
    limits.header_bytes =
        reader.Integer("header_bytes", limits.header_bytes, 256, kMaxCount);
    limits.body_bytes =
        reader.Integer("body_bytes", limits.body_bytes, 0, kMaxCount);
    limits.header_timeout_ms = reader.Integer(
        "header_timeout_ms", limits.header_timeout_ms, 1, kMaxTimeMs);
    limits.idle_timeout_ms = reader.Integer(
        "idle_timeout_ms", limits.idle_timeout_ms, 1, kMaxTimeMs);
    reader.ReportUnknownKeys();
  }

  std::string file_;
  base::findings& out_;
};

}  // namespace

std::optional<traffic_set> ParseTraffic(std::string_view text,
                                        std::string_view file,
                                        base::findings& out) {
  const std::size_t before = out.size();
  const std::optional<toml::table> root = base::ParseToml(text, file, out);
  if (!root) {
    return std::nullopt;
  }
  traffic_set set = traffic_reader(file, out).Read(*root);
  if (out.size() == before) {
    CheckTraffic(set, file, out);
  }
  return out.size() == before ? std::optional(std::move(set)) : std::nullopt;
}

}  // namespace wisteriaroute::config
