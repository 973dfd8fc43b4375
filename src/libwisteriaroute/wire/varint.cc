#include "libwisteriaroute/wire/varint.h"

#include "libwisteriaroute/wire/common.h"

namespace wisteriaroute::wire {

namespace {

constexpr std::uint32_t kGroupBits = 7;
constexpr std::uint32_t kContinuationBit = 1U << kGroupBits;
constexpr std::uint32_t kLastShift = 28;
// The fifth group holds the highest 4 of 32 bits.
constexpr std::uint32_t kLastGroupMax = 0x0F;

}  // namespace

void AppendVarint(std::string& to, std::uint32_t value) {
  while (value >= kContinuationBit) {
    to.push_back(
        static_cast<char>((value & (kContinuationBit - 1)) | kContinuationBit));
    value >>= kGroupBits;
  }
  to.push_back(static_cast<char>(value));
}

std::uint32_t TakeVarint(std::string_view& from) {
  std::uint32_t value = 0;
  for (std::uint32_t shift = 0; shift <= kLastShift; shift += kGroupBits) {
    if (from.empty()) {
      throw malformed_message("truncated varint");
    }
    const auto group = static_cast<unsigned char>(from.front());
    from.remove_prefix(1);
    if (shift == kLastShift && group > kLastGroupMax) {
      break;
    }
    value |= (group & (kContinuationBit - 1)) << shift;
    if (group < kContinuationBit) {
      return value;
    }
  }
  throw malformed_message("varint exceeds 32 bits");
}

std::string PackNumbers(std::span<const std::uint32_t> numbers) {
  std::string bytes;
  bytes.reserve(numbers.size() * 5 / 4);
  for (const std::uint32_t number : numbers) {
    AppendVarint(bytes, number);
  }
  return bytes;
}

std::vector<std::uint32_t> UnpackNumbers(std::string_view bytes) {
  std::vector<std::uint32_t> numbers;
  numbers.reserve(bytes.size());
  while (!bytes.empty()) {
    numbers.push_back(TakeVarint(bytes));
  }
  return numbers;
}

}  // namespace wisteriaroute::wire
