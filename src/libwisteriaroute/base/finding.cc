#include "libwisteriaroute/base/finding.h"

#include <utility>

namespace wisteriaroute::base {

namespace {

std::string JoinLines(const findings& all) {
  std::string text;
  for (const finding& found : all) {
    text += text.empty() ? "" : "\n";
    text += ToString(found);
  }
  return text;
}

}  // namespace

std::string ToString(const finding& found) {
  std::string text = found.file;
  if (found.line > 0) {
    text +=
        ":" + std::to_string(found.line) + ":" + std::to_string(found.column);
  }
  return text + ": " + found.message;
}

findings_error::findings_error(findings all)
    : std::runtime_error(JoinLines(all)), all_(std::move(all)) {}

}  // namespace wisteriaroute::base
