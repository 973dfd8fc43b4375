#ifndef LIBWISTERIAROUTE_WIRE_PACKED_COUNTS_H_
#define LIBWISTERIAROUTE_WIRE_PACKED_COUNTS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaroute::wire {

/**
 * Encodes numbers most of which are 0 or small: the size as a varint, then one
 * byte for each number other than 0, the zeros before it in the high half and
 * the number in the low half. The value 15 in a half adds a varint with the
 * rest. Returns an empty string for no numbers.
 */
std::string PackCounts(std::span<const std::uint32_t> counts);

/** Decodes the output of PackCounts. Throws malformed_message. */
std::vector<std::uint32_t> UnpackCounts(std::string_view bytes);

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_PACKED_COUNTS_H_
