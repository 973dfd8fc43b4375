#ifndef LIBWISTERIAROUTE_NET_LINK_CONTEXT_H_
#define LIBWISTERIAROUTE_NET_LINK_CONTEXT_H_

#include <cstdint>
#include <string_view>

#include "libwisteriaroute/base/process_settings.h"
#include "libwisteriaroute/net/link.h"

namespace wisteriaroute::net {

/** Makes the context of a daemon's links. Throws like ReadClusterKey. */
link_context MakeLinkContext(loop& event_loop,
                             const base::process_settings& process,
                             std::string_view role,
                             std::uint64_t incarnation,
                             base::hybrid_clock& clock);

}  // namespace wisteriaroute::net

#endif  // LIBWISTERIAROUTE_NET_LINK_CONTEXT_H_
