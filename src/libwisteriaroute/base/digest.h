#ifndef LIBWISTERIAROUTE_BASE_DIGEST_H_
#define LIBWISTERIAROUTE_BASE_DIGEST_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace wisteriaroute::base {

/** A 128-bit digest. */
struct digest128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const digest128&) const = default;
};

/** XXH3 hash: fast, but an adversary can construct collisions. */
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

/** SHA-256 truncated to 128 bits, for keys and bodies that callers choose. */
digest128 Digest128(std::string_view data);

/** SHA-256 as lower-case hexadecimal digits. */
std::string Sha256Hex(std::string_view data);

/** HMAC-SHA256 as 32 raw bytes. */
std::string HmacSha256(std::string_view key, std::string_view data);

/** Compares in a time that depends on the lengths only, not the content. */
bool EqualConstantTime(std::string_view a, std::string_view b);

/**
 * Returns cryptographically secure random bytes. Throws std::runtime_error if
 * the generator fails.
 */
std::string RandomBytes(std::size_t count);
std::uint64_t RandomU64();

/** Two lower-case hexadecimal digits for each byte. */
std::string HexEncode(std::string_view bytes);

/**
 * Parses the 64 digits that Sha256Hex returns and yields what Digest128 returns
 * for the same data; nullopt for any other text.
 */
std::optional<digest128> ParseSha256Hex(std::string_view text);

/** Formats as 32 lower-case hexadecimal digits. */
std::string ToString(const digest128& digest);

}  // namespace wisteriaroute::base

template <>
struct std::hash<wisteriaroute::base::digest128> {
  std::size_t operator()(
      const wisteriaroute::base::digest128& digest) const noexcept {
    return digest.low;
  }
};

#endif  // LIBWISTERIAROUTE_BASE_DIGEST_H_
