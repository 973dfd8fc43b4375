#ifndef LIBWISTERIAROUTE_POLICY_CRASH_EVIDENCE_H_
#define LIBWISTERIAROUTE_POLICY_CRASH_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/base/digest.h"
#include "libwisteriaroute/wire/crash_messages.h"

namespace wisteriaroute::policy {

/** Crashes that begin within this time of the first one may have one cause. */
inline constexpr base::time_ms kCrashWindowMs = 1'000;

/** Crashes that an entry keeps, to report them again to a new leader. */
inline constexpr std::size_t kMaxReportedCrashes = 64;
inline constexpr base::time_ms kReportRetentionMs = 60'000;

/** A crash of a server, and the requests that may have caused it. */
struct crash {
  base::digest128 id;
  base::time_ms at_ms = 0;
  std::vector<wire::suspect_request> suspects;

  bool operator==(const crash&) const = default;
};

/** Id of the crash of one incarnation of a server. */
base::digest128 CrashId(std::string_view server, std::uint64_t incarnation);

/** The report of a crash to control. */
wire::crash_report MakeReport(const crash& one, base::time_ms now_ms);

/** Whether one of the requests or parts is a suspect of the crash. */
bool HasAny(const crash& one, const std::set<base::digest128>& fingerprints);

/** A request, or a part of prompts, that crashes servers. */
struct culprit {
  base::digest128 fingerprint;
  /** Number of independent crashes that it explains. */
  std::uint32_t crashes = 0;
  bool is_part = false;

  bool operator==(const culprit&) const = default;
};

/**
 * Finds the requests and parts that explain the crashes, which are sorted by
 * time. `known` are culprits already: crashes with one of them are explained
 * and no evidence against others. `earlier` were culprits once, and need only
 * one more crash.
 */
std::vector<culprit> FindCulprits(std::span<const crash> crashes,
                                  const std::set<base::digest128>& known,
                                  const std::set<base::digest128>& earlier);

/**
 * Takes an answer into account that began at `at_ms`: its request or part
 * didn't cause the crashes before, and counts as answered in later ones.
 * Returns whether a crash later than that has it as a suspect.
 */
bool ApplyAnswer(std::vector<crash>& crashes,
                 const base::digest128& fingerprint,
                 base::time_ms at_ms);

}  // namespace wisteriaroute::policy

#endif  // LIBWISTERIAROUTE_POLICY_CRASH_EVIDENCE_H_
