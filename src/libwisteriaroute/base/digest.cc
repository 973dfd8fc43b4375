#include "libwisteriaroute/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>
#include <charconv>

#include <array>
#include <cstring>
#include <stdexcept>

namespace wisteriaroute::base {

namespace {

using sha256_bytes = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

sha256_bytes Sha256(std::string_view data) {
  sha256_bytes result{};
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         result.data());
  return result;
}

std::uint64_t BigEndian(const unsigned char* bytes) {
  std::uint64_t value = 0;
  for (int i = 0; i < 8; ++i) {
    value = value << 8 | bytes[i];
  }
  return value;
}

std::string_view AsText(const sha256_bytes& bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

digest128 Digest128(std::string_view data) {
  const sha256_bytes bytes = Sha256(data);
  return {.high = BigEndian(bytes.data()), .low = BigEndian(bytes.data() + 8)};
}

std::string Sha256Hex(std::string_view data) {
  return HexEncode(AsText(Sha256(data)));
}

std::optional<digest128> ParseSha256Hex(std::string_view text) {
  constexpr std::size_t kSha256Digits = 64;
  constexpr std::size_t kHalfDigits = 16;
  constexpr int kBase = 16;
  const bool valid = text.size() == kSha256Digits &&
                     text.find_first_not_of("0123456789abcdef") == text.npos;
  if (!valid) {
    return std::nullopt;
  }
  digest128 digest;
  std::from_chars(text.data(), text.data() + kHalfDigits, digest.high, kBase);
  std::from_chars(text.data() + kHalfDigits, text.data() + 2 * kHalfDigits,
                  digest.low, kBase);
  return digest;
}

std::string HmacSha256(std::string_view key, std::string_view data) {
  sha256_bytes result{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(),
       result.data(), &length);
  return std::string(AsText(result));
}

bool EqualConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomBytes(std::size_t count) {
  std::string bytes(count, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                 static_cast<int>(count)) != 1) {
    throw std::runtime_error("the system's random source failed");
  }
  return bytes;
}

std::uint64_t RandomU64() {
  std::uint64_t value = 0;
  std::memcpy(&value, RandomBytes(sizeof value).data(), sizeof value);
  return value;
}

std::string HexEncode(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4];
    text += kDigits[value & 15];
  }
  return text;
}

std::string ToString(const digest128& digest) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::uint64_t half : {digest.high, digest.low}) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      text += kDigits[half >> shift & 15];
    }
  }
  return text;
}

}  // namespace wisteriaroute::base
