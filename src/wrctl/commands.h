#ifndef WRCTL_COMMANDS_H_
#define WRCTL_COMMANDS_H_

#include "wrctl/command_line.h"

namespace wisteriaroute::wrctl {

// Each function runs one subcommand, prints its result and returns the exit
// status. Throws command_failure on errors.

int RunCheck(const argument_list& arguments);
int RunKeyDigest(const argument_list& arguments);
int RunDiff(const argument_list& arguments);
int RunPublish(const argument_list& arguments);
int RunStatus(const argument_list& arguments);
int RunHistory(const argument_list& arguments);
int RunGroups(const argument_list& arguments);
int RunMembers(const argument_list& arguments);
int RunQuarantineList(const argument_list& arguments);
int RunQuarantineRelease(const argument_list& arguments);
int RunDrain(const argument_list& arguments);
int RunUndrain(const argument_list& arguments);
int RunEvacuate(const argument_list& arguments);
int RunEndEvacuation(const argument_list& arguments);
int RunRebalance(const argument_list& arguments);
int RunMembersAdd(const argument_list& arguments);
int RunMembersRemove(const argument_list& arguments);
int RunTimeline(const argument_list& arguments);
int RunTrafficCheck(const argument_list& arguments);
int RunTrafficPublish(const argument_list& arguments);
int RunTrafficShow(const argument_list& arguments);
int RunExplain(const argument_list& arguments);

}  // namespace wisteriaroute::wrctl

#endif  // WRCTL_COMMANDS_H_
