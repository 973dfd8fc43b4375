#ifndef LIBWISTERIAROUTE_CONFIG_TRAFFIC_PARSE_H_
#define LIBWISTERIAROUTE_CONFIG_TRAFFIC_PARSE_H_

#include <optional>
#include <string_view>

#include "libwisteriaroute/base/finding.h"
#include "libwisteriaroute/config/traffic_set.h"

namespace wisteriaroute::config {

/**
 * Parses a traffic set in TOML (keys: `docs/OPERATING.md`) and validates it as
 * a whole. Adds faults to `out` and returns nothing if there are any.
 */
std::optional<traffic_set> ParseTraffic(std::string_view text,
                                        std::string_view file,
                                        base::findings& out);

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_TRAFFIC_PARSE_H_
