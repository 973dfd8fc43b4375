#include "libwisteriaroute/wire/varint.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "libwisteriaroute/wire/common.h"

namespace wisteriaroute::wire {
namespace {

TEST_CASE("packed numbers") {
  CHECK(rc::check("decode to the numbers that were encoded",
                  [](const std::vector<std::uint32_t>& numbers) {
                    RC_ASSERT(UnpackNumbers(PackNumbers(numbers)) == numbers);
                  }));

  SUBCASE("below 128 take one byte each") {
    CHECK(PackNumbers(std::vector<std::uint32_t>(100, 127)).size() == 100);
  }

  SUBCASE("that are truncated or exceed 32 bits throw malformed_message") {
    CHECK_THROWS_AS(UnpackNumbers("\x80"), malformed_message);
    CHECK_THROWS_AS(UnpackNumbers("\xff\xff\xff\xff\x1f"), malformed_message);
    CHECK_THROWS_AS(UnpackNumbers("\xff\xff\xff\xff\xff\x01"),
                    malformed_message);
  }
}

}  // namespace
}  // namespace wisteriaroute::wire
