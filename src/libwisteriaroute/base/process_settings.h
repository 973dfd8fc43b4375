#ifndef LIBWISTERIAROUTE_BASE_PROCESS_SETTINGS_H_
#define LIBWISTERIAROUTE_BASE_PROCESS_SETTINGS_H_

#include <string>
#include <vector>

#include "libwisteriaroute/base/toml_reader.h"

namespace wisteriaroute::base {

/** Settings that every process has, under `[process]` of its TOML file. */
struct process_settings {
  /** The file that the settings were read from. */
  std::string file;
  std::string name;
  std::string region;
  std::string data_center;
  /** `IP:port` on which links from other processes are accepted. */
  std::string listen;
  /** `IP:port` told to others; the same as `listen` unless set. */
  std::string advertise;
  /** Link addresses of the control replicas. */
  std::vector<std::string> controls;
  /**
   * Whether replicas that aren't among `controls` are dialled when one of them
   * leads, for platforms that replace hosts by themselves.
   */
  bool learn_controls = false;
  /** Empty only on a trusted network: links are then not authenticated. */
  std::string cluster_key_file;
  std::string log_level = "INFO";
  /** `IP:port` of the counters as Prometheus text; empty: none. */
  std::string listen_metrics;
  /**
   * Name of the format that callers, backend servers and operators speak with
   * the processes that serve them over HTTP.
   */
  std::string protocol = "native";
};

/** Reads `[process]` of `root`; faults are added to `out`. */
process_settings ParseProcessSettings(toml_reader& root,
                                      std::string_view file,
                                      findings& out);

/** `IP` of an `IP:port`. */
std::string HostOf(std::string_view address);

/**
 * Reads the cluster key without its trailing line break; empty without a file.
 * Throws.
 */
std::string ReadClusterKey(std::string_view path);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_PROCESS_SETTINGS_H_
