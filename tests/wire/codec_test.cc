#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "libwisteriaroute/wire/control_messages.h"
#include "libwisteriaroute/wire/work_messages.h"

namespace wisteriaroute::wire {
namespace {

const attempt_id kAttempt{.high = 1, .low = 2};
const base::digest128 kDigest{.high = 3, .low = 4};
const claim_target kTarget{kAttempt, "agent-1", 7, 8};
const recorded_response kResponse{outcome::kRan,
                                  201,
                                  {{"content-type", "text/plain"}},
                                  "body",
                                  true};
const member_info kMember{
    "agent-1", member_role::kAgent,
    5,         "127.0.0.1:1",
    "r",       "r-a",
    true,      backend_info{"plain", "orders", "", 3, 9, 10, true, {"m"}}};

std::vector<work_message> WorkSamples() {
  return {submit{.attempt = kAttempt,
                 .request_id = "r1",
                 .kind = work_kind::kChatCompletion,
                 .backend_incarnation = 3,
                 .window = 4,
                 .claimed = true,
                 .priority = 2,
                 .deadline_ms = 500,
                 .workspace = "w",
                 .model = "m",
                 .adapter = "a",
                 .method = "POST",
                 .target = "/x?y=1",
                 .headers = {{"name", std::string("v\0x", 3)}},
                 .body = "{}",
                 .resume_offset = 6,
                 .resume_text = "text",
                 .fingerprint = kDigest,
                 .isolated = true},
          cancel{kAttempt},
          query{kAttempt, 5, 6},
          attach{kAttempt, 7},
          ack{kAttempt, 8},
          attempt_status{kAttempt, attempt_phase::kFailed},
          head{kAttempt, 200, {{"a", "b"}}},
          chunk{kAttempt, 9, 1, std::string("\xff\0z", 3)},
          finish{kAttempt, 10, "stop", 1, 2, 3},
          refused{kAttempt, refusal_reason::kSuspectRuns, 100},
          failed{kAttempt,
                 failure_reason::kTimeout,
                 outcome::kRan,
                 {kDigest, kAttempt}},
          load_report{1, 2, 3, 4, 5, 6, 7, 8},
          cache_hint{1, {2, 3}, {4}, true},
          agent_state{"a", 1, 2, true, true, true, {"m1", "m2"}}};
}

std::vector<control_message> ControlSamples() {
  const order sample_order{
      1,   {2, 3}, order_kind::kFormGroup,        "g", 4, 5, 6, true,
      "n", "v",    expert_map{2, 2, 1, 1, {0, 1}}};
  return {
      session_hello{kMember, 4},
      session_heartbeat{1, 2, true},
      session_ack{1, {2, 3}, 2'500, 4},
      session_goodbye{},
      not_leader{"c1", "127.0.0.1:2"},
      config_update{1, 2, {{"region", "r", "{}"}}, {{"region", "q"}}},
      member_update{true,
                    {kMember},
                    {"gone"},
                    {"drained"},
                    {7, {"east", "west"}, {{"north", 6, 900}}},
                    {5, 6}},
      member_update{.changed = {{.name = "warm", .cold_left_ms = 0},
                                {.name = "cold", .cold_left_ms = 1'200},
                                {.name = "silent"}}},
      quarantine_update{
          true,
          {{kDigest, quarantine_state::kQuarantined, 2, 99, true}},
          {kAttempt}},
      claim_request{1, "w", kDigest, kAttempt, 123, kTarget},
      claim_move{1, "w", kDigest, kAttempt, kTarget},
      claim_outcome{1, "w", kDigest, kAttempt, kResponse},
      claim_reply{1, claim_result::kRecorded, kTarget, kResponse},
      suspect_report{"a", 1, {kDigest}},
      suspect_cleared{kDigest},
      crash_reports{
          {{kDigest, 7, {{kAttempt, {{kDigest, true}, {kAttempt}}}, {kDigest}}},
           {kAttempt}}},
      answers_begun{{{kDigest, 8}, {kAttempt}}},
      server_crash{"s", 1'764'871'175'000},
      sample_order,
      order_result{1, {2, 3}, order_status::kTooLate, 4, "late"},
      group_report{"g", 1, 2, 3, 4, 5, 6, 7, {8, 9}},
      rank_status{.service = "model",
                  .group = "g",
                  .formation = 1,
                  .rank = 2,
                  .ranks = 3,
                  .group_running = true,
                  .step = 4,
                  .expert_tokens = {0, 127, 128, 70'000, 4'294'967'295},
                  .first_count_step = 3,
                  .last_count_step = 4,
                  .experts = {{1, 2}, {}},
                  .term = 5,
                  .server = "10.0.0.1:80",
                  .pace_permille = 1'500,
                  .placement_version = 6},
      rank_order{.kind = rank_order_kind::kPrepare,
                 .term = 1,
                 .formation = 2,
                 .version = 3,
                 .step = 4,
                 .placement = {{{1, 300}, {}}, {{65'535}, {2}}}},
      rank_order{.kind = rank_order_kind::kPrepare,
                 .version = 3,
                 .base_version = 2,
                 .edits = {{.set = 1, .rank = 2, .removed = {300}},
                           {.set = 3, .rank = 0, .added = {1, 65'535}}},
                 .placement_digest = 7},
      rank_presence{"model", "g", 1, 2, 3, true},
      coordinator_grant{"g", 1, "n", "10.0.0.1:1", 6,
                        placement_shape{1, 2, 3, 4, 5}},
      coordinator_grant{.group = "g"}};
}

std::vector<admin_call> AdminSamples() {
  return {publish_request{1, "op", {{"region", "r", "{}"}}, {{"a", "b"}}, true},
          get_config{},
          get_status{},
          get_history{},
          drain_request{"a", false},
          get_groups{},
          get_quarantine{},
          release_quarantine{kDigest},
          get_members{},
          add_replica{"c4", "127.0.0.1:3"},
          remove_replica{"c1"},
          rebalance_request{"g"},
          evacuation_order{"east", true},
          evacuation_order{"west", false}};
}

TEST_CASE("messages are unchanged after encoding and decoding") {
  SUBCASE("in the work protocol") {
    for (const work_message& message : WorkSamples()) {
      CAPTURE(message.index());
      CHECK(DecodeWork(Encode(message)) == message);
    }
  }
  SUBCASE("in the control protocol") {
    for (const control_message& message : ControlSamples()) {
      CAPTURE(message.index());
      // Administrative messages have no operator== and are checked below.
      CHECK(Encode(DecodeControl(Encode(message))) == Encode(message));
    }
  }
  SUBCASE("in requests of operators") {
    for (const admin_call& call : AdminSamples()) {
      CAPTURE(call.index());
      const auto decoded = std::get<admin_request>(
          DecodeControl(Encode(control_message(admin_request{7, call}))));
      CHECK(decoded.correlation == 7);
      CHECK(decoded.call.index() == call.index());
      CHECK(Encode(control_message(decoded)) ==
            Encode(control_message(admin_request{7, call})));
    }
  }
}

TEST_CASE("undecodable bytes throw malformed_message") {
  // Guards against crashes and hangs on damaged or hostile frames.
  CHECK_THROWS_AS(DecodeWork(""), malformed_message);
  CHECK_THROWS_AS(DecodeControl("12345678"), malformed_message);
  CHECK(rc::check("damaged messages decode or throw malformed_message", [] {
    const auto samples = WorkSamples();
    const auto index = *rc::gen::inRange<std::size_t>(0, samples.size());
    std::string bytes = Encode(samples[index]);
    const int changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes; ++i) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
          static_cast<char>(*rc::gen::inRange(0, 256));
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    try {
      (void)DecodeWork(bytes);
    } catch (const malformed_message&) {
      RC_SUCCEED("refused");
    }
  }));
}

}  // namespace
}  // namespace wisteriaroute::wire
