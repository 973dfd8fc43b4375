#include <termios.h>
#include <unistd.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "libwisteriaroute/base/digest.h"
#include "wrctl/commands.h"
#include "wrctl/exit_status.h"
#include "wrctl/local_set.h"

namespace wisteriaroute::wrctl {

namespace {

/** Disables the terminal's echo so that a key is not shown. */
class hidden_input {
 public:
  hidden_input() : terminal_(tcgetattr(STDIN_FILENO, &saved_) == 0) {
    if (terminal_) {
      termios no_echo = saved_;
      no_echo.c_lflag &= ~static_cast<tcflag_t>(ECHO);
      tcsetattr(STDIN_FILENO, TCSANOW, &no_echo);
      std::cerr << "key: " << std::flush;
    }
  }
  ~hidden_input() {
    if (terminal_) {
      tcsetattr(STDIN_FILENO, TCSANOW, &saved_);
      std::cerr << "\n";
    }
  }
  hidden_input(const hidden_input&) = delete;
  hidden_input& operator=(const hidden_input&) = delete;

 private:
  termios saved_{};
  bool terminal_;
};

}  // namespace

int RunCheck(const argument_list& arguments) {
  const config::parsed_set parsed = ReadLocalSet(arguments[0]);
  if (FLAGS_output == "json") {
    nlohmann::json report = {{"objects", parsed.objects.size()},
                             {"findings", FindingsAsJson(parsed.findings)}};
    std::cout << report.dump(2) << "\n";
  } else if (parsed.findings.empty()) {
    std::cout << arguments[0] << ": " << parsed.objects.size()
              << " objects, no findings\n";
  } else {
    PrintFindings(parsed.findings);
  }
  return parsed.findings.empty() ? kOk : kFindings;
}

int RunKeyDigest(const argument_list&) {
  std::string key;
  {
    const hidden_input hidden;
    std::getline(std::cin, key);
  }
  if (!key.empty() && key.back() == '\r') {
    key.pop_back();
  }
  if (key.empty()) {
    throw command_failure(kUsage, "no key on standard input");
  }
  const std::string digest = base::Sha256Hex(key);
  if (FLAGS_output == "json") {
    std::cout << nlohmann::json{{"key_digest", digest}}.dump() << "\n";
  } else {
    std::cout << digest << "\n";
  }
  return kOk;
}

}  // namespace wisteriaroute::wrctl
