#include "libwisteriaroute/base/program.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>

#include "libwisteriaroute/base/end_process.h"
#include "libwisteriaroute/base/toml_reader.h"

DEFINE_string(settings, "", "settings file (TOML)");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace wisteriaroute::base {

namespace {

void Print(std::FILE* to, std::string_view text) {
  std::fwrite(text.data(), 1, text.size(), to);
}

bool IsHelp(std::string_view argument) {
  return argument == "--help" || argument == "-h" || argument == "-help";
}

int ReadAndRun(const program& what) {
  findings found;
  what.read_settings(ReadFile(FLAGS_settings), FLAGS_settings, found);
  for (const finding& one : found) {
    Print(stderr, ToString(one) + "\n");
  }
  if (!found.empty()) {
    return kExitUsage;
  }
  if (FLAGS_check_settings) {
    Print(stdout, "settings are valid\n");
    return kExitOk;
  }
  what.run();
  EndProcess(kExitOk);
}

}  // namespace

int RunProgram(int argc, char** argv, const program& what) {
  for (int i = 1; i < argc; ++i) {
    if (IsHelp(argv[i])) {
      Print(stdout, what.help);
      return kExitOk;
    }
  }
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty()) {
    Print(stderr, "--settings FILE is required; see --help\n");
    return kExitUsage;
  }
  try {
    return ReadAndRun(what);
  } catch (const std::exception& error) {
    Print(stderr, std::string(what.name) + ": " + error.what() + "\n");
    return kExitFailed;
  }
}

}  // namespace wisteriaroute::base
