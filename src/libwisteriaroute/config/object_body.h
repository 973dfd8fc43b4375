#ifndef LIBWISTERIAROUTE_CONFIG_OBJECT_BODY_H_
#define LIBWISTERIAROUTE_CONFIG_OBJECT_BODY_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "libwisteriaroute/base/finding.h"
#include "libwisteriaroute/config/named_set.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::config {

/**
 * The objects of a set in canonical form, sorted by kind and name. A body is
 * JSON without white space, with all fields, and its keys are sorted.
 */
std::vector<wire::config_object> CanonicalObjects(const named_set& set);

/**
 * Reads a JSON body as a table without places. A body that is no JSON object
 * becomes a finding at `place`. Values that no field can have (null, nested
 * objects and arrays) become empty tables, which readers report.
 */
std::optional<toml::table> ParseBody(std::string_view body,
                                     std::string_view place,
                                     base::findings& out);

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_OBJECT_BODY_H_
