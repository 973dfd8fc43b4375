#include "libwisteriaroute/entry/idempotency_key.h"

namespace wisteriaroute::entry {

namespace {

constexpr std::size_t kUuidBytes = 36;
constexpr std::size_t kVersionAt = 14;
constexpr std::size_t kVariantAt = 19;
constexpr int kTimeDigits = 12;

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return -1;
}

bool IsUuid(std::string_view text) {
  if (text.size() != kUuidBytes) {
    return false;
  }
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    if (dash ? text[i] != '-' : HexValue(text[i]) < 0) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::int64_t KeyCreatedMs(std::string_view key) {
  if (!IsUuid(key) || key[kVersionAt] != '7' ||
      (HexValue(key[kVariantAt]) & 0xc) != 0x8) {
    return 0;
  }
  std::int64_t created = 0;
  int digits = 0;
  for (const char c : key) {
    if (c == '-') {
      continue;
    }
    if (digits++ == kTimeDigits) {
      break;
    }
    created = created * 16 + HexValue(c);
  }
  return created;
}

}  // namespace wisteriaroute::entry
