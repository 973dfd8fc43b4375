#ifndef LIBWISTERIAROUTE_WIRE_VARINT_H_
#define LIBWISTERIAROUTE_WIRE_VARINT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaroute::wire {

/** Appends a base-128 varint: groups of 7 bits, the lowest ones first. */
void AppendVarint(std::string& to, std::uint32_t value);

/**
 * Decodes a varint and removes it from the front of `from`. Throws
 * malformed_message if it is truncated or exceeds 32 bits.
 */
std::uint32_t TakeVarint(std::string_view& from);

/** Encodes consecutive varints; numbers below 128 take one byte each. */
std::string PackNumbers(std::span<const std::uint32_t> numbers);

/** Decodes the output of PackNumbers. Throws malformed_message. */
std::vector<std::uint32_t> UnpackNumbers(std::string_view bytes);

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_VARINT_H_
