#ifndef LIBWISTERIAROUTE_MEMBER_PROCESS_RELOAD_H_
#define LIBWISTERIAROUTE_MEMBER_PROCESS_RELOAD_H_

#include "libwisteriaroute/base/process_settings.h"
#include "libwisteriaroute/net/settings_reload.h"

namespace wisteriaroute::member {

/**
 * Applies the settings of `[process]` that can change at run time: the log
 * level, and `controls`, which the caller passes on to its session. Returns the
 * changed settings that need a restart.
 */
net::restart_list ReloadProcess(base::process_settings& current,
                                const base::process_settings& next);

}  // namespace wisteriaroute::member

#endif  // LIBWISTERIAROUTE_MEMBER_PROCESS_RELOAD_H_
