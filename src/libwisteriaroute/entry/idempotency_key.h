#ifndef LIBWISTERIAROUTE_ENTRY_IDEMPOTENCY_KEY_H_
#define LIBWISTERIAROUTE_ENTRY_IDEMPOTENCY_KEY_H_

#include <cstdint>
#include <string_view>

namespace wisteriaroute::entry {

inline constexpr std::size_t kMaxKeyBytes = 255;

/**
 * Creation time in Unix milliseconds of a key that is a UUID of version 7
 * (RFC 9562), or 0 for other keys, which carry no time.
 */
std::int64_t KeyCreatedMs(std::string_view key);

}  // namespace wisteriaroute::entry

#endif  // LIBWISTERIAROUTE_ENTRY_IDEMPOTENCY_KEY_H_
