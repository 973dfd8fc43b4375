#include <iostream>
#include <nlohmann/json.hpp>

#include "libwisteriaroute/base/log_explain.h"
#include "libwisteriaroute/base/toml_reader.h"
#include "wrctl/commands.h"
#include "wrctl/exit_status.h"
#include "wrctl/report.h"

namespace wisteriaroute::wrctl {

namespace {

void PrintJson(const base::request_explanation& story) {
  nlohmann::json report = {{"summary", story.summary},
                           {"lines", nlohmann::json::array()}};
  for (const base::request_explanation::entry& one : story.entries) {
    report["lines"].push_back({{"own", one.own},
                               {"hlc", one.line.hlc},
                               {"process", one.line.process},
                               {"event", one.line.event},
                               {"fields", one.line.fields}});
  }
  std::cout << report.dump(2, ' ', false,
                           nlohmann::json::error_handler_t::replace)
            << "\n";
}

}  // namespace

int RunExplain(const argument_list& arguments) {
  if (FLAGS_request.empty()) {
    throw command_failure(kUsage, "--request ID is required");
  }
  std::vector<std::string> logs;
  for (const std::string& file : arguments) {
    logs.push_back(base::ReadFile(file));
  }
  const base::request_explanation story =
      base::ExplainRequest(logs, FLAGS_request);
  if (FLAGS_output == "json") {
    PrintJson(story);
  } else {
    for (const base::request_explanation::entry& one : story.entries) {
      std::cout << (one.own ? "> " : "  ") << Printable(one.line.text) << "\n";
    }
    std::cout << Printable(story.summary) << "\n";
  }
  return story.entries.empty() ? kFindings : kOk;
}

}  // namespace wisteriaroute::wrctl
