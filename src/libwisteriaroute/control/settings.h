#ifndef LIBWISTERIAROUTE_CONTROL_SETTINGS_H_
#define LIBWISTERIAROUTE_CONTROL_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/finding.h"
#include "libwisteriaroute/base/process_settings.h"

namespace wisteriaroute::control {

struct replica_address {
  std::string name;
  /** `IP:port` of the replica's links. */
  std::string address;

  bool operator==(const replica_address&) const = default;
};

/** Settings of a control replica: `[process]` and `[control]`. */
struct control_settings {
  base::process_settings process;
  std::string data_dir;
  /** The replicas that a new cluster begins with, this one among them. */
  std::vector<replica_address> replicas;
  /**
   * An empty data directory becomes that of a first voter. Only for a platform
   * that sets it at the first start of the whole system and never again.
   */
  bool bootstrap = false;
  /**
   * Replicas that link themselves join, and silent ones are dropped once they
   * are replaced. For platforms that replace hosts by themselves.
   */
  bool join_automatically = false;
  /**
   * Replicas that may be lost at once. Silent ones are dropped only while
   * twice as many and one more live. 0: as many as `controls` has.
   */
  std::int64_t tolerated_losses = 0;
  /** `IP:port` of the operators' and servers' HTTP calls; empty: none. */
  std::string listen_http;
  /** Log entries between two snapshots. */
  std::int64_t snapshot_entries = 20'000;
  /** Log entries kept before a snapshot, for replicas that are behind. */
  std::int64_t kept_entries = 4'096;
  /** Claims and publications that may wait for the log. */
  std::int64_t max_pending_proposals = 20'000;
};

/** Reads the text of a settings file; faults are added to `out`. */
control_settings ParseControlSettings(std::string_view text,
                                      std::string_view file,
                                      base::findings& out);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_SETTINGS_H_
