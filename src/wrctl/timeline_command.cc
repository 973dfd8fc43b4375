#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "libwisteriaroute/base/event_ring.h"
#include "libwisteriaroute/base/hlc.h"
#include "libwisteriaroute/net/address.h"
#include "wrctl/admin_client.h"
#include "wrctl/commands.h"
#include "wrctl/exit_status.h"
#include "wrctl/report.h"

namespace wisteriaroute::wrctl {

namespace {

constexpr double kDefaultTimeoutS = 10;
// A process that stopped without closing its session is still listed; waiting
// for it must not take the whole time limit.
constexpr base::time_us kProcessTimeoutUs = 3'000'000;

/** All addresses in the lists of an answer to get_members. */
std::set<std::string> Addresses(const nlohmann::json& members) {
  std::set<std::string> addresses;
  for (const nlohmann::json& list : members) {
    if (!list.is_array()) {
      continue;
    }
    for (const nlohmann::json& process : list) {
      if (!process.is_object() || !process.contains("address") ||
          !process["address"].is_string()) {
        continue;
      }
      const std::string address = process["address"].get<std::string>();
      if (net::IsAddress(address)) {
        addresses.insert(address);
      }
    }
  }
  return addresses;
}

nlohmann::json AsJson(const base::timeline_event& event) {
  nlohmann::json json = {{"time_ms", base::HlcWallMs(event.hlc)},
                         {"hlc", event.hlc},
                         {"process", event.process},
                         {"kind", event.kind},
                         {"detail", event.detail}};
  const auto add = [&](const char* key, const std::string& value) {
    if (!value.empty()) {
      json[key] = value;
    }
  };
  add("request_id", event.request_id);
  add("group", event.group);
  add("server", event.server);
  if (event.revision != 0) {
    json["revision"] = event.revision;
  }
  return json;
}

/** The request, group, server and revision of an event, as one table cell. */
std::string Subject(const base::timeline_event& event) {
  std::string text;
  const auto add = [&](const char* key, const std::string& value) {
    if (!value.empty()) {
      text += (text.empty() ? "" : " ") + std::string(key) + "=" + value;
    }
  };
  add("request", event.request_id);
  add("group", event.group);
  add("server", event.server);
  add("revision", event.revision == 0 ? "" : std::to_string(event.revision));
  return Printable(text);
}

void PrintEvents(const std::vector<base::timeline_event>& events) {
  std::vector<table_row> rows = {
      {"TIME", "PROCESS", "EVENT", "SUBJECT", "DETAIL"}};
  for (const base::timeline_event& event : events) {
    rows.push_back({FormatTime(base::HlcWallMs(event.hlc)),
                    Printable(event.process), Printable(event.kind),
                    Subject(event), Printable(event.detail)});
  }
  std::cout << FormatTable(rows);
}

}  // namespace

int RunTimeline(const argument_list&) {
  const client_settings settings = ReadClientSettings();
  admin_client client(settings);
  const base::time_us deadline_us = DeadlineUs(kDefaultTimeoutS);
  std::set<std::string> addresses = Addresses(
      ParseAnswer(client.Call(wire::get_members{}, deadline_us).json));
  addresses.insert(settings.controls.begin(), settings.controls.end());
  const std::vector<std::string> list(addresses.begin(), addresses.end());
  const base::timeline_filter filter{.request_id = FLAGS_request,
                                     .group = FLAGS_group,
                                     .server = FLAGS_server,
                                     .revision = FLAGS_revision,
                                     .limit = FLAGS_limit};
  std::vector<base::timeline_event> events;
  std::vector<std::string> unanswered;
  for (process_answer& answer : client.CallEach(
           list, filter,
           std::min(deadline_us, base::MonotonicUs() + kProcessTimeoutUs))) {
    if (!answer.answered) {
      unanswered.push_back(answer.address);
    }
    std::ranges::move(answer.reply.events, std::back_inserter(events));
  }
  base::SortTimeline(events);
  if (FLAGS_output == "json") {
    nlohmann::json report = {{"events", nlohmann::json::array()},
                             {"silent", unanswered}};
    for (const base::timeline_event& event : events) {
      report["events"].push_back(AsJson(event));
    }
    std::cout << report.dump(2, ' ', false,
                             nlohmann::json::error_handler_t::replace)
              << "\n";
  } else {
    PrintEvents(events);
  }
  for (const std::string& address : unanswered) {
    std::cerr << "wrctl: " << address << " didn't answer\n";
  }
  return unanswered.empty() ? kOk : kFindings;
}

}  // namespace wisteriaroute::wrctl
