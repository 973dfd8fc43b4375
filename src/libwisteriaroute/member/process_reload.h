#ifndef LIBWISTERIAROUTE_MEMBER_PROCESS_RELOAD_H_
#define LIBWISTERIAROUTE_MEMBER_PROCESS_RELOAD_H_

#include "libwisteriaroute/base/process_settings.h"
#include "libwisteriaroute/net/settings_reload.h"

namespace wisteriaroute::member {

/**
 * Puts the settings of `[process]` that may change into force: the log level,
 * and `controls`, which the caller passes on. Returns those that can't.
 */
net::restart_list ReloadProcess(base::process_settings& current,
                                const base::process_settings& next);

}  // namespace wisteriaroute::member

#endif  // LIBWISTERIAROUTE_MEMBER_PROCESS_RELOAD_H_
