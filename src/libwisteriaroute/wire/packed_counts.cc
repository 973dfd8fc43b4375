#include "libwisteriaroute/wire/packed_counts.h"

#include <algorithm>
#include <limits>

#include "libwisteriaroute/wire/common.h"
#include "libwisteriaroute/wire/varint.h"

namespace wisteriaroute::wire {

namespace {

constexpr std::uint32_t kHalfBits = 4;
constexpr std::uint32_t kHalfMax = 15;
// Bounds the memory that a malformed size can make the decoder use; the largest
// groups have fewer than 100,000 sets times experts.
constexpr std::uint32_t kMaxCounts = 1'000'000;

}  // namespace

std::string PackCounts(std::span<const std::uint32_t> counts) {
  std::string bytes;
  if (counts.empty()) {
    return bytes;
  }
  AppendVarint(bytes, static_cast<std::uint32_t>(counts.size()));
  std::uint32_t zeros = 0;
  for (const std::uint32_t count : counts) {
    if (count == 0) {
      ++zeros;
      continue;
    }
    const std::uint32_t high = std::min(zeros, kHalfMax);
    const std::uint32_t low = std::min(count, kHalfMax);
    bytes.push_back(static_cast<char>((high << kHalfBits) | low));
    if (high == kHalfMax) {
      AppendVarint(bytes, zeros - kHalfMax);
    }
    if (low == kHalfMax) {
      AppendVarint(bytes, count - kHalfMax);
    }
    zeros = 0;
  }
  return bytes;
}

std::vector<std::uint32_t> UnpackCounts(std::string_view bytes) {
  if (bytes.empty()) {
    return {};
  }
  const std::uint32_t size = TakeVarint(bytes);
  if (size > kMaxCounts) {
    throw malformed_message("too many counts");
  }
  std::vector<std::uint32_t> counts(size);
  std::uint64_t next = 0;
  while (!bytes.empty()) {
    const auto head = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    std::uint64_t zeros = head >> kHalfBits;
    std::uint64_t count = head & kHalfMax;
    if (zeros == kHalfMax) {
      zeros += TakeVarint(bytes);
    }
    if (count == kHalfMax) {
      count += TakeVarint(bytes);
    }
    next += zeros;
    if (next >= size || count > std::numeric_limits<std::uint32_t>::max()) {
      throw malformed_message("count out of range");
    }
    counts[next++] = static_cast<std::uint32_t>(count);
  }
  return counts;
}

}  // namespace wisteriaroute::wire
