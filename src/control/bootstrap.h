#ifndef CONTROL_BOOTSTRAP_H_
#define CONTROL_BOOTSTRAP_H_

#include "libwisteriaroute/control/settings.h"
#include "libwisteriaroute/wire/raft_messages.h"

namespace wisteriaroute::control {

/** The replica set that a new cluster begins with. */
wire::replica_list FirstVoters(const control_settings& settings);

/**
 * Makes the data directory of one of the first voters of a new cluster.
 * Throws std::runtime_error if the directory holds anything already.
 */
void Bootstrap(const control_settings& settings);

}  // namespace wisteriaroute::control

#endif  // CONTROL_BOOTSTRAP_H_
