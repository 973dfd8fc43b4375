#ifndef CONTROL_BOOTSTRAP_H_
#define CONTROL_BOOTSTRAP_H_

#include "libwisteriaroute/control/settings.h"
#include "libwisteriaroute/wire/raft_messages.h"

namespace wisteriaroute::control {

/** The initial replica set of a new cluster: all replicas in the settings. */
wire::replica_list FirstVoters(const control_settings& settings);

/**
 * Creates the data directory of one of the first voters of a new cluster.
 * Changes nothing if it already has just this content, so that a call that was
 * cut short can be repeated. Throws std::runtime_error if it contains other
 * replica data.
 */
void Bootstrap(const control_settings& settings);

}  // namespace wisteriaroute::control

#endif  // CONTROL_BOOTSTRAP_H_
