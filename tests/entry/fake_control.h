#ifndef TESTS_ENTRY_FAKE_CONTROL_H_
#define TESTS_ENTRY_FAKE_CONTROL_H_

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "libwisteriaroute/control/quarantine_table.h"
#include "libwisteriaroute/wire/control_messages.h"

namespace wisteriaroute::entry_test {

/** Control's tables of claims and quarantine; each message is atomic. */
class fake_control {
 public:
  /** The reply to a claim message, or nothing for other messages. */
  std::optional<wire::claim_reply> Receive(
      const wire::control_message& message) {
    if (const auto* request = std::get_if<wire::claim_request>(&message)) {
      return Claim(*request);
    }
    if (const auto* move = std::get_if<wire::claim_move>(&message)) {
      return Move(*move);
    }
    if (const auto* end = std::get_if<wire::claim_outcome>(&message)) {
      return End(*end);
    }
    if (const auto* cleared = std::get_if<wire::suspect_cleared>(&message)) {
      quarantine.erase(cleared->fingerprint);
    }
    if (const auto* reports = std::get_if<wire::crash_reports>(&message)) {
      control::ReportCrashes(parts, *reports, time_ms);
    }
    if (const auto* answers = std::get_if<wire::answers_begun>(&message)) {
      control::NoteAnswers(parts, *answers, time_ms);
    }
    return std::nullopt;
  }

  /** An agent's report that its backend server was lost. */
  void ReportCrash(const std::vector<base::digest128>& running) {
    std::vector<base::digest128> known;
    std::ranges::copy_if(
        running, std::back_inserter(known),
        [&](const auto& each) { return quarantine.contains(each); });
    for (const base::digest128& each : known.empty() ? running : known) {
      wire::quarantine_entry& entry = quarantine[each];
      entry.fingerprint = each;
      if (++entry.crashes >= 2 && known.size() == 1) {
        entry.state = wire::quarantine_state::kQuarantined;
      }
    }
  }

  std::map<base::digest128, wire::quarantine_entry> quarantine;
  /** The real table, for the parts of prompts. */
  control::quarantine_table parts;
  base::time_ms time_ms = 0;

 private:
  struct claim {
    base::digest128 body;
    wire::claim_target target;
    std::optional<wire::recorded_response> response;
  };
  using key = std::pair<std::string, base::digest128>;

  static wire::claim_reply Describe(std::uint64_t correlation,
                                    const claim& held) {
    if (held.response) {
      return {correlation, wire::claim_result::kRecorded, held.target,
              *held.response};
    }
    return {correlation, wire::claim_result::kHeld, held.target, {}};
  }

  static wire::claim_reply Granted(std::uint64_t correlation) {
    return {correlation, wire::claim_result::kGranted, {}, {}};
  }

  wire::claim_reply Claim(const wire::claim_request& request) {
    const auto [found, added] = claims_.try_emplace(
        key(request.workspace, request.key_digest),
        claim{request.body_digest, request.target, std::nullopt});
    claim& held = found->second;
    if (held.body != request.body_digest) {
      return {request.correlation, wire::claim_result::kBodyMismatch, {}, {}};
    }
    if (added ||
        (!held.response && held.target.attempt == request.target.attempt)) {
      return Granted(request.correlation);
    }
    return Describe(request.correlation, held);
  }

  wire::claim_reply Move(const wire::claim_move& move) {
    const auto found = claims_.find(key(move.workspace, move.key_digest));
    if (found == claims_.end()) {
      return {move.correlation, wire::claim_result::kUnavailable, {}, {}};
    }
    claim& held = found->second;
    if (held.response || (held.target.attempt != move.from_attempt &&
                          held.target.attempt != move.to.attempt)) {
      return Describe(move.correlation, held);
    }
    held.target = move.to;
    return Granted(move.correlation);
  }

  wire::claim_reply End(const wire::claim_outcome& end) {
    const auto found = claims_.find(key(end.workspace, end.key_digest));
    const bool released = end.response.ran == wire::outcome::kNotRun;
    if (found == claims_.end()) {
      return released ? Granted(end.correlation)
                      : wire::claim_reply{end.correlation,
                                          wire::claim_result::kUnavailable,
                                          {},
                                          {}};
    }
    claim& held = found->second;
    if (held.target.attempt != end.attempt || held.response) {
      return Describe(end.correlation, held);
    }
    if (released) {
      claims_.erase(found);
    } else {
      held.response = end.response;
    }
    return Granted(end.correlation);
  }

  std::map<key, claim> claims_;
};

}  // namespace wisteriaroute::entry_test

#endif  // TESTS_ENTRY_FAKE_CONTROL_H_
