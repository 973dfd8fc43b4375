#include "libwisteriaroute/policy/answered_parts.h"

#include <utility>

namespace wisteriaroute::policy {

void answered_parts::Add(const base::digest128& part, base::time_us now_us) {
  if (current_.size() >= kGenerationParts ||
      now_us - current_since_us_ >= kGenerationUs) {
    previous_ = std::exchange(current_, {});
    current_since_us_ = now_us;
  }
  current_[part] = now_us;
}

std::optional<base::time_us> answered_parts::Find(
    const base::digest128& part) const {
  for (const generation* parts : {&current_, &previous_}) {
    const auto found = parts->find(part);
    if (found != parts->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

}  // namespace wisteriaroute::policy
