#ifndef WRCTL_EXIT_STATUS_H_
#define WRCTL_EXIT_STATUS_H_

#include <stdexcept>
#include <string>

namespace wisteriaroute::wrctl {

/** Exit statuses of wrctl; part of its documented interface. */
enum exit_status : int {
  kOk = 0,
  /** Findings in a set, or a revision that isn't in force in time. */
  kFindings = 1,
  kUsage = 2,
  /** Control refused the request; its code is printed. */
  kRefused = 3,
  /** No leader answered within the time limit. */
  kUnreachable = 4,
};

/** Ends the command with a message on standard error and a status. */
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
