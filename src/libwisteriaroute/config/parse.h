#ifndef LIBWISTERIAROUTE_CONFIG_PARSE_H_
#define LIBWISTERIAROUTE_CONFIG_PARSE_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/finding.h"
#include "libwisteriaroute/config/object_set.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::config {

/** Name and text of a TOML file that defines objects. */
struct source_file {
  std::string name;
  std::string text;
};

/** Objects of a set and the faults that were found in it. */
struct parsed_set {
  object_set set;
  /** Canonical form, sorted by kind and name. */
  std::vector<wire::config_object> objects;
  base::findings findings;
};

/** Parses TOML files as one set and validates it as a whole. */
parsed_set ParseFiles(std::span<const source_file> files);

/** Parses published objects as one set and validates it as a whole. */
parsed_set ParseObjects(std::span<const wire::config_object> objects);

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_PARSE_H_
