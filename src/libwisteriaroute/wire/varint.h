#ifndef LIBWISTERIAROUTE_WIRE_VARINT_H_
#define LIBWISTERIAROUTE_WIRE_VARINT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriaroute::wire {

/** Appends a number in groups of 7 bits, the lowest ones first. */
void AppendVarint(std::string& to, std::uint32_t value);

/** Takes a number off the front. Throws malformed_message. */
std::uint32_t TakeVarint(std::string_view& from);

/** Numbers one after the other; small ones take a byte each. */
std::string PackNumbers(std::span<const std::uint32_t> numbers);

/** Throws malformed_message. */
std::vector<std::uint32_t> UnpackNumbers(std::string_view bytes);

}  // namespace wisteriaroute::wire

#endif  // LIBWISTERIAROUTE_WIRE_VARINT_H_
