#include "libwisteriaroute/policy/answered_parts.h"

#include <doctest/doctest.h>

#include <string>

namespace wisteriaroute::policy {

TEST_CASE("the memory of answered parts is bounded and ages") {
  answered_parts parts;
  const auto part = [](std::size_t i) {
    return base::Digest128(std::to_string(i));
  };
  parts.Add(part(0), 1);
  SUBCASE("a flood of parts displaces it") {
    for (std::size_t i = 1; i <= 2 * answered_parts::kGenerationParts; ++i) {
      parts.Add(part(i), 2);
    }
    CHECK_FALSE(parts.Find(part(0)));
    CHECK(parts.Find(part(2 * answered_parts::kGenerationParts)));
  }
  SUBCASE("time displaces it") {
    parts.Add(part(1), answered_parts::kGenerationUs + 1);
    CHECK(parts.Find(part(0)) == 1);
    parts.Add(part(2), 2 * answered_parts::kGenerationUs + 2);
    CHECK_FALSE(parts.Find(part(0)));
  }
}

}  // namespace wisteriaroute::policy
