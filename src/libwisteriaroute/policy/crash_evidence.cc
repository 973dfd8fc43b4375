#include "libwisteriaroute/policy/crash_evidence.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace wisteriaroute::policy {

namespace {

// A rack or all servers may fail at once, so the crashes of one window are one
// crash for what they have in common. This many servers that fail with the
// same part in different requests count as two, unless most others fail, too.
// So do this many with the same request, if nothing else ran there.
constexpr std::size_t kSameWindowCrashes = 3;
constexpr std::uint32_t kCrashesNeeded = 2;
// A part that servers have answered before is less likely to be the cause than
// one that was never answered.
constexpr std::uint32_t kCrashesNeededIfAnswered = 4;
// A request whose caller sends it again after each crash of all servers comes
// back to the next one.
constexpr std::uint32_t kCrashesNeededOfRequest = 3;
constexpr std::uint32_t kCrashesNeededAgain = 1;
// Position of a whole request, after all of its parts.
constexpr std::size_t kWholeRequest = 1'000;

/** What speaks against one request or part. */
struct evidence {
  bool answered = false;
  /** Position in the prompt. */
  std::size_t position = 0;
  std::set<base::digest128> requests;
  /** Indexes of the unexplained crashes, in order. */
  std::vector<std::size_t> crashes;
  /** Those of a whole request in which no other request is a suspect. */
  std::set<std::size_t> alone;
};

using evidence_table = std::map<base::digest128, evidence>;

/** Number of the window of each crash. */
std::vector<std::size_t> Windows(std::span<const crash> crashes) {
  std::vector<std::size_t> windows;
  std::size_t window = 0;
  base::time_ms begin_ms = 0;
  for (const crash& one : crashes) {
    if (windows.empty() || one.at_ms - begin_ms >= kCrashWindowMs) {
      begin_ms = one.at_ms;
      ++window;
    }
    windows.push_back(window);
  }
  return windows;
}

bool HasRequest(const crash& one,
                const std::set<base::digest128>& fingerprints) {
  return std::ranges::any_of(
      one.suspects, [&](const wire::suspect_request& suspect) {
        return fingerprints.contains(suspect.fingerprint);
      });
}

bool HasPart(const crash& one, const std::set<base::digest128>& fingerprints) {
  return std::ranges::any_of(
      one.suspects, [&](const wire::suspect_request& suspect) {
        return std::ranges::any_of(
            suspect.parts, [&](const wire::suspect_part& part) {
              return fingerprints.contains(part.fingerprint);
            });
      });
}

/** Which crashes the culprits found so far explain. */
struct explanations {
  /** A culprit is among the suspects. */
  std::vector<bool> by_any;
  /**
   * A part is. A request that explains a crash doesn't acquit its parts: each
   * of many requests may have been sent again and have crashed servers twice.
   */
  std::vector<bool> by_part;
};

void Explain(explanations& known,
             std::span<const crash> crashes,
             const std::set<base::digest128>& culprits) {
  for (std::size_t i = 0; i < crashes.size(); ++i) {
    const bool has_part = HasPart(crashes[i], culprits);
    known.by_part[i] = known.by_part[i] || has_part;
    known.by_any[i] =
        known.by_any[i] || has_part || HasRequest(crashes[i], culprits);
  }
}

void Add(evidence& to, std::size_t crash, const wire::suspect_request& in) {
  to.requests.insert(in.fingerprint);
  if (to.crashes.empty() || to.crashes.back() != crash) {
    to.crashes.push_back(crash);
  }
}

/** Whether all suspects of the crash are attempts of the same request. */
bool IsOnlySuspect(const crash& one, const wire::suspect_request& request) {
  return std::ranges::all_of(
      one.suspects, [&](const wire::suspect_request& suspect) {
        return suspect.fingerprint == request.fingerprint;
      });
}

evidence_table Collect(std::span<const crash> crashes,
                       const explanations& known) {
  evidence_table table;
  for (std::size_t i = 0; i < crashes.size(); ++i) {
    if (known.by_part[i]) {
      continue;
    }
    for (const wire::suspect_request& suspect : crashes[i].suspects) {
      if (!known.by_any[i]) {
        evidence& whole = table[suspect.fingerprint];
        whole.position = kWholeRequest;
        Add(whole, i, suspect);
        if (IsOnlySuspect(crashes[i], suspect)) {
          whole.alone.insert(i);
        }
      }
      for (std::size_t at = 0; at < suspect.parts.size(); ++at) {
        const wire::suspect_part& part = suspect.parts[at];
        evidence& found = table[part.fingerprint];
        found.answered = found.answered || part.answered;
        found.position = std::max(found.position, at);
        Add(found, i, suspect);
      }
    }
  }
  return table;
}

/** Number of independent crashes among those of `found`. */
std::uint32_t CountCrashes(const evidence& found,
                           const std::vector<std::size_t>& windows,
                           const std::map<std::size_t, std::size_t>& totals) {
  const bool is_whole = found.position == kWholeRequest;
  std::map<std::size_t, std::size_t> in_window;
  std::map<std::size_t, std::size_t> strong;
  for (const std::size_t index : found.crashes) {
    ++in_window[windows[index]];
    strong[windows[index]] += !is_whole || found.alone.contains(index) ? 1 : 0;
  }
  std::size_t count = 0;
  for (const auto& [window, crashes] : in_window) {
    const bool shared_by_most = strong[window] >= kSameWindowCrashes &&
                                2 * strong[window] > totals.at(window);
    count += shared_by_most ? 2 : 1;
  }
  // Another attempt of the same request is no evidence against its parts.
  if (!is_whole) {
    count = std::min(count, found.requests.size());
  }
  return static_cast<std::uint32_t>(count);
}

struct candidate {
  culprit found;
  const evidence* why = nullptr;
};

// Prefers what was never answered, then what explains more crashes, then what
// is more specific: a part late in the prompt comes with all parts before it.
bool IsStronger(const candidate& a, const candidate& b) {
  const auto rank = [](const candidate& one) {
    return std::tuple(!one.why->answered, one.found.crashes,
                      one.why->crashes.size(), one.why->position);
  };
  return rank(a) > rank(b);
}

std::uint32_t CrashesNeeded(const evidence& found, bool was_culprit) {
  if (was_culprit) {
    return kCrashesNeededAgain;
  }
  if (found.position == kWholeRequest) {
    return kCrashesNeededOfRequest;
  }
  return found.answered ? kCrashesNeededIfAnswered : kCrashesNeeded;
}

std::vector<candidate> Convictable(
    const evidence_table& table,
    const std::vector<std::size_t>& windows,
    const std::map<std::size_t, std::size_t>& totals,
    const std::set<base::digest128>& earlier) {
  std::vector<candidate> found;
  for (const auto& [fingerprint, why] : table) {
    const std::uint32_t crashes = CountCrashes(why, windows, totals);
    if (crashes >= CrashesNeeded(why, earlier.contains(fingerprint))) {
      found.push_back(
          {{fingerprint, crashes, why.position != kWholeRequest}, &why});
    }
  }
  return found;
}

/** Whether another whole request explains the same crashes as well. */
bool IsAmbiguous(const candidate& one, const std::vector<candidate>& all) {
  return one.why->position == kWholeRequest &&
         std::ranges::any_of(all, [&](const candidate& other) {
           return other.found.fingerprint != one.found.fingerprint &&
                  other.why->position == kWholeRequest &&
                  other.why->crashes == one.why->crashes;
         });
}

std::optional<culprit> FindStrongest(std::span<const crash> crashes,
                                     const explanations& known,
                                     const std::set<base::digest128>& earlier) {
  const std::vector<std::size_t> windows = Windows(crashes);
  std::map<std::size_t, std::size_t> totals;
  for (std::size_t i = 0; i < crashes.size(); ++i) {
    totals[windows[i]] += known.by_part[i] ? 0 : 1;
  }
  const evidence_table table = Collect(crashes, known);
  const std::vector<candidate> all =
      Convictable(table, windows, totals, earlier);
  const candidate* strongest = nullptr;
  for (const candidate& one : all) {
    if (!IsAmbiguous(one, all) &&
        (strongest == nullptr || IsStronger(one, *strongest))) {
      strongest = &one;
    }
  }
  return strongest == nullptr ? std::nullopt : std::optional(strongest->found);
}

}  // namespace

base::digest128 CrashId(std::string_view server, std::uint64_t incarnation) {
  return base::Digest128(std::string(server) + "/" +
                         std::to_string(incarnation));
}

wire::crash_report MakeReport(const crash& one, base::time_ms now_ms) {
  return {.id = one.id, .age_ms = now_ms - one.at_ms, .suspects = one.suspects};
}

bool HasAny(const crash& one, const std::set<base::digest128>& fingerprints) {
  return HasRequest(one, fingerprints) || HasPart(one, fingerprints);
}

std::vector<culprit> FindCulprits(std::span<const crash> crashes,
                                  const std::set<base::digest128>& known,
                                  const std::set<base::digest128>& earlier) {
  explanations explained{.by_any = std::vector<bool>(crashes.size()),
                         .by_part = std::vector<bool>(crashes.size())};
  Explain(explained, crashes, known);
  std::vector<culprit> culprits;
  while (const auto strongest = FindStrongest(crashes, explained, earlier)) {
    culprits.push_back(*strongest);
    Explain(explained, crashes, {strongest->fingerprint});
  }
  return culprits;
}

bool ApplyAnswer(std::vector<crash>& crashes,
                 const base::digest128& fingerprint,
                 base::time_ms at_ms) {
  bool still_suspect = false;
  for (crash& one : crashes) {
    if (one.at_ms <= at_ms) {
      std::erase_if(one.suspects, [&](const wire::suspect_request& suspect) {
        return suspect.fingerprint == fingerprint;
      });
    }
    for (wire::suspect_request& suspect : one.suspects) {
      still_suspect = still_suspect || suspect.fingerprint == fingerprint;
      for (auto part = suspect.parts.begin(); part != suspect.parts.end();) {
        if (part->fingerprint != fingerprint) {
          ++part;
        } else if (one.at_ms <= at_ms) {
          part = suspect.parts.erase(part);
        } else {
          part->answered = true;
          still_suspect = true;
          ++part;
        }
      }
    }
  }
  std::erase_if(crashes, [](const crash& one) { return one.suspects.empty(); });
  return still_suspect;
}

}  // namespace wisteriaroute::policy
