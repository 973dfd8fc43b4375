#ifndef WRCTL_CLIENT_SETTINGS_H_
#define WRCTL_CLIENT_SETTINGS_H_

#include <string>
#include <vector>

namespace wisteriaroute::wrctl {

/** How control is reached. */
struct client_settings {
  std::vector<std::string> controls;
  std::string cluster_key;
};

/**
 * Takes each setting from its flag, else from the --settings file, else from
 * the environment. Throws command_failure if one is missing or faulty.
 */
client_settings ReadClientSettings();

}  // namespace wisteriaroute::wrctl

#endif  // WRCTL_CLIENT_SETTINGS_H_
