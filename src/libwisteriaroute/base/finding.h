#ifndef LIBWISTERIAROUTE_BASE_FINDING_H_
#define LIBWISTERIAROUTE_BASE_FINDING_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace wisteriaroute::base {

/**
 * An error in an input file and its location. Line and column start at 1;
 * line 0 means that the location within the file isn't known.
 */
struct finding {
  std::string file;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
  std::string message;

  bool operator==(const finding&) const = default;
};

using findings = std::vector<finding>;

/** Formats as `file:line:column: message`. */
std::string ToString(const finding& found);

/** Thrown if input has findings. what() holds one finding a line. */
class findings_error : public std::runtime_error {
 public:
  explicit findings_error(findings all);

  const findings& all() const { return all_; }

 private:
  findings all_;
};

}  // namespace wisteriaroute::base

#endif  // LIBWISTERIAROUTE_BASE_FINDING_H_
