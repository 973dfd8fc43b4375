#include "libwisteriaroute/config/source_directory.h"

#include <algorithm>
#include <filesystem>

#include "libwisteriaroute/base/toml_reader.h"

namespace wisteriaroute::config {

std::vector<source_file> ReadDirectory(std::string_view directory) {
  std::vector<source_file> files;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(directory)) {
    if (entry.is_regular_file() && entry.path().extension() == ".toml") {
      const std::string name = entry.path().lexically_normal().string();
      files.push_back({.name = name, .text = base::ReadFile(name)});
    }
  }
  std::ranges::sort(files, {}, &source_file::name);
  return files;
}

}  // namespace wisteriaroute::config
