#ifndef LIBWISTERIAROUTE_GATEWAY_CRASH_WATCH_H_
#define LIBWISTERIAROUTE_GATEWAY_CRASH_WATCH_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/policy/answered_parts.h"
#include "libwisteriaroute/policy/crash_evidence.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::gateway {

/** A server whose connections broke before it had answered. */
struct broken_server {
  std::uint64_t incarnation = 0;
  base::time_us since_us = 0;
  /** The probe has shown that the server is down. */
  bool crashed = false;
  std::vector<wire::suspect_request> suspects;
};

/** What an entry knows of crashes of servers and of their causes. */
struct crash_watch {
  /** From control: suspects, and requests and parts that may not run. */
  std::map<base::digest128, wire::quarantine_entry> quarantine;
  policy::answered_parts answered;
  /** By server id. */
  std::map<std::string, broken_server> broken;
  /** Crashes that this entry has seen; monotonic ms. */
  std::vector<policy::crash> crashes;
  /** Ids of crashes to be reported to control. */
  std::set<base::digest128> unreported;
  /** Answers to be reported to control, with the times they began. */
  std::map<base::digest128, base::time_us> unreported_answers;
};

/** Whether something waits to be reported to control at the next tick. */
bool HasReports(const crash_watch& watch);

}  // namespace wisteriaroute::gateway

#endif  // LIBWISTERIAROUTE_GATEWAY_CRASH_WATCH_H_
