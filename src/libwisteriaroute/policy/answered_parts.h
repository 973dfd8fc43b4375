#ifndef LIBWISTERIAROUTE_POLICY_ANSWERED_PARTS_H_
#define LIBWISTERIAROUTE_POLICY_ANSWERED_PARTS_H_

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/base/digest.h"

namespace wisteriaroute::policy {

/**
 * Remembers when servers last began to answer a prompt with each part. Keeps
 * the parts of between kGenerationUs and twice that time, and at most
 * 2 * kGenerationParts.
 */
class answered_parts {
 public:
  static constexpr base::time_us kGenerationUs = 600'000'000;
  static constexpr std::size_t kGenerationParts = 4'096;

  void Add(const base::digest128& part, base::time_us now_us);

  /** When the latest answer began; nothing if none is known. */
  std::optional<base::time_us> Find(const base::digest128& part) const;

 private:
  using generation = std::unordered_map<base::digest128, base::time_us>;

  generation current_;
  generation previous_;
  base::time_us current_since_us_ = 0;
};

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_ANSWERED_PARTS_H_
