#ifndef LIBWISTERIAROUTE_CONFIG_TRAFFIC_SET_H_
#define LIBWISTERIAROUTE_CONFIG_TRAFFIC_SET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/base/finding.h"

namespace wisteriaroute::config {

/** Whether requests of a route may run more than once. */
enum class repetition : std::uint8_t {
  /** Idempotent; may be retried after an attempt that may have run. */
  kRepeatable,
  kOnce,
};

struct weighted_service {
  /** Reference to a traffic service. */
  std::string service;
  std::int64_t weight = 1;
};

/** Rules and target services for requests to one host and path prefix. */
struct route {
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string path_prefix;
  repetition repeats = repetition::kOnce;
  /** Whether responses are event streams. */
  bool streams = false;
  /** Whether an interrupted stream may resume on another server. */
  bool resumable = false;
  base::time_ms timeout_ms = 0;
  /** Latency objective for the first part of a response. */
  base::time_ms objective_ms = 0;
  /** Objective for the longest gap between two events; 0: none. */
  base::time_ms gap_objective_ms = 0;
  /** 0 is the highest. */
  int priority = 0;
  int max_attempts = 1;
  /** Whether requests without an API key are accepted. */
  bool is_public = false;
  std::vector<weighted_service> targets;
};

/** Capacity of the ranks of a model group, for planning and load estimates. */
struct engine_shape {
  std::int64_t slots = 0;
  std::int64_t kv_tokens = 0;
  double step_ms = 0;
  double step_ms_per_sequence = 0;
  double prompt_tokens_per_s = 0;
  std::int64_t steps_per_pass = 1;
  std::int64_t expert_sets = 0;
  std::int64_t experts = 0;
  std::int64_t expert_slots = 0;
  /** Maximum number of experts of a set that a rank receives in one change. */
  std::int64_t spare_slots = 0;
  /** Time to copy one expert to a rank. */
  double expert_copy_ms = 0;

  bool operator==(const engine_shape&) const = default;
};

/** Bounds of the fields of cold servers; a higher rate is no limit. */
inline constexpr double kMaxColdS = 86'400;
inline constexpr double kMaxColdRequests = 1e6;

/** A service whose backend servers report themselves to control. */
struct traffic_service {
  std::string name;
  std::string health_path;
  /** Limit of one server, over all callers. */
  std::int64_t max_connections = 0;
  /** How long a server is cold after it has started. */
  double cold_s = 0;
  /** Requests per second that a cold server sustains, over all callers; 0: as
   * many as a warm one. */
  double cold_requests_per_s = 0;
  std::optional<engine_shape> engine;
};

/** Size limits and timeouts for requests of a caller. */
struct caller_limits {
  std::int64_t header_bytes = 16 * 1024;
  std::int64_t body_bytes = 1024 * 1024;
  base::time_ms header_timeout_ms = 10'000;
  base::time_ms idle_timeout_ms = 60'000;
};

/** A customer and its bearer keys. */
struct traffic_workspace {
  std::string name;
  std::vector<base::digest128> key_digests;
  /** Overrides the route's priority. */
  std::optional<int> priority;
};

/** The configuration that entries use for routing; published as a whole. */
struct traffic_set {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<traffic_service> services;
  std::vector<traffic_workspace> workspaces;
  caller_limits limits;
};

/** Checks references and conflicts in the whole set; adds faults to `out`. */
void CheckTraffic(const traffic_set& set,
                  std::string_view place,
                  base::findings& out);

/** Lookup tables of a valid set. */
class traffic_index {
 public:
  explicit traffic_index(traffic_set set);

  const traffic_set& set() const { return set_; }

  /** The host's route with the longest prefix of `path`, or null. */
  const route* FindRoute(std::string_view host, std::string_view path) const;

  /** The workspace that has the key digest, or null. */
  const traffic_workspace* FindWorkspace(const base::digest128& key) const;

  const traffic_service* FindService(std::string_view name) const;

 private:
  traffic_set set_;
  std::unordered_map<std::string, const route*> routes_;
  std::unordered_map<base::digest128, const traffic_workspace*> keys_;
  std::map<std::string, const traffic_service*, std::less<>> services_;
};

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_TRAFFIC_SET_H_
