#include <algorithm>
#include <charconv>
#include <iostream>
#include <nlohmann/json.hpp>

#include "libwisteriaroute/net/address.h"
#include "wrctl/admin_client.h"
#include "wrctl/commands.h"
#include "wrctl/exit_status.h"
#include "wrctl/report.h"

namespace wisteriaroute::wrctl {

namespace {

constexpr double kDefaultTimeoutS = 10;
constexpr std::array<std::string_view, 11> kColumns = {
    "name",    "agent",       "role",      "fingerprint",
    "state",   "revision",    "time_ms",   "operation_id",
    "address", "data_center", "generation"};

wire::admin_reply CallLeader(wire::admin_call call) {
  admin_client client(ReadClientSettings());
  return client.Call(std::move(call), DeadlineUs(kDefaultTimeoutS));
}

int RunQuery(wire::admin_call call) {
  PrintReport(ParseAnswer(CallLeader(std::move(call)).json), kColumns);
  return kOk;
}

/** Prints control's message about a change, or `success_text` without one. */
int RunChange(wire::admin_call call, const std::string& success_text) {
  const wire::admin_reply reply = CallLeader(std::move(call));
  if (FLAGS_output == "json") {
    std::cout << ParseAnswer(reply.json.empty() ? "{}" : reply.json).dump(2)
              << "\n";
  } else {
    std::cout << (reply.message.empty() ? success_text
                                        : Printable(reply.message))
              << "\n";
  }
  return kOk;
}

base::digest128 ParseFingerprint(const std::string& text) {
  constexpr std::size_t kDigits = 16;
  base::digest128 digest;
  const auto read = [&](std::size_t at, std::uint64_t& part) {
    const char* end = text.data() + at + kDigits;
    const auto [stop, error] = std::from_chars(text.data() + at, end, part, 16);
    return error == std::errc() && stop == end;
  };
  if (text.size() != 2 * kDigits || !read(0, digest.high) ||
      !read(kDigits, digest.low)) {
    throw command_failure(kUsage,
                          "a fingerprint has 32 hexadecimal digits (see wrctl "
                          "quarantine list)");
  }
  return digest;
}

/** Whether an agent with this name has a session. */
bool HasMember(const nlohmann::json& members, const std::string& name) {
  return std::ranges::any_of(members.value("members", nlohmann::json::array()),
                             [&](const nlohmann::json& member) {
                               return member.value("name", "") == name &&
                                      member.value("role", "") == "agent";
                             });
}

}  // namespace

int RunHistory(const argument_list&) {
  return RunQuery(wire::get_history{});
}

int RunGroups(const argument_list&) {
  return RunQuery(wire::get_groups{});
}

int RunMembers(const argument_list&) {
  return RunQuery(wire::get_members{});
}

int RunQuarantineList(const argument_list&) {
  return RunQuery(wire::get_quarantine{});
}

int RunQuarantineRelease(const argument_list& arguments) {
  return RunChange(
      wire::release_quarantine{.fingerprint = ParseFingerprint(arguments[0])},
      "released " + arguments[0]);
}

int RunDrain(const argument_list& arguments) {
  const int status =
      RunChange(wire::drain_request{.name = arguments[0], .drained = true},
                "draining " + arguments[0]);
  const nlohmann::json members =
      ParseAnswer(CallLeader(wire::get_members{}).json);
  if (!HasMember(members, arguments[0])) {
    std::cerr << "wrctl: no agent named " << arguments[0]
              << " has a session now; it will be drained when it opens one\n";
  }
  return status;
}

int RunUndrain(const argument_list& arguments) {
  return RunChange(wire::drain_request{.name = arguments[0], .drained = false},
                   arguments[0] + " accepts new work again");
}

int RunEvacuate(const argument_list& arguments) {
  return RunChange(
      wire::evacuation_order{.data_center = arguments[0], .evacuated = true},
      "evacuating data centre " + arguments[0]);
}

int RunEndEvacuation(const argument_list& arguments) {
  return RunChange(
      wire::evacuation_order{.data_center = arguments[0], .evacuated = false},
      "data centre " + arguments[0] + " is no longer evacuated");
}

int RunRebalance(const argument_list& arguments) {
  return RunChange(wire::rebalance_request{.group = arguments[0]},
                   "requested a new expert map of " + arguments[0]);
}

int RunMembersAdd(const argument_list& arguments) {
  if (!net::IsAddress(arguments[1])) {
    throw command_failure(
        kUsage, "'" + arguments[1] + "' is not an address; write IP:port");
  }
  return RunChange(
      wire::add_replica{.name = arguments[0], .address = arguments[1]},
      "added control replica " + arguments[0]);
}

int RunMembersRemove(const argument_list& arguments) {
  return RunChange(wire::remove_replica{.name = arguments[0]},
                   "removed control replica " + arguments[0]);
}

}  // namespace wisteriaroute::wrctl
