#ifndef WRCTL_LOCAL_SET_H_
#define WRCTL_LOCAL_SET_H_

#include <nlohmann/json.hpp>
#include <string>

#include "libwisteriaroute/config/parse.h"

namespace wisteriaroute::wrctl {

/**
 * Parses and checks all *.toml files below a directory. Throws command_failure
 * if it can't be read or has no such file.
 */
config::parsed_set ReadLocalSet(const std::string& directory);

/** Like ReadLocalSet, but prints findings and throws if there are any. */
config::parsed_set ReadCleanSet(const std::string& directory);

/** Prints findings on standard error, one per line. */
void PrintFindings(const base::findings& findings);

nlohmann::json FindingsAsJson(const base::findings& findings);

}  // namespace wisteriaroute::wrctl

#endif  // WRCTL_LOCAL_SET_H_
