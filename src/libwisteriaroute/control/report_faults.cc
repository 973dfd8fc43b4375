#include "libwisteriaroute/control/report_faults.h"

#include <algorithm>
#include <cstdint>

#include "libwisteriaroute/net/address.h"

namespace wisteriaroute::control {

namespace {

constexpr std::size_t kMaxIdBytes = 128;
constexpr std::uint32_t kMaxSlots = 100'000;
// The longest cold time that a configuration may name.
constexpr std::int64_t kMaxColdMs = 86'400'000;
// Larger numbers aren't exact in JSON. A report with the largest incarnation or
// sequence number would outdate all later ones of its server.
constexpr std::uint64_t kMaxExactNumber = std::uint64_t{1} << 53;

// The id becomes part of a header.
bool IsServerId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::ranges::all_of(id, [](char c) { return c > ' ' && c <= '~'; });
}

bool IsServerAddress(std::string_view address) {
  return net::IsAddress(address) &&
         address.substr(address.rfind(':') + 1).find_first_not_of('0') !=
             address.npos;
}

}  // namespace

std::string_view FindReportFault(const wire::report_server& report) {
  const wire::member_info& info = report.info;
  if (!IsServerId(info.name)) {
    return "the id is empty, too long or has invalid characters";
  }
  if (info.incarnation > kMaxExactNumber || report.sequence > kMaxExactNumber) {
    return "a number is too large";
  }
  if (report.gone) {
    return {};
  }
  if (!IsServerAddress(info.address)) {
    return "the address is missing or invalid";
  }
  if (info.backend.service.empty()) {
    return "the service is missing or invalid";
  }
  if (info.backend.slots > kMaxSlots) {
    return "the number of slots is too large";
  }
  if (info.cold_left_ms.value_or(0) < 0 ||
      info.cold_left_ms.value_or(0) > kMaxColdMs) {
    return "the time that the server stays cold is out of range";
  }
  return {};
}

}  // namespace wisteriaroute::control
