#ifndef LIBWISTERIAROUTE_CONFIG_SOURCE_DIRECTORY_H_
#define LIBWISTERIAROUTE_CONFIG_SOURCE_DIRECTORY_H_

#include <string_view>
#include <vector>

#include "libwisteriaroute/config/parse.h"

namespace wisteriaroute::config {

/**
 * Reads all `*.toml` files in a directory and its subdirectories, sorted by
 * name. Names include the directory. Throws std::system_error.
 */
std::vector<source_file> ReadDirectory(std::string_view directory);

}  // namespace wisteriaroute::config

#endif  // LIBWISTERIAROUTE_CONFIG_SOURCE_DIRECTORY_H_
