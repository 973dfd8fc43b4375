#include <unistd.h>

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "wrctl/admin_client.h"
#include "wrctl/commands.h"
#include "wrctl/exit_status.h"
#include "wrctl/report.h"

namespace wisteriaroute::wrctl {

namespace {

constexpr double kDefaultTimeoutS = 10;
constexpr double kDefaultWaitTimeoutS = 60;
constexpr std::chrono::milliseconds kPollPeriod{200};

constexpr std::array<std::string_view, 14> kColumns = {
    "name",     "role",       "data_center",
    "revision", "in_force",   "in_force_everywhere",
    "leader",   "term",       "evacuated",
    "ready",    "missing",    "address",
    "voter",    "match_index"};

bool InForceEverywhere(const nlohmann::json& status) {
  return status.value("in_force_everywhere", false);
}

/** Updates the progress line if standard error is a terminal. */
void ShowProgress(const nlohmann::json& status) {
  if (isatty(STDERR_FILENO) == 0) {
    return;
  }
  const std::uint64_t revision = status.value("revision", std::uint64_t{0});
  std::size_t total = 0;
  std::size_t reached = 0;
  std::string waiting_for;
  for (const nlohmann::json& process :
       status.value("processes", nlohmann::json::array())) {
    ++total;
    if (process.value("revision", std::uint64_t{0}) >= revision) {
      ++reached;
    } else if (waiting_for.empty()) {
      waiting_for = "; waiting for " + process.value("name", std::string());
    }
  }
  std::cerr << "\r\033[Krevision " << revision << " in force in " << reached
            << " of " << total << " processes" << waiting_for << std::flush;
}

/** Lists what keeps a process from serving the newest revision. */
std::string MissingConditions(const nlohmann::json& process,
                              std::uint64_t newest) {
  std::string text;
  const auto add = [&](bool missing, const std::string& what) {
    if (missing) {
      text += (text.empty() ? "" : ", ") + what;
    }
  };
  const std::uint64_t process_revision =
      process.value("revision", std::uint64_t{0});
  add(!process.value("connected", true), "connection");
  add(process_revision < newest, "revision " + std::to_string(newest));
  add(!process.value("ready", true), "readiness");
  add(process.value("leaving", false), "leaving");
  return text;
}

nlohmann::json ReadStatus(admin_client& client, base::time_us deadline_us) {
  nlohmann::json status =
      ParseAnswer(client.Call(wire::get_status{}, deadline_us).json);
  const std::uint64_t newest = status.value("revision", std::uint64_t{0});
  if (status.contains("processes")) {
    for (nlohmann::json& process : status["processes"]) {
      process["missing"] = MissingConditions(process, newest);
    }
  }
  return status;
}

nlohmann::json WaitForStatus(admin_client& client, base::time_us deadline_us) {
  while (true) {
    nlohmann::json status = ReadStatus(client, deadline_us);
    ShowProgress(status);
    const bool last =
        base::MonotonicUs() + std::chrono::microseconds(kPollPeriod).count() >=
        deadline_us;
    if (InForceEverywhere(status) || last) {
      if (isatty(STDERR_FILENO) != 0) {
        std::cerr << "\n";
      }
      return status;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
}

}  // namespace

int RunStatus(const argument_list&) {
  admin_client client(ReadClientSettings());
  if (!FLAGS_wait) {
    PrintReport(ReadStatus(client, DeadlineUs(kDefaultTimeoutS)), kColumns);
    return kOk;
  }
  const nlohmann::json status =
      WaitForStatus(client, DeadlineUs(kDefaultWaitTimeoutS));
  PrintReport(status, kColumns);
  if (InForceEverywhere(status)) {
    return kOk;
  }
  std::cerr
      << "wrctl: the revision is not in force everywhere at the time limit\n";
  return kFindings;
}

}  // namespace wisteriaroute::wrctl
