#ifndef LIBWISTERIAROUTE_STORAGE_BYTES_H_
#define LIBWISTERIAROUTE_STORAGE_BYTES_H_

#include <bit>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace wisteriaroute::storage {

static_assert(std::endian::native == std::endian::little,
              "files hold little-endian numbers");

template <typename Number>
void AppendNumber(Number value, std::string& out) {
  char bytes[sizeof value];
  std::memcpy(bytes, &value, sizeof value);
  out.append(bytes, sizeof value);
}

/** Reads the number at `offset`, all of which must lie within `bytes`. */
template <typename Number>
Number NumberAt(std::string_view bytes, std::uint64_t offset) {
  Number value;
  std::memcpy(&value, bytes.data() + offset, sizeof value);
  return value;
}

}  // namespace wisteriaroute::storage

#endif  // LIBWISTERIAROUTE_STORAGE_BYTES_H_
