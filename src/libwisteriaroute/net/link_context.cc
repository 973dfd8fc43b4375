#include "libwisteriaroute/net/link_context.h"

namespace wisteriaroute::net {

link_context MakeLinkContext(loop& event_loop,
                             const base::process_settings& process,
                             std::string_view role,
                             std::uint64_t incarnation,
                             base::hybrid_clock& clock) {
  return {.event_loop = &event_loop,
          .self = {.name = process.name,
                   .role = std::string(role),
                   .incarnation = incarnation,
                   .data_center = process.data_center,
                   .address = process.advertise},
          .cluster_key = base::ReadClusterKey(process.cluster_key_file),
          .clock = &clock};
}

}  // namespace wisteriaroute::net
