#ifndef WRCTL_EXIT_STATUS_H_
#define WRCTL_EXIT_STATUS_H_

#include <stdexcept>
#include <string>

namespace wisteriaroute::wrctl {

/** Exit statuses of wrctl, a documented interface for scripts. */
enum exit_status : int {
  kOk = 0,
  /**
   * Findings in a set, a revision that is not in force in time, a process that
   * did not answer `timeline`, or no log line for `explain`.
   */
  kFindings = 1,
  /**
   * Wrong arguments or settings, an unreadable file or directory, or an
   * exception other than command_failure.
   */
  kUsage = 2,
  /** Control refused the request; its code is printed. */
  kRefused = 3,
  /** No leader answered within the time limit, or its answer is malformed. */
  kUnreachable = 4,
};

/** Ends the command with `status()`. Prints `what()` on standard error. */
class command_failure : public std::runtime_error {
 public:
  command_failure(exit_status status, const std::string& message)
      : std::runtime_error(message), status_(status) {}

  exit_status status() const { return status_; }

 private:
  exit_status status_;
};

}  // namespace wisteriaroute::wrctl

#endif  // WRCTL_EXIT_STATUS_H_
