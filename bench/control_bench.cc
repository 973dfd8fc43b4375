// Measures the replicated state machine and the leader's sessions. Times and
// rates are printed as minimum, median and maximum of five runs, sizes as
// single values.

#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

#include "libwisteriaroute/base/clock.h"
#include "libwisteriaroute/config/parse.h"
#include "libwisteriaroute/control/replica.h"

namespace wisteriaroute::control {
namespace {

constexpr int kRuns = 5;
constexpr step_time kNow{.now_us = 1'000'000, .wall_ms = 1'000'000'000};

template <typename Run>
void Report(const std::string& name, const char* unit, Run run) {
  std::array<double, kRuns> results{};
  for (double& one : results) {
    one = run();
  }
  std::sort(results.begin(), results.end());
  std::printf("%-52s min %10.2f  median %10.2f  max %10.2f %s\n", name.c_str(),
              results.front(), results[kRuns / 2], results.back(), unit);
  std::fflush(stdout);
}

void ReportSize(const std::string& name, double size, const char* unit) {
  std::printf("%-52s %14.1f %s\n", name.c_str(), size, unit);
  std::fflush(stdout);
}

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string MakeName(const char* kind, std::size_t number) {
  return std::string(kind) + "-" + std::to_string(number);
}

wire::claim_request Request(std::size_t number) {
  return {.workspace = MakeName("workspace", number % 10),
          .key_digest = base::Digest128(std::to_string(number)),
          .body_digest = {.high = 1, .low = number},
          .key_created_ms = kNow.wall_ms,
          .target = {.attempt = {.high = 2, .low = number},
                     .agent = MakeName("agent", number % 100),
                     .backend_incarnation = 3,
                     .window = 4}};
}

std::string ClaimEntry(std::size_t number) {
  return EncodeCommand({.wall_ms = kNow.wall_ms,
                        .proposer = 1,
                        .proposal = number,
                        .body = claim_command{.request = Request(number)}});
}

void BenchClaims() {
  constexpr std::size_t kCount = 200'000;
  std::vector<std::string> entries;
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < kCount; ++i) {
    entries.push_back(ClaimEntry(i));
    bytes += entries.back().size();
  }
  ReportSize("log entry of a claim", static_cast<double>(bytes) / kCount,
             "bytes");
  Report("claims decoded and applied", "claims/s", [&] {
    control_state state;
    const base::time_us begin = base::MonotonicUs();
    for (std::size_t i = 0; i < kCount; ++i) {
      Apply(state, DecodeCommand(entries[i]), i + 1);
    }
    return 1e6 * kCount / static_cast<double>(base::MonotonicUs() - begin);
  });
  Report("claims through the leader: request to reply", "claims/s", [&] {
    replica_state state{.options = {.incarnation = 1}};
    Step(state, became_leader{1}, kNow);
    std::size_t replies = 0;
    const base::time_us begin = base::MonotonicUs();
    for (std::size_t i = 0; i < kCount; ++i) {
      const replica_effects asked =
          Step(state, link_received{1, Request(i)}, kNow);
      const auto& proposal = std::get<propose_command>(asked.front());
      const replica_effects applied =
          Step(state, entry_committed{i + 1, proposal.payload}, kNow);
      for (const replica_effect& effect : applied) {
        replies += wire::Encode(std::get<send_to_links>(effect).message).size();
      }
    }
    const base::time_us taken = base::MonotonicUs() - begin;
    return replies == 0 ? 0 : 1e6 * kCount / static_cast<double>(taken);
  });
}

void BenchClaimMemory(std::size_t count) {
  const std::string suffix = " (" + std::to_string(count) + " claims)";
  const auto per_claim = [&](std::size_t before) {
    return static_cast<double>(HeapBytes() - before) /
           static_cast<double>(count);
  };
  const std::size_t before = HeapBytes();
  control_state state;
  for (std::size_t i = 0; i < count; ++i) {
    Claim(state.claims, Request(i), {}, kNow.wall_ms);
  }
  ReportSize("state of an open claim" + suffix, per_claim(before), "bytes");
  for (std::size_t i = 0; i < count; ++i) {
    const wire::claim_request request = Request(i);
    RecordOutcome(
        state.claims,
        {.workspace = request.workspace,
         .key_digest = request.key_digest,
         .attempt = request.target.attempt,
         .response = {.ran = wire::outcome::kRan,
                      .status = 201,
                      .headers = {{"content-type", "application/json"}},
                      .body = std::string(512, 'x')}});
  }
  ReportSize("state of a claim with 512 bytes of response" + suffix,
             per_claim(before), "bytes");
  std::string snapshot;
  Report("snapshot of the state" + suffix, "ms", [&] {
    const base::time_us begin = base::MonotonicUs();
    snapshot = EncodeState(state);
    return static_cast<double>(base::MonotonicUs() - begin) / 1e3;
  });
  ReportSize("snapshot, for each claim" + suffix,
             static_cast<double>(snapshot.size()) / static_cast<double>(count),
             "bytes");
}

/** Returns a configuration with many workspaces and one of all else. */
std::vector<wire::config_object> ManyWorkspaces(std::size_t count) {
  std::string text =
      "[region.r]\n[data_center.r-a]\nregion = \"r\"\n"
      "[backend_class.plain]\nkind = \"plain\"\n"
      "[model.m]\nversion = \"1\"\n[service.orders]\n"
      "backend_class = \"plain\"\nnon_repeatable_methods = [\"POST\"]\n";
  for (std::size_t i = 0; i < count; ++i) {
    text += "[workspace." + MakeName("w", i) + "]\nkey_digests = [\"" +
            base::Sha256Hex(std::to_string(i)) +
            "\"]\nmodels = [\"m\"]\nservices = [\"orders\"]\n";
  }
  const std::vector<config::source_file> files = {
      {.name = "bench.toml", .text = std::move(text)}};
  config::parsed_set parsed = config::ParseFiles(files);
  if (!parsed.findings.empty()) {
    throw base::findings_error(parsed.findings);
  }
  return parsed.objects;
}

publish_command Publication(const config_history& history,
                            std::vector<wire::config_object> changed) {
  publish_command command{.base_revision = history.revision,
                          .operation_id = MakeName("op", history.revision),
                          .validated = true,
                          .changed = std::move(changed)};
  command.result_digest = DigestAfter(history, command.changed, {});
  return command;
}

void BenchConfig(std::size_t workspaces) {
  const std::string suffix = " (" + std::to_string(workspaces) + " workspaces)";
  const std::vector<wire::config_object> objects = ManyWorkspaces(workspaces);
  const std::size_t before = HeapBytes();
  config_history history;
  for (const wire::config_object& object : objects) {
    history.objects[{object.kind, object.name}] = object.body;
  }
  ReportSize("objects, for each workspace" + suffix,
             static_cast<double>(HeapBytes() - before) /
                 static_cast<double>(workspaces),
             "bytes");
  history = {};
  Publish(history, Publication(history, objects), 0);
  wire::config_object changed = objects.back();
  changed.body.insert(changed.body.size() - 1, " ");
  Publish(history, Publication(history, {changed}), 0);
  ReportSize("config delta, one workspace changed" + suffix,
             static_cast<double>(wire::Encode(UpdateSince(history, 1)).size()),
             "bytes");
  ReportSize("config snapshot" + suffix,
             static_cast<double>(wire::Encode(UpdateSince(history, 0)).size()),
             "bytes");
  Report("validation of the whole set" + suffix, "ms", [&] {
    const base::time_us begin = base::MonotonicUs();
    const config::parsed_set parsed = config::ParseObjects(objects);
    return parsed.findings.empty()
               ? static_cast<double>(base::MonotonicUs() - begin) / 1e3
               : -1;
  });
  Report("a publication applied" + suffix, "us", [&] {
    changed.body.insert(changed.body.size() - 1, " ");
    const publish_command command = Publication(history, {changed});
    const base::time_us begin = base::MonotonicUs();
    Publish(history, command, 0);
    return static_cast<double>(base::MonotonicUs() - begin);
  });
}

wire::member_info Member(std::size_t number) {
  const bool entry = number % 7 == 0;
  return {.name = MakeName("member", number),
          .role = entry ? wire::member_role::kEntry : wire::member_role::kAgent,
          .incarnation = number + 1,
          .address = "10.20.30.40:7100",
          .region = "north",
          .data_center = "north-a",
          .backend = {.class_name = "engine",
                      .group = entry ? "" : MakeName("group", number / 128),
                      .rank = static_cast<std::uint32_t>(number % 128),
                      .incarnation = number + 1,
                      .healthy = true,
                      .models = {"assistant"}}};
}

/** Returns the time for one heartbeat of each member and its responses. */
double HeartbeatPeriodUs(replica_state& state,
                         std::size_t members,
                         std::uint64_t sequence,
                         base::time_us now_us) {
  std::vector<std::string> messages;
  for (std::size_t i = 0; i < members; ++i) {
    messages.push_back(wire::Encode(
        wire::session_heartbeat{.sequence = sequence, .ready = true}));
  }
  const step_time now{now_us, kNow.wall_ms};
  const base::time_us begin = base::MonotonicUs();
  std::uint64_t confirm = 0;
  std::size_t bytes = 0;
  const auto collect = [&](const replica_effects& effects) {
    for (const replica_effect& effect : effects) {
      if (const auto* asked = std::get_if<confirm_leader>(&effect)) {
        confirm = asked->confirm_id;
      } else if (const auto* send = std::get_if<send_to_links>(&effect)) {
        bytes += wire::Encode(send->message).size();
      }
    }
  };
  for (std::size_t i = 0; i < members; ++i) {
    collect(Step(state, link_received{i + 1, wire::DecodeControl(messages[i])},
                 now));
  }
  collect(Step(state, leader_confirmed{confirm, true}, now));
  // The first heartbeat starts a confirmation of leadership at once; the other
  // heartbeats share the next one.
  const step_time later{now_us + 50'000, kNow.wall_ms};
  collect(Step(state, replica_tick{}, later));
  collect(Step(state, leader_confirmed{confirm, true}, later));
  return bytes == 0 ? 0 : static_cast<double>(base::MonotonicUs() - begin);
}

void BenchSessions(std::size_t members) {
  const std::string suffix = " (" + std::to_string(members) + " members)";
  const std::size_t before = HeapBytes();
  replica_state state{.options = {.incarnation = 1}};
  Step(state, became_leader{1}, kNow);
  base::time_us now_us = kNow.now_us + kLeaseBoundUs;
  const base::time_us begin = base::MonotonicUs();
  for (std::size_t i = 0; i < members; ++i) {
    Step(state, link_received{i + 1, wire::session_hello{Member(i), 0}},
         {now_us, kNow.wall_ms});
  }
  ReportSize("all sessions opened" + suffix,
             static_cast<double>(base::MonotonicUs() - begin) / 1e3, "ms");
  Step(state, replica_tick{}, {now_us, kNow.wall_ms});
  ReportSize(
      "leader's state of a member" + suffix,
      static_cast<double>(HeapBytes() - before) / static_cast<double>(members),
      "bytes");
  std::uint64_t sequence = 0;
  Report("a heartbeat, received to acknowledged" + suffix, "us", [&] {
    now_us += 500'000;
    return HeartbeatPeriodUs(state, members, ++sequence, now_us) /
           static_cast<double>(members);
  });
  wire::member_update update{.full = true};
  for (const auto& [name, session] : state.leadership->sessions) {
    if (session.info.role == wire::member_role::kAgent) {
      update.changed.push_back(session.info);
    }
  }
  ReportSize("full list of members for an entry" + suffix,
             static_cast<double>(wire::Encode(update).size()), "bytes");
}

}  // namespace
}  // namespace wisteriaroute::control

int main() {
  using namespace wisteriaroute::control;
  BenchClaims();
  for (const std::size_t count : {10'000, 100'000, 300'000}) {
    BenchClaimMemory(count);
  }
  for (const std::size_t count : {10, 1'000, 9'900}) {
    BenchConfig(count);
  }
  for (const std::size_t count : {300, 1'000, 2'700}) {
    BenchSessions(count);
  }
}
