#ifndef LIBWISTERIAROUTE_CONFIG_OBJECT_SET_H_
#define LIBWISTERIAROUTE_CONFIG_OBJECT_SET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace wisteriaroute::config {

struct region {
  std::string name;

  bool operator==(const region&) const = default;
};

struct data_center {
  std::string name;
  /** Reference to a region. */
  std::string region;

  bool operator==(const data_center&) const = default;
};

enum class backend_kind : std::uint8_t { kModelEngine, kPlain };

/** Capabilities of a class of backend servers. */
struct backend_class {
  std::string name;
  backend_kind kind = backend_kind::kPlain;
  /** Whether servers refuse orders with a stale fencing number themselves. */
  bool checks_fencing = false;

  bool operator==(const backend_class&) const = default;
};

struct model {
  std::string name;
  std::string version;
  std::vector<std::string> adapters;
  std::int64_t context_tokens = 8'192;

  bool operator==(const model&) const = default;
};

/** Ranks that run one model in lockstep on an expert map. */
struct model_group {
  std::string name;
  /** Reference to a model. */
  std::string model;
  /** Reference to a backend class of kind kModelEngine. */
  std::string backend_class;
  /** References to data centres. */
  std::vector<std::string> data_centers;
  std::int64_t ranks = 1;
  std::int64_t experts = 1;
  std::int64_t layers = 1;
  /** Experts that a rank can hold per layer, replicas included. */
  std::int64_t slots_per_rank = 1;
  /** Costs of one second of lost step time and of moving experts. */
  double skew_weight = 1;
  double cost_weight = 1;
  std::int64_t expert_bytes = 0;
  /** Rate limit of the weight store for the group. */
  std::int64_t store_bytes_per_s = 0;
  std::int64_t switch_pause_ms = 0;
  std::int64_t max_moves_per_change = 0;

  bool operator==(const model_group&) const = default;
};

/** A service that plain backend servers run, not model engines. */
struct service {
  std::string name;
  /** Reference to a backend class of kind kPlain. */
  std::string backend_class;
  std::vector<std::string> data_centers;
  /** HTTP methods of calls that must not run twice, for instance `POST`. */
  std::vector<std::string> non_repeatable_methods;
  std::int64_t key_retention_h = 24;
  std::int64_t timeout_ms = 30'000;

  bool operator==(const service&) const = default;
};

/** A customer: its API keys, permissions and limits. */
struct workspace {
  std::string name;
  /** Reference to a workspace whose limits this one shares; may be empty. */
  std::string parent;
  /** SHA-256 of the bearer keys in lower-case hexadecimal digits. */
  std::vector<std::string> key_digests;
  /** References to models and services that it may call. */
  std::vector<std::string> models;
  std::vector<std::string> services;
  std::int64_t max_concurrency = 64;
  std::int64_t tokens_per_minute = 1'000'000;
  /** Weight relative to other workspaces under contention. */
  double share = 1;
  /** The highest priority (0 to 9, 0 is the highest) that it may request. */
  std::int64_t highest_priority = 3;
  /** Limit of idempotency keys without a timestamp, which never expire. */
  std::int64_t max_undated_keys = 1'000'000;

  bool operator==(const workspace&) const = default;
};

template <typename Object>
using object_map = std::map<std::string, Object, std::less<>>;

/** All objects of one revision, by kind and name. */
struct object_set {
  object_map<region> regions;
  object_map<data_center> data_centers;
  object_map<backend_class> backend_classes;
  object_map<model> models;
  object_map<model_group> model_groups;
  object_map<service> services;
  object_map<workspace> workspaces;

  bool operator==(const object_set&) const = default;
};

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_OBJECT_SET_H_
