#ifndef LIBWISTERIAROUTE_CONFIG_OBJECT_BODY_H_
#define LIBWISTERIAROUTE_CONFIG_OBJECT_BODY_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "libwisteriaroute/base/finding.h"
#include "libwisteriaroute/config/object_set.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::config {

/**
 * Returns the objects of a set in canonical form, sorted by kind and name. A
 * body is JSON without white space that has all fields, sorted by key.
 */
std::vector<wire::config_object> CanonicalObjects(const object_set& set);

/**
 * Converts a JSON body to a TOML table without source positions. Adds a finding
 * at `place` and returns nothing if the body isn't a JSON object. Values that
 * no field can have (null, objects, nested arrays) become empty tables, which
 * the readers of the fields report.
 */
std::optional<toml::table> ParseBody(std::string_view body,
                                     std::string_view place,
                                     base::findings& out);

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_OBJECT_BODY_H_
