#include <iostream>
#include <nlohmann/json.hpp>

#include "libwisteriaroute/base/toml_reader.h"
#include "libwisteriaroute/config/traffic_parse.h"
#include "wrctl/admin_client.h"
#include "wrctl/commands.h"
#include "wrctl/exit_status.h"
#include "wrctl/local_set.h"

namespace wisteriaroute::wrctl {

namespace {

constexpr double kDefaultTimeoutS = 10;

/** Parses a traffic set. Prints findings; returns nullopt if it is invalid. */
std::optional<config::traffic_set> ReadTraffic(const std::string& text,
                                               const std::string& file) {
  base::findings found;
  auto set = config::ParseTraffic(text, file, found);
  PrintFindings(found);
  return set;
}

}  // namespace

int RunTrafficCheck(const argument_list& arguments) {
  const auto set = ReadTraffic(base::ReadFile(arguments[0]), arguments[0]);
  if (!set) {
    return kFindings;
  }
  std::cout << arguments[0] << ": version " << set->version << ", "
            << set->routes.size() << " routes, " << set->services.size()
            << " services, " << set->workspaces.size()
            << " workspaces, no findings\n";
  return kOk;
}

int RunTrafficPublish(const argument_list& arguments) {
  const std::string text = base::ReadFile(arguments[0]);
  const auto set = ReadTraffic(text, arguments[0]);
  if (!set) {
    return kFindings;
  }
  admin_client client(ReadClientSettings());
  client.Call(wire::publish_document{set->version, text},
              DeadlineUs(kDefaultTimeoutS));
  std::cout << "accepted version " << set->version << "\n";
  return kOk;
}

int RunTrafficShow(const argument_list&) {
  admin_client client(ReadClientSettings());
  std::cout
      << client.Call(wire::get_document{}, DeadlineUs(kDefaultTimeoutS)).json;
  return kOk;
}

}  // namespace wisteriaroute::wrctl
