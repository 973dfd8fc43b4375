#ifndef LIBWISTERIAROUTE_CONTROL_SETTINGS_H_
#define LIBWISTERIAROUTE_CONTROL_SETTINGS_H_

#include <cstdint>
#include <set>
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
  /** Initial replicas of a new cluster, including this one. */
  std::vector<replica_address> replicas;
  /**
   * With an empty data directory, start as a voter of a new cluster. Must be
   * set only at the very first start of the whole system.
   */
  bool bootstrap = false;
  /**
   * Replicas that connect are added to the replica set, and silent ones are
   * removed once they are replaced. For platforms that replace hosts
   * automatically.
   */
  bool join_automatically = false;
  /**
   * Number f of replicas that may fail at the same time. Silent replicas are
   * removed only while 2f + 1 voters are live; with 0, only while as many
   * voters are live as `controls` lists.
   */
  std::int64_t tolerated_losses = 0;
  /** `IP:port` of the HTTP server for operators and servers; empty: none. */
  std::string listen_http;
  /** Data centres that operators may evacuate; empty: any. */
  std::set<std::string, std::less<>> data_centers;
  /** Maximum number of log entries between two snapshots. */
  std::int64_t snapshot_entries = 20'000;
  /** Log entries kept before a snapshot for replicas that lag behind. */
  std::int64_t kept_entries = 4'096;
  /** Limit of uncommitted proposals; claim requests above it are refused. */
  std::int64_t max_pending_proposals = 20'000;
};

/** Parses a settings file; errors are added to `out`. */
control_settings ParseControlSettings(std::string_view text,
                                      std::string_view file,
                                      base::findings& out);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_SETTINGS_H_
