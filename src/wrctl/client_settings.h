#ifndef WRCTL_CLIENT_SETTINGS_H_
#define WRCTL_CLIENT_SETTINGS_H_

#include <string>
#include <vector>

namespace wisteriaroute::wrctl {

/** Addresses of the control replicas, and the cluster key. */
struct client_settings {
  std::vector<std::string> controls;
  std::string cluster_key;
};

/**
 * Reads each setting from its flag, else from the --settings file, else from
 * the environment. Throws command_failure if one is missing or invalid, and
 * another std::exception if a file is unreadable or the key is too short.
 */
client_settings ReadClientSettings();

}  // namespace wisteriaroute::wrctl

#endif  // WRCTL_CLIENT_SETTINGS_H_
