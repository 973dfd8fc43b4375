#include "libwisteriaroute/control/control_state.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

namespace wisteriaroute::control {
namespace {

using wire::claim_result;

constexpr base::time_ms kHourMs = 3'600'000;
constexpr base::time_ms kStartMs = 1'000'000'000;

base::digest128 Digest(std::uint64_t number) {
  return {.high = 7, .low = number};
}

wire::claim_request Request(std::uint64_t key,
                            std::uint64_t attempt,
                            base::time_ms created_ms = 0) {
  return {.workspace = "w",
          .key_digest = Digest(key),
          .body_digest = Digest(100 + key),
          .key_created_ms = created_ms,
          .target = {.attempt = Digest(attempt), .agent = "a"}};
}

wire::claim_outcome Outcome(std::uint64_t key,
                            std::uint64_t attempt,
                            wire::outcome ran) {
  return {.workspace = "w",
          .key_digest = Digest(key),
          .attempt = Digest(attempt),
          .response = {.ran = ran, .status = 201, .body = "booked"}};
}

TEST_CASE("a key is granted to one attempt") {
  claim_table table;
  const claim_limits limits{.retention_ms = kHourMs, .max_undated_keys = 2};
  REQUIRE(Claim(table, Request(1, 10), limits, kStartMs).result ==
          claim_result::kGranted);

  SUBCASE("a repeated request of the same attempt is granted again") {
    CHECK(Claim(table, Request(1, 10), limits, kStartMs).result ==
          claim_result::kGranted);
  }
  SUBCASE("another attempt receives the holder of the key") {
    const claim_decision decision =
        Claim(table, Request(1, 11), limits, kStartMs);
    CHECK(decision.result == claim_result::kHeld);
    CHECK(decision.holder.attempt == Digest(10));
  }
  SUBCASE("a request with another body is refused") {
    wire::claim_request other = Request(1, 11);
    other.body_digest = Digest(5);
    CHECK(Claim(table, other, limits, kStartMs).result ==
          claim_result::kBodyMismatch);
  }
  SUBCASE("only the attempt that holds the key can move it") {
    const wire::claim_move move{.workspace = "w",
                                .key_digest = Digest(1),
                                .from_attempt = Digest(10),
                                .to = {.attempt = Digest(12), .agent = "b"}};
    CHECK(Move(table, move).result == claim_result::kGranted);
    CHECK(Move(table, move).result == claim_result::kGranted);
    wire::claim_move late = move;
    late.to.attempt = Digest(13);
    CHECK(Move(table, late).holder.attempt == Digest(12));
    CHECK(RecordOutcome(table, Outcome(1, 10, wire::outcome::kRan)).result ==
          claim_result::kHeld);
  }
  SUBCASE("every resend receives the recorded response") {
    CHECK(RecordOutcome(table, Outcome(1, 10, wire::outcome::kRan)).result ==
          claim_result::kGranted);
    const claim_decision decision =
        Claim(table, Request(1, 14), limits, kStartMs);
    CHECK(decision.result == claim_result::kRecorded);
    CHECK(decision.response.body == "booked");
  }
  SUBCASE("an unknown outcome can become kRan, but never kNotRun") {
    RecordOutcome(table, Outcome(1, 10, wire::outcome::kUnknown));
    RecordOutcome(table, Outcome(1, 10, wire::outcome::kNotRun));
    CHECK(Claim(table, Request(1, 14), limits, kStartMs).response.ran ==
          wire::outcome::kUnknown);
    RecordOutcome(table, Outcome(1, 10, wire::outcome::kRan));
    CHECK(Claim(table, Request(1, 14), limits, kStartMs).response.ran ==
          wire::outcome::kRan);
  }
  SUBCASE("a call that certainly didn't run releases the key") {
    RecordOutcome(table, Outcome(1, 10, wire::outcome::kNotRun));
    CHECK(Claim(table, Request(1, 14), limits, kStartMs).result ==
          claim_result::kGranted);
  }
  SUBCASE("the workspace's key limit applies to undated keys only") {
    Claim(table, Request(2, 20), limits, kStartMs);
    CHECK(Claim(table, Request(3, 30), limits, kStartMs).result ==
          claim_result::kKeyLimit);
    CHECK(Claim(table, Request(4, 40, kStartMs), limits, kStartMs).result ==
          claim_result::kGranted);
  }
}

TEST_CASE("a key is never granted again after its claim has expired") {
  claim_table table;
  claim_limits limits{.retention_ms = kHourMs, .max_undated_keys = 2};
  Claim(table, Request(1, 10, kStartMs), limits, kStartMs);
  Claim(table, Request(2, 20), limits, kStartMs);
  RecordOutcome(table, Outcome(2, 20, wire::outcome::kRan));
  const base::time_ms later = kStartMs + kHourMs + 1;
  ExpireClaims(table, kHourMs, later);
  REQUIRE(ClaimCount(table) == 0);

  SUBCASE("a dated key is refused, even if the retention was raised since") {
    limits.retention_ms = 100 * kHourMs;
    CHECK(Claim(table, Request(1, 11, kStartMs), limits, later).result ==
          claim_result::kKeyExpired);
  }
  SUBCASE("an undated key keeps its outcome and counts towards the limit") {
    const claim_decision decision = Claim(table, Request(2, 21), limits, later);
    CHECK(decision.result == claim_result::kRecorded);
    CHECK(decision.response.ran == wire::outcome::kRan);
    CHECK(decision.response.body_dropped);
    Claim(table, Request(3, 30), limits, later);
    CHECK(Claim(table, Request(4, 40), limits, later).result ==
          claim_result::kKeyLimit);
  }
  SUBCASE("a key created too far in the future is refused") {
    CHECK(
        Claim(table, Request(5, 50, later + kMaxKeyAheadMs + 1), limits, later)
            .result == claim_result::kKeyExpired);
  }
}

publish_command Publication(const config_history& history,
                            std::uint64_t base,
                            std::string operation,
                            std::string body) {
  publish_command command{
      .base_revision = base,
      .operation_id = std::move(operation),
      .content_digest = base::Digest128(body),
      .validated = true,
      .changed = {{.kind = "region", .name = "r", .body = body}}};
  command.result_digest =
      DigestAfter(history, command.changed, command.removed);
  return command;
}

TEST_CASE("publishing is a compare-and-set on the revision") {
  config_history history;
  const publish_command first = Publication(history, 0, "op-1", "1");
  REQUIRE(Publish(history, first, 0).revision == 1);
  REQUIRE(Publish(history, Publication(history, 1, "op-2", "2"), 0).revision ==
          2);

  SUBCASE("a resend gets the original reply and changes nothing") {
    const publish_result again = Publish(history, first, 0);
    CHECK(again.revision == 1);
    CHECK(again.repeated);
    CHECK(history.revision == 2);
  }
  SUBCASE("an operation id can't be used for other content") {
    publish_command other = Publication(history, 2, "op-1", "3");
    CHECK(Publish(history, other, 0).code == publish_code::kOperationReused);
  }
  SUBCASE("a stale base revision is refused") {
    CHECK(Publish(history, Publication(history, 1, "op-3", "3"), 0).code ==
          publish_code::kStaleBase);
  }
  SUBCASE("a set other than the validated one is refused") {
    publish_command other = Publication(history, 2, "op-3", "3");
    other.changed[0].body = "4";
    CHECK(Publish(history, other, 0).code == publish_code::kDigestMismatch);
    CHECK(history.revision == 2);
  }
  SUBCASE("members get a delta from a kept revision, otherwise the full set") {
    CHECK(UpdateSince(history, 1).base_revision == 1);
    CHECK(UpdateSince(history, 0).base_revision == 0);
    for (std::uint64_t i = 2; i < 2 + kKeptDeltas; ++i) {
      Publish(
          history,
          Publication(history, i, "n" + std::to_string(i), std::to_string(i)),
          0);
    }
    CHECK(history.deltas.size() == kKeptDeltas);
    CHECK(UpdateSince(history, 1).base_revision == 0);
    CHECK(UpdateSince(history, 2).base_revision == 2);
    CHECK(UpdateSince(history, 2).changed.size() == 1);
  }
}

TEST_CASE("the only known suspect in a second crash is quarantined") {
  quarantine_table table;
  const auto report = [&](std::uint64_t incarnation,
                          std::vector<base::digest128> running) {
    return ReportSuspects(table,
                          {.agent = "a",
                           .backend_incarnation = incarnation,
                           .running = std::move(running)},
                          0);
  };
  report(1, {Digest(1), Digest(2)});
  REQUIRE(table.entries.size() == 2);

  SUBCASE("a repeated report counts once") {
    CHECK(report(1, {Digest(1), Digest(2)}).empty());
    CHECK(table.entries[Digest(1)].crashes == 1);
  }
  SUBCASE("whatever else was running") {
    report(2, {Digest(1), Digest(9)});
    CHECK(table.entries[Digest(1)].state ==
          wire::quarantine_state::kQuarantined);
    CHECK_FALSE(table.entries.contains(Digest(9)));
    CHECK(ClearSuspect(table, Digest(1)).empty());
    CHECK(Release(table, Digest(1)).size() == 1);
  }
  SUBCASE("two suspects that run together are not quarantined") {
    report(2, {Digest(1), Digest(2)});
    CHECK(table.entries[Digest(1)].state == wire::quarantine_state::kSuspect);
  }
  SUBCASE("a suspect that completes is cleared") {
    CHECK(ClearSuspect(table, Digest(2)).size() == 1);
    CHECK(table.entries.size() == 1);
  }
}

// Each entry sees only its own requests at the server that crashed.
TEST_CASE("entries together find the part that crashes servers") {
  quarantine_table table;
  const base::digest128 bad = Digest(100);
  std::uint64_t next_request = 1'000;
  const auto suspect = [&](std::vector<wire::suspect_part> parts) {
    return wire::suspect_request{Digest(next_request++), std::move(parts)};
  };
  const auto report = [&](std::uint64_t crash, base::time_ms at_ms,
                          std::vector<wire::suspect_request> suspects) {
    return ReportCrashes(
        table, {{{.id = Digest(crash), .age_ms = 50, .suspects = suspects}}},
        at_ms);
  };
  const auto state_of = [&](const base::digest128& fingerprint) {
    const auto found = table.entries.find(fingerprint);
    return found == table.entries.end() ? std::nullopt
                                        : std::optional(found->second.state);
  };
  using enum wire::quarantine_state;
  CHECK(report(1, 10'000, {suspect({{Digest(5)}})}).size() == 1);
  CHECK(report(1, 10'020, {suspect({{bad}})}).size() == 1);
  CHECK(table.crashes.size() == 1);
  CHECK(state_of(bad) == kSuspect);

  SUBCASE("a report that is sent again changes nothing") {
    const auto again = suspect({{bad}});
    report(1, 10'100, {again});
    const quarantine_table before = table;
    CHECK(report(1, 10'900, {again}).empty());
    CHECK(table == before);
  }
  SUBCASE("at the second crash, and only that part") {
    report(2, 14'000, {suspect({{bad}}), suspect({{Digest(6)}})});
    CHECK(state_of(bad) == kQuarantined);
    CHECK(state_of(Digest(5)) == kSuspect);
    SUBCASE("for a time that grows with further crashes") {
      CHECK(ExpireSuspects(table, 14'000 + kQuarantineMs).empty());
      ExpireSuspects(table, 14'001 + kQuarantineMs);
      REQUIRE(state_of(bad) == kSuspect);
      const base::time_ms at_ms = 20'000 + kQuarantineMs;
      report(3, at_ms, {suspect({{Digest(7)}})});
      CHECK(state_of(bad) == kSuspect);
      report(4, at_ms, {suspect({{bad}})});
      CHECK(state_of(bad) == kQuarantined);
      ExpireSuspects(table, at_ms + 1 + kQuarantineMs);
      CHECK(state_of(bad) == kQuarantined);
      ExpireSuspects(table, at_ms + 1 + 2 * kQuarantineMs);
      CHECK(state_of(bad) == kSuspect);
    }
    SUBCASE("and it is released if it is answered after all") {
      CHECK(NoteAnswers(table, {{{bad, 10}}}, 14'500).size() == 1);
      CHECK_FALSE(state_of(bad));
    }
    SUBCASE("but an answer from before the crashes doesn't release it") {
      CHECK(NoteAnswers(table, {{{bad, 9'000}}}, 14'500).empty());
      CHECK(state_of(bad) == kQuarantined);
    }
    SUBCASE("and it may be released by an operator") {
      CHECK(Release(table, bad).size() == 1);
    }
  }
  SUBCASE("but a part that another entry has seen answered needs more") {
    NoteAnswers(table, {{{bad, 5'000}}}, 10'100);
    report(2, 14'000, {suspect({{bad}})});
    report(3, 18'000, {suspect({{bad}})});
    CHECK(state_of(bad) == kSuspect);
    report(4, 22'000, {suspect({{bad}})});
    CHECK(state_of(bad) == kQuarantined);
  }
  SUBCASE("but not if the part was answered between the crashes") {
    NoteAnswers(table, {{{bad, 0}}}, 12'000);
    report(2, 14'000, {suspect({{bad}})});
    CHECK(state_of(bad) == kSuspect);
  }
  SUBCASE("and the table stays bounded while all servers crash") {
    for (std::uint64_t i = 0; i < 2'000; ++i) {
      report(100'000 + i, 20'000 + static_cast<base::time_ms>(i) * 2'000,
             {suspect({{Digest(200'000 + i)}, {Digest(300'000 + i)}})});
    }
    CHECK(table.entries.size() <= kMaxQuarantineEntries);
    CHECK(table.crashes.size() <= kMaxCrashes);
    ExpireSuspects(table, 100'000'000);
    CHECK(table.entries.empty());
    CHECK(table.crashes.empty());
  }
}

TEST_CASE("the log time never decreases") {
  control_state state;
  Apply(state, {.wall_ms = 50, .body = clock_tick{}}, 1);
  Apply(state, {.wall_ms = 40, .body = clock_tick{}}, 2);
  CHECK(state.time_ms == 50);
}

TEST_CASE("a map change is armed only for later steps and decided once") {
  group_table table;
  const wire::expert_map map{.experts = 1, .ranks = 1, .slots = {0}};
  REQUIRE(ApplyGroup(table, form_group_command{"g", 1, {{"a", 1}}, map}, 1));
  REQUIRE(ApplyGroup(table, stage_map_command{"g", 1, map}, 2));
  const std::uint64_t epoch = table.groups["g"].change->epoch;
  CHECK_FALSE(ApplyGroup(table, decide_map_command{"g", 1, epoch, 0, true}, 3));
  REQUIRE(ApplyGroup(table, arm_map_command{"g", 1, epoch, 10}, 3));
  CHECK_FALSE(ApplyGroup(table, arm_map_command{"g", 1, epoch, 20}, 4));
  CHECK_FALSE(ApplyGroup(table, decide_map_command{"g", 1, epoch, 9, true}, 4));
  REQUIRE(
      ApplyGroup(table, decide_map_command{"g", 1, epoch, 10, false, true}, 4));
  CHECK_FALSE(ApplyGroup(table, arm_map_command{"g", 1, epoch, 10}, 5));
  REQUIRE(ApplyGroup(table, arm_map_command{"g", 1, epoch, 20}, 5));
  REQUIRE(ApplyGroup(table, decide_map_command{"g", 1, epoch, 20, true}, 6));
  CHECK(table.groups["g"].epoch == epoch);
  CHECK_FALSE(ApplyGroup(table, form_group_command{"g", 1, {{"a", 2}}, {}}, 7));
}

// Generates commands with few distinct keys, names and base revisions, so that
// they affect one another.
class command_source {
 public:
  explicit command_source(std::uint64_t seed) : random_(seed) {}

  command Next(const control_state& state) {
    time_ms_ += static_cast<base::time_ms>(Pick(kHourMs / 4));
    return {.wall_ms = time_ms_ - static_cast<base::time_ms>(Pick(100)),
            .proposer = Pick(3),
            .proposal = Pick(100),
            .body = Body(state)};
  }

 private:
  std::uint64_t Pick(std::uint64_t count) { return random_() % count; }

  command_body Body(const control_state& state) {
    switch (Pick(14)) {
      case 13:
        return departure_command{"i" + std::to_string(Pick(5)), Pick(3)};
      case 12:
        return wire::evacuation_order{"dc" + std::to_string(Pick(3)),
                                      Pick(2) == 0};
      case 10:
        return wire::crash_reports{
            {{.id = Digest(Pick(30)),
              .age_ms = static_cast<std::int64_t>(Pick(1'000)),
              .suspects = {{Digest(Pick(60)), {{Digest(Pick(5))}}}}}}};
      case 11:
        return wire::answers_begun{{{Digest(Pick(5)), 10}}};
      case 0:
        return clock_tick{kHourMs};
      case 1:
        return Publication(state.config, state.config.revision - Pick(2),
                           "op" + std::to_string(Pick(8)),
                           std::to_string(Pick(4)));
      case 2:
        return wire::claim_move{.workspace = "w",
                                .key_digest = Digest(Pick(8)),
                                .from_attempt = Digest(Pick(20)),
                                .to = {.attempt = Digest(Pick(20))}};
      case 3:
        return Outcome(Pick(8), Pick(20), static_cast<wire::outcome>(Pick(3)));
      case 4:
        return wire::drain_request{"a" + std::to_string(Pick(3)), Pick(2) == 0};
      case 5:
        return wire::suspect_report{
            .agent = "a",
            .backend_incarnation = Pick(20),
            .running = {Digest(Pick(5)), Digest(Pick(5))}};
      case 6:
        return wire::suspect_cleared{Digest(Pick(5))};
      case 7:
        return GroupBody();
      default:
        return claim_command{
            .request = Request(Pick(8), Pick(20),
                               Pick(2) * static_cast<std::uint64_t>(time_ms_)),
            .limits = {.retention_ms = kHourMs, .max_undated_keys = 6}};
    }
  }

  command_body GroupBody() {
    const wire::expert_map map{.experts = 2, .ranks = 1, .slots = {1, 0}};
    switch (Pick(4)) {
      case 0:
        return form_group_command{"g", 1 + Pick(4), {{"a", Pick(9)}}, map};
      case 1:
        return stage_map_command{"g", 1 + Pick(4), map};
      case 2:
        return arm_map_command{"g", 1 + Pick(4), 1 + Pick(6), Pick(50)};
      default:
        return decide_map_command{"g",      1 + Pick(4),  1 + Pick(6),
                                  Pick(50), Pick(2) == 0, Pick(2) == 0};
    }
  }

  std::mt19937_64 random_;
  base::time_ms time_ms_ = kStartMs;
};

TEST_CASE("a replica that starts from a snapshot reaches the same state") {
  CHECK(rc::check("log equals snapshot and rest of the log", [] {
    command_source source(*rc::gen::arbitrary<std::uint64_t>());
    control_state original;
    control_state restored;
    for (std::uint64_t index = 1; index <= 400; ++index) {
      const command next = source.Next(original);
      const command decoded = DecodeCommand(EncodeCommand(next));
      RC_ASSERT(decoded == next);
      if (index % 50 == 0) {
        const std::string snapshot = EncodeState(original);
        restored = DecodeState(snapshot);
        RC_ASSERT(restored == original);
        RC_ASSERT(EncodeState(restored) == snapshot);
      }
      RC_ASSERT(Apply(original, next, index) ==
                Apply(restored, decoded, index));
    }
    RC_ASSERT(restored == original);
  }));
}

TEST_CASE("damaged commands and snapshots are refused") {
  CHECK_THROWS_AS(DecodeCommand("12345678"), wire::malformed_message);
  CHECK_THROWS_AS(DecodeCommand("123"), wire::malformed_message);
  CHECK_THROWS_AS(DecodeState(""), wire::malformed_message);
}

}  // namespace
}  // namespace wisteriaroute::control
