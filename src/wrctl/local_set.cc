#include "wrctl/local_set.h"

#include <iostream>
#include <system_error>

#include "libwisteriaroute/config/source_directory.h"
#include "wrctl/exit_status.h"

namespace wisteriaroute::wrctl {

config::parsed_set ReadLocalSet(const std::string& directory) {
  std::vector<config::source_file> files;
  try {
    files = config::ReadDirectory(directory);
  } catch (const std::system_error& error) {
    throw command_failure(
        kUsage, "can't read " + directory + ": " + error.code().message());
  }
  if (files.empty()) {
    throw command_failure(kUsage, "no *.toml file below " + directory);
  }
  return config::ParseFiles(files);
}

config::parsed_set ReadCleanSet(const std::string& directory) {
  config::parsed_set parsed = ReadLocalSet(directory);
  if (!parsed.findings.empty()) {
    PrintFindings(parsed.findings);
    throw command_failure(kFindings, std::to_string(parsed.findings.size()) +
                                         " findings; nothing was sent");
  }
  return parsed;
}

void PrintFindings(const base::findings& findings) {
  for (const base::finding& found : findings) {
    std::cerr << ToString(found) << "\n";
  }
}

nlohmann::json FindingsAsJson(const base::findings& findings) {
  nlohmann::json list = nlohmann::json::array();
  for (const base::finding& found : findings) {
    list.push_back({{"file", found.file},
                    {"line", found.line},
                    {"column", found.column},
                    {"message", found.message}});
  }
  return list;
}

}  // namespace wisteriaroute::wrctl
