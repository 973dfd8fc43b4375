#ifndef LIBWISTERIAROUTE_BASE_JSON_INPUT_H_
#define LIBWISTERIAROUTE_BASE_JSON_INPUT_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>

namespace wisteriaroute::base {

/** No message of another process nests deeper. */
inline constexpr int kMaxJsonDepth = 32;

/** Whether objects and lists in the text nest more than `depth` levels deep.
 * Needs no memory, unlike a parser. */
bool IsNestedDeeper(std::string_view json, int depth);

/**
 * Parses the JSON of another process. The result is discarded
 * (`is_discarded()`) if the text isn't JSON, nests deeper than kMaxJsonDepth,
 * or has a number that no double holds.
 */
nlohmann::json ParseJsonInput(std::string_view text);

/** Throws json::type_error for anything but an integer that `Number` holds.
 * json's own conversion wraps around, or is undefined for some numbers. */
template <typename Number = std::uint64_t>
Number ExactUnsigned(const nlohmann::json& value) {
  constexpr int kTypeErrorId = 302;
  if (!value.is_number_unsigned() ||
      value.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
    throw nlohmann::json::type_error::create(
        kTypeErrorId, "not an unsigned integer in range", &value);
  }
  return static_cast<Number>(value.get<std::uint64_t>());
}

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_JSON_INPUT_H_
