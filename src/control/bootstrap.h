#ifndef CONTROL_BOOTSTRAP_H_
#define CONTROL_BOOTSTRAP_H_

#include "libwisteriaroute/control/settings.h"

namespace wisteriaroute::control {

/**
 * Makes the data directory of one of the first voters of a new cluster.
 * Throws std::runtime_error if the directory holds anything already.
 */
void Bootstrap(const control_settings& settings);

}  // namespace wisteriaroute::control

#endif  // CONTROL_BOOTSTRAP_H_
