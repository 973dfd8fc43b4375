#ifndef LIBWISTERIAROUTE_CONFIG_CHECKS_H_
#define LIBWISTERIAROUTE_CONFIG_CHECKS_H_

#include <map>
#include <string>
#include <utility>

#include <toml++/toml.h>

#include "libwisteriaroute/base/finding.h"
#include "libwisteriaroute/config/named_set.h"

namespace wisteriaroute::config {

/** Where an object was read. The table must outlive the source. */
struct object_source {
  const toml::table* table = nullptr;
  std::string file;
};

/** Sources of objects by kind and name. */
using source_map = std::map<std::pair<std::string, std::string>, object_source>;

/** Whether names that no object has are reported, or can't be told. */
enum class reference_check { kAll, kSkipUnknown };

/** Checks what concerns several objects or fields; adds to `out`. */
void CheckSet(const named_set& set,
              const source_map& sources,
              reference_check references,
              base::findings& out);

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_CHECKS_H_
