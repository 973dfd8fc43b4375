#ifndef WRCTL_COMMAND_LINE_H_
#define WRCTL_COMMAND_LINE_H_

#include <gflags/gflags.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

DECLARE_string(controls);
DECLARE_string(cluster_key_file);
DECLARE_string(settings);
DECLARE_string(output);
DECLARE_double(timeout_s);
DECLARE_string(base);
DECLARE_string(operation_id);
DECLARE_bool(wait);
DECLARE_string(request);
DECLARE_string(group);
DECLARE_string(server);
DECLARE_uint64(revision);
DECLARE_uint32(limit);

namespace wisteriaroute::wrctl {

using argument_list = std::vector<std::string>;

/** A subcommand. Its name may have two words, for instance `members add`. */
struct command {
  std::string_view name;
  /** Names of its arguments, for instance `NAME ADDRESS` or `FILES...`. */
  std::string_view arguments;
  std::string_view summary;
  std::string_view details;
  /** Flags that it accepts, with underscores, besides those of all commands. */
  std::vector<std::string_view> flags;
  /** Whether it connects to control and accepts the flags for that. */
  bool connects = true;
  int (*run)(const argument_list& arguments) = nullptr;
};

/** A parsed command line. */
struct parsed_command_line {
  const command* selected = nullptr;
  bool help = false;
  argument_list arguments;
};

/**
 * Parses the words and sets the flags. Throws command_failure with kUsage for a
 * usage error.
 */
parsed_command_line ParseCommandLine(std::span<const std::string_view> words,
                                     std::span<const command> commands);

/** Help text of one command, or of all commands if `selected` is null. */
std::string HelpText(const command* selected,
                     std::span<const command> commands);

}  // namespace wisteriaroute::wrctl

#endif  // WRCTL_COMMAND_LINE_H_
