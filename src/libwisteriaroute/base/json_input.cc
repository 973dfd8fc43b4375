#include "libwisteriaroute/base/json_input.h"

namespace wisteriaroute::base {

bool IsNestedDeeper(std::string_view json, int depth) {
  int level = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < json.size(); ++i) {
    const char c = json[i];
    if (in_string) {
      i += c == '\\' ? 1 : 0;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++level > depth) {
        return true;
      }
    } else if (c == ']' || c == '}') {
      --level;
    }
  }
  return false;
}

nlohmann::json ParseJsonInput(std::string_view text) {
  if (IsNestedDeeper(text, kMaxJsonDepth)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(text, nullptr, false);
}

}  // namespace wisteriaroute::base
