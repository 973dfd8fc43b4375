#ifndef LIBWISTERIAROUTE_BASE_PROGRAM_H_
#define LIBWISTERIAROUTE_BASE_PROGRAM_H_

#include <functional>
#include <string>
#include <string_view>

#include "libwisteriaroute/base/finding.h"

namespace wisteriaroute::base {

// Exit statuses of the daemons.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

/** What a daemon's command line leads to. */
struct program {
  std::string_view name;
  std::string_view help;
  /** Checks the text of the settings file and keeps it; adds faults. */
  std::function<void(std::string_view text, std::string_view file, findings&)>
      read_settings;
  /** Runs with the settings until the process is asked to stop. */
  std::function<void()> run;
};

/**
 * The main function of a daemon with the flags --settings, --check-settings and
 * --help. Returns the exit status.
 */
int RunProgram(int argc, char** argv, const program& what);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_PROGRAM_H_
