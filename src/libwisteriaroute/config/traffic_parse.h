#ifndef LIBWISTERIAROUTE_CONFIG_TRAFFIC_PARSE_H_
#define LIBWISTERIAROUTE_CONFIG_TRAFFIC_PARSE_H_

#include <optional>
#include <string_view>

#include "libwisteriaroute/base/finding.h"
#include "libwisteriaroute/config/traffic_set.h"

namespace wisteriaroute::config {

/**
 * Reads a traffic set in TOML (`docs/OPERATING.md` has its keys) and checks it
 * as a whole. Faults are added to `out`; the set is there only without any.
 */
std::optional<traffic_set> ParseTraffic(std::string_view text,
                                        std::string_view file,
                                        base::findings& out);

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_TRAFFIC_PARSE_H_
