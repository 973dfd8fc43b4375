#include <array>
#include <exception>
#include <iostream>
#include <string_view>
#include <vector>

#include "wrctl/command_line.h"
#include "wrctl/commands.h"
#include "wrctl/exit_status.h"

namespace wisteriaroute::wrctl {
namespace {

const std::array<command, 22>& Commands() {
  static const std::array<command, 22> commands = {{
      {.name = "check",
       .arguments = "DIR",
       .summary = "Checks a directory of named objects, offline",
       .details = "Reads all *.toml files below DIR as one set and reports "
                  "every finding as\nfile:line:column: message. Exit status: "
                  "0 clean, 1 findings, 2 unreadable.",
       .connects = false,
       .run = &RunCheck},
      {.name = "diff",
       .arguments = "DIR",
       .summary = "Shows what publishing DIR would change",
       .run = &RunDiff},
      {.name = "publish",
       .arguments = "DIR",
       .summary = "Publishes DIR as the whole set of named objects",
       .details =
           "Requires --base: the revision that the change is based on. If it "
           "is no longer the\nnewest, control refuses with stale_base and "
           "nothing changes. Repeating the command\nwith the same set, base "
           "and operation id returns the first answer again.",
       .flags = {"base", "operation_id"},
       .run = &RunPublish},
      {.name = "status",
       .summary = "Shows each process with the revision that it has in force",
       .details = "Also shows the leader, the replicas and the evacuated data "
                  "centres.\nWith --wait, returns when the newest revision is "
                  "in force "
                  "everywhere (status 0),\nor at the time limit (status 1).",
       .flags = {"wait"},
       .run = &RunStatus},
      {.name = "history",
       .summary = "Lists the accepted revisions",
       .run = &RunHistory},
      {.name = "drain",
       .arguments = "NAME",
       .summary = "Takes a backend server out of rotation, by its agent's name",
       .details = "New work stops within 3 s; requests in progress finish.",
       .run = &RunDrain},
      {.name = "undrain",
       .arguments = "NAME",
       .summary = "Puts a backend server back into rotation",
       .run = &RunUndrain},
      {.name = "evacuate",
       .arguments = "NAME",
       .summary = "Sends no new work to the servers of a data centre",
       .details = "Requests in progress finish. Repeating the command is safe. "
                  "wrctl status lists the\nevacuated data centres.",
       .run = &RunEvacuate},
      {.name = "end-evacuation",
       .arguments = "NAME",
       .summary = "Sends new work to the servers of a data centre again",
       .run = &RunEndEvacuation},
      {.name = "groups",
       .summary = "Shows the model groups with their expert maps",
       .run = &RunGroups},
      {.name = "rebalance",
       .arguments = "GROUP",
       .summary = "Requests a new expert map of a group now",
       .run = &RunRebalance},
      {.name = "quarantine list",
       .summary = "Lists suspects and quarantined requests",
       .run = &RunQuarantineList},
      {.name = "quarantine release",
       .arguments = "FINGERPRINT",
       .summary = "Lets a quarantined request run again",
       .run = &RunQuarantineRelease},
      {.name = "members",
       .summary = "Lists control replicas, entries and agents",
       .run = &RunMembers},
      {.name = "members add",
       .arguments = "NAME ADDRESS",
       .summary = "Adds a control replica",
       .details = "Start the new replica with an empty data directory first. "
                  "It becomes a voter when it\nhas received the log.",
       .run = &RunMembersAdd},
      {.name = "members remove",
       .arguments = "NAME",
       .summary = "Removes a control replica",
       .run = &RunMembersRemove},
      {.name = "timeline",
       .summary = "Merges the events of all processes in causal order",
       .details = "Exit status 1 if a listed process didn't answer; the events "
                  "of the others are\nprinted.",
       .flags = {"request", "group", "server", "revision", "limit"},
       .run = &RunTimeline},
      {.name = "explain",
       .arguments = "FILES...",
       .summary = "Traces a request through the logs of several processes",
       .details =
           "Prints the log lines of the request in --request and, from about "
           "the same time, those\nabout the servers, configurations and "
           "leaders "
           "that can have affected it, in causal\norder, with a summary of its "
           "outcome. Exit status 1 if no line has the request id.",
       .flags = {"request"},
       .connects = false,
       .run = &RunExplain},
      {.name = "traffic check",
       .arguments = "FILE",
       .summary = "Checks a traffic set for gateways, offline",
       .connects = false,
       .run = &RunTrafficCheck},
      {.name = "traffic publish",
       .arguments = "FILE",
       .summary = "Publishes a traffic set; the highest version wins",
       .details = "A set whose version isn't above the newest one is accepted "
                  "and changes nothing,\nso repeating the command is safe.",
       .run = &RunTrafficPublish},
      {.name = "traffic show",
       .summary = "Prints the newest traffic set",
       .run = &RunTrafficShow},
      {.name = "key-digest",
       .summary = "Reads a bearer key from standard input, prints its digest",
       .details = "The digest goes into key_digests of a workspace.",
       .connects = false,
       .run = &RunKeyDigest},
  }};
  return commands;
}

int Run(const std::vector<std::string_view>& words) {
  try {
    const parsed_command_line line = ParseCommandLine(words, Commands());
    if (line.help) {
      std::cout << HelpText(line.selected, Commands());
      return kOk;
    }
    const int status = line.selected->run(line.arguments);
    std::cout << std::flush;
    return status;
  } catch (const command_failure& failure) {
    std::cerr << "wrctl: " << failure.what() << "\n";
    return failure.status();
  } catch (const std::exception& error) {
    std::cerr << "wrctl: " << error.what() << "\n";
    return kUsage;
  }
}

}  // namespace
}  // namespace wisteriaroute::wrctl

int main(int argc, char** argv) {
  const std::vector<std::string_view> words(argv + 1, argv + argc);
  return wisteriaroute::wrctl::Run(words);
}
