#ifndef LIBWISTERIAROUTE_CONFIG_CHECKS_H_
#define LIBWISTERIAROUTE_CONFIG_CHECKS_H_

#include <map>
#include <string>
#include <utility>

#include <toml++/toml.h>

#include "libwisteriaroute/base/finding.h"
#include "libwisteriaroute/config/object_set.h"

namespace wisteriaroute::config {

/** Where an object was defined. The table must outlive the source. */
struct object_source {
  const toml::table* table = nullptr;
  std::string file;
};

/** Sources of objects by (kind, name). */
using source_map = std::map<std::pair<std::string, std::string>, object_source>;

/**
 * Whether references to undefined names are reported. They are skipped if some
 * input couldn't be parsed, because it may define these names.
 */
enum class reference_check { kAll, kSkipUnknown };

/** Checks constraints across objects and fields; adds findings to `out`. */
void CheckSet(const object_set& set,
              const source_map& sources,
              reference_check references,
              base::findings& out);

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_CHECKS_H_
