#ifndef LIBWISTERIAROUTE_BASE_PROCESS_SETTINGS_H_
#define LIBWISTERIAROUTE_BASE_PROCESS_SETTINGS_H_

#include <string>
#include <vector>

#include "libwisteriaroute/base/toml_reader.h"

namespace wisteriaroute::base {

/** Settings that all processes share: `[process]` in the TOML file. */
struct process_settings {
  /** Path of the file that the settings were read from. */
  std::string file;
  std::string name;
  std::string region;
  std::string data_center;
  /** `IP:port` on which the process accepts links from other processes. */
  std::string listen;
  /** `IP:port` that other processes dial; defaults to `listen`. */
  std::string advertise;
  /** Link addresses of the control replicas. */
  std::vector<std::string> controls;
  /**
   * Whether the process also dials a leading control replica that isn't listed
   * in `controls`, for platforms that replace hosts by themselves.
   */
  bool learn_controls = false;
  /** Empty only on a trusted network; links aren't authenticated then. */
  std::string cluster_key_file;
  std::string log_level = "INFO";
  /** `IP:port` that serves metrics as Prometheus text; empty: none. */
  std::string listen_metrics;
  /**
   * Name of the HTTP API for callers, backend servers and operators: `native`
   * or `platform`.
   */
  std::string protocol = "native";
};

/** Parses `[process]` of `root`. Appends errors to `out`. */
process_settings ParseProcessSettings(toml_reader& root,
                                      std::string_view file,
                                      findings& out);

/** Returns the `IP` of an `IP:port`. */
std::string HostOf(std::string_view address);

/**
 * Reads the cluster key and strips trailing line breaks. Logs a warning and
 * returns an empty key if `path` is empty. Throws std::system_error if the file
 * can't be read, and std::runtime_error if the key is shorter than 16 bytes.
 */
std::string ReadClusterKey(std::string_view path);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_PROCESS_SETTINGS_H_
