#ifndef LIBWISTERIAROUTE_CONTROL_REPORT_FAULTS_H_
#define LIBWISTERIAROUTE_CONTROL_REPORT_FAULTS_H_

#include <cstddef>
#include <string_view>

#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::control {

/** Maximum size of a server's report, of which one has a few hundred bytes. */
inline constexpr std::size_t kMaxReportBytes = 64 * 1024;

/**
 * Returns why the report names no server to use, or an empty text. Reports may
 * come from other writers, so any field may hold anything.
 */
std::string_view FindReportFault(const wire::report_server& report);

}  // namespace wisteriaroute::control

#endif  // LIBWISTERIAROUTE_CONTROL_REPORT_FAULTS_H_
