#include "libwisteriaroute/config/traffic_set.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <unordered_set>
#include <utility>

namespace wisteriaroute::config {

namespace {

/** Host names are the same whatever the case of their letters. */
std::string RouteKey(std::string_view host, std::string_view prefix) {
  std::string key(host);
  std::ranges::transform(key, key.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  // A separator that no host name contains.
  key += '\n';
  key += prefix;
  return key;
}

class checker {
 public:
  checker(const traffic_set& set, std::string_view place, base::findings& out)
      : set_(set), place_(place), out_(out) {}

  void Run() {
    for (const traffic_service& one : set_.services) {
      if (!services_.insert(one.name).second) {
        Report("the service '" + one.name + "' is declared twice");
      }
      CheckCold(one);
    }
    for (const route& one : set_.routes) {
      CheckRoute(one);
    }
    CheckKeys();
  }

 private:
  void CheckCold(const traffic_service& one) {
    // Written so that a number that isn't one is refused, too.
    if (!(one.cold_s >= 0 && one.cold_s <= kMaxColdS)) {
      Report("the service '" + one.name + "': the cold time is out of range");
    }
    if (!(one.cold_requests_per_s >= 0 &&
          one.cold_requests_per_s <= kMaxColdRequests)) {
      Report("the service '" + one.name + "': the cold rate is out of range");
    }
  }

  void Report(std::string message) {
    out_.push_back({.file = place_, .message = std::move(message)});
  }

  void CheckRoute(const route& one) {
    const std::string name = "route '" + one.name + "': ";
    if (!one.path_prefix.starts_with('/') || !one.path_prefix.ends_with('/')) {
      Report(name + "the path prefix must begin and end with a slash");
    }
    if (!route_keys_.insert(RouteKey(one.host, one.path_prefix)).second) {
      Report(name + "another route has the same host and path prefix");
    }
    if (one.timeout_ms <= 0) {
      Report(name + "the timeout must be above 0");
    }
    std::int64_t sum = 0;
    for (const weighted_service& target : one.targets) {
      if (!services_.contains(target.service)) {
        Report(name + "there is no service '" + target.service + "'");
      }
      if (target.weight < 0) {
        Report(name + "a weight is negative");
      }
      sum += target.weight;
    }
    if (sum <= 0) {
      Report(name + "the weights of the targets add up to 0");
    }
  }

  void CheckKeys() {
    std::unordered_map<base::digest128, std::string_view> holders;
    for (const traffic_workspace& one : set_.workspaces) {
      for (const base::digest128& key : one.key_digests) {
        const auto [holder, added] = holders.emplace(key, one.name);
        if (!added && holder->second != one.name) {
          Report("the workspaces '" + std::string(holder->second) + "' and '" +
                 one.name + "' share a key");
        }
      }
    }
  }

  const traffic_set& set_;
  std::string place_;
  base::findings& out_;
  std::set<std::string, std::less<>> services_;
  std::unordered_set<std::string> route_keys_;
};

}  // namespace

void CheckTraffic(const traffic_set& set,
                  std::string_view place,
                  base::findings& out) {
  checker(set, place, out).Run();
}

traffic_index::traffic_index(traffic_set set) : set_(std::move(set)) {
  for (const route& one : set_.routes) {
    routes_[RouteKey(one.host, one.path_prefix)] = &one;
  }
  for (const traffic_workspace& one : set_.workspaces) {
    for (const base::digest128& key : one.key_digests) {
      keys_[key] = &one;
    }
  }
  for (const traffic_service& one : set_.services) {
    services_[one.name] = &one;
  }
}

const route* traffic_index::FindRoute(std::string_view host,
                                      std::string_view path) const {
  // Route prefixes end with a slash, so only the path's prefixes up to a slash
  // are candidates. The longest one is tried first.
  for (std::size_t slash = path.rfind('/'); slash != path.npos;
       slash = slash == 0 ? path.npos : path.rfind('/', slash - 1)) {
    const auto found = routes_.find(RouteKey(host, path.substr(0, slash + 1)));
    if (found != routes_.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const traffic_workspace* traffic_index::FindWorkspace(
    const base::digest128& key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : found->second;
}

const traffic_service* traffic_index::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : found->second;
}

}  // namespace wisteriaroute::config
