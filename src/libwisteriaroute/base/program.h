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

/** A daemon for RunProgram. */
struct program {
  std::string_view name;
  std::string_view help;
  /** Parses and stores the settings; appends errors to the findings. */
  std::function<void(std::string_view text, std::string_view file, findings&)>
      read_settings;
  /** Runs with the stored settings until the process is asked to stop. */
  std::function<void()> run;
};

/**
 * The main function of a daemon with the flags --settings, --check-settings and
 * --help. Prints errors to standard error. Returns the exit status, or ends the
 * process once `run` has returned.
 */
int RunProgram(int argc, char** argv, const program& what);

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_PROGRAM_H_
