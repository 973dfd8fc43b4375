#include <doctest/doctest.h>
#include <signal.h>

#include <map>
#include <string>

#include "tests/process/control_process_harness.h"

namespace wisteriaroute::testing {
namespace {

constexpr base::time_us kLeaderChangeUs = 3'000'000;
constexpr base::time_us kSecond = 1'000'000;

bool Accepted(const std::optional<wire::admin_reply>& reply) {
  return reply && reply->result == wire::admin_result::kOk;
}

/** Returns the replica's part of the status; null if it isn't listed. */
nlohmann::json ReplicaStatus(const nlohmann::json& status,
                             std::size_t replica) {
  if (status.contains("replicas")) {
    for (const auto& item : status["replicas"]) {
      if (item["name"] == "control-" + std::to_string(replica)) {
        return item;
      }
    }
  }
  return nullptr;
}

/** Whether `replica` is a voter that holds the whole log. */
bool IsCaughtUpVoter(control_harness& control, std::size_t replica) {
  const nlohmann::json status = control.CallJson(wire::get_status{});
  const nlohmann::json view = ReplicaStatus(status, replica);
  return !view.is_null() && view["voter"] && view["silent_ms"] < 500 &&
         view["match_index"] >= status["log_index"];
}

std::uint64_t Identity(control_harness& control, std::size_t replica) {
  const nlohmann::json view =
      ReplicaStatus(control.CallJson(wire::get_status{}), replica);
  return view.is_null() ? 0 : view["identity"].get<std::uint64_t>();
}

TEST_CASE("a member gets a lease and every accepted configuration") {
  control_harness control;
  control_harness::member_view& entry =
      control.AddMember("entry-1", wire::member_role::kEntry);
  REQUIRE(control.RunUntil(
      [&] { return entry.lease_until_us > base::MonotonicUs(); }));
  const base::time_us begin = base::MonotonicUs();
  REQUIRE(Accepted(control.Call(control.MakeRegionRequest(0, "north"))));
  REQUIRE(control.RunUntil([&] { return entry.revision == 1; }));
  MESSAGE("published to applied by a member, us: " << base::MonotonicUs() -
                                                          begin);

  SUBCASE("the status reports when a revision is in force everywhere") {
    REQUIRE(control.Eventually(
        [&] { return control.CallJson(wire::get_status{})["in_force"] == 1; },
        5'000'000));
    // A new leader reports no revision in force until leases of earlier terms
    // have expired. That time is over now, so this measures the publication
    // alone.
    const base::time_us start = base::MonotonicUs();
    REQUIRE(Accepted(control.Call(control.MakeRegionRequest(1, "south"))));
    REQUIRE(control.Eventually(
        [&] { return control.CallJson(wire::get_status{})["in_force"] == 2; },
        1'000'000));
    MESSAGE("published to in force everywhere, us: " << base::MonotonicUs() -
                                                            start);
  }

  SUBCASE("it keeps its lease when the leader is stopped with SIGTERM") {
    const std::size_t leader = control.Leader().value();
    CHECK(control.SignalAndWait(leader, SIGTERM) == 0);
    bool lost = false;
    control.RunUntil(
        [&] {
          lost = lost || entry.lease_until_us < base::MonotonicUs();
          return false;
        },
        kLeaderChangeUs);
    CHECK_FALSE(lost);
    CHECK(control.Leader().value() != leader);
  }
}

TEST_CASE("a killed leader is replaced and no accepted change is lost") {
  control_harness control;
  const std::size_t leader = control.Leader().value();
  REQUIRE(Accepted(control.Call(control.MakeRegionRequest(0, "north"))));
  control.SignalAndWait(leader, SIGKILL);
  const base::time_us begin = base::MonotonicUs();
  const auto next = control.Leader();
  const base::time_us taken = base::MonotonicUs() - begin;
  REQUIRE(next);
  MESSAGE("new leader after us: " << taken);
  CHECK(*next != leader);
  CHECK(taken < kLeaderChangeUs);

  SUBCASE("a resend gets the first result and a new request is accepted") {
    const auto resend = control.Call(control.MakeRegionRequest(0, "north"));
    REQUIRE(Accepted(resend));
    CHECK(nlohmann::json::parse(resend->json)["revision"] == 1);
    CHECK(Accepted(control.Call(control.MakeRegionRequest(1, "south"))));
    CHECK(control.CallJson(wire::get_config{})["objects"].size() == 2);
  }
  SUBCASE("the old leader rejoins after a restart") {
    control.Start(leader);
    CHECK(control.Eventually([&] { return IsCaughtUpVoter(control, leader); }));
  }
}

TEST_CASE("a replica that lost its disk rejoins as a voter") {
  control_harness control;
  const std::size_t leader = control.Leader().value();
  std::uint64_t revision = 0;
  // More entries than the snapshot interval, so the start of the log has been
  // truncated.
  for (; revision < 300; ++revision) {
    REQUIRE(Accepted(control.Call(
        control.MakeRegionRequest(revision, "r" + std::to_string(revision)))));
  }
  const std::size_t wiped = (leader + 1) % 3;
  const std::size_t other = (leader + 2) % 3;
  const std::uint64_t before = Identity(control, wiped);
  REQUIRE(before != 0);
  control.SignalAndWait(wiped, SIGKILL);
  control.WipeDisk(wiped);
  control.Start(wiped);
  // For half a second the leader's status still shows what the replica had
  // acknowledged with its old data directory.
  REQUIRE(control.Eventually([&] {
    return IsCaughtUpVoter(control, wiped) &&
           Identity(control, wiped) != before;
  }));

  SUBCASE("the others may fail right after, one at a time") {
    control.SignalAndWait(other, SIGKILL);
    const auto reply =
        control.Call(control.MakeRegionRequest(revision, "after-repair"));
    const std::string answer = reply ? reply->code + reply->message : "none";
    CAPTURE(answer);
    REQUIRE(Accepted(reply));
    control.SignalAndWait(leader, SIGKILL);
    control.Start(other);
    const auto config = control.CallJson(wire::get_config{});
    REQUIRE(config.contains("revision"));
    CHECK(config["revision"] == revision + 1);
    CHECK(config["objects"].size() == revision + 1);
  }
}

TEST_CASE("restarted replicas don't replay documents that were replaced") {
  constexpr std::uint64_t kDocuments = 60;
  constexpr std::size_t kDocumentBytes = 300'000;
  // A snapshot, the log after it and the entries kept for replicas that lag.
  constexpr std::uintmax_t kBound = 44 * kDocumentBytes;
  control_harness control;
  for (std::uint64_t version = 1; version <= kDocuments; ++version) {
    REQUIRE(Accepted(control.Call(wire::publish_document{
        version, "version = " + std::to_string(version) + "\n# " +
                     std::string(kDocumentBytes, 'x') + "\n"})));
  }
  const auto term = control.CallJson(wire::get_status{})["term"];
  for (std::size_t replica = 0; replica < 3; ++replica) {
    control.SignalAndWait(replica, SIGKILL);
    CHECK(control.DataBytes(replica) < kBound);
  }
  for (std::size_t replica = 0; replica < 3; ++replica) {
    control.Start(replica);
  }
  const base::time_us begin = base::MonotonicUs();
  control_harness::member_view& entry =
      control.AddMember("entry-1", wire::member_role::kEntry);
  REQUIRE(control.RunUntil([&] {
    return entry.revision == kDocuments &&
           entry.lease_until_us > base::MonotonicUs();
  }));
  MESSAGE("started to served by a member, us: " << base::MonotonicUs() - begin);
  const auto status = control.CallJson(wire::get_status{});
  REQUIRE(status.contains("term"));
  CHECK(status["term"] == term.get<std::uint64_t>() + 1);
}

TEST_CASE("a paused leader that resumes changes nothing") {
  control_harness control;
  control_harness::member_view& entry =
      control.AddMember("entry-1", wire::member_role::kEntry);
  REQUIRE(control.RunUntil(
      [&] { return entry.lease_until_us > base::MonotonicUs(); }));
  const std::size_t old = control.Leader().value();
  control.Signal(old, SIGSTOP);
  // The paused leader finds these in its sockets when it resumes.
  const std::uint64_t late =
      control.Send(old, control.MakeRegionRequest(0, "late"));
  const std::uint64_t status = control.Send(old, wire::get_status{});
  const auto next = control.Leader();
  REQUIRE(next);
  CHECK(*next != old);
  REQUIRE(Accepted(control.Call(control.MakeRegionRequest(0, "north"))));
  REQUIRE(control.RunUntil([&] {
    return entry.revision == 1 && entry.lease_until_us > base::MonotonicUs();
  }));
  control.Signal(old, SIGCONT);
  control.RunFor(2'000'000);
  for (const std::uint64_t request : {late, status}) {
    const auto reply = control.replies.find(request);
    CHECK((reply == control.replies.end() ||
           reply->second.result != wire::admin_result::kOk));
  }
  const auto config = control.CallJson(wire::get_config{});
  REQUIRE(config.contains("objects"));
  CHECK(config["revision"] == 1);
  REQUIRE(config["objects"].size() == 1);
  CHECK(config["objects"][0]["name"] == "north");
  CHECK(entry.revision == 1);
  CHECK(control.Eventually([&] { return IsCaughtUpVoter(control, old); }));
}

/** The voters' identities by name. */
std::map<std::string, std::uint64_t> Voters(control_harness& control) {
  std::map<std::string, std::uint64_t> voters;
  const nlohmann::json status = control.CallJson(wire::get_status{});
  if (!status.contains("replicas")) {
    return voters;
  }
  for (const auto& one : status["replicas"]) {
    if (one["voter"] == true) {
      voters[one["name"]] = one["identity"];
    }
  }
  return voters;
}

// Guards against the report of other operators: after the disks of control's
// hosts had been full one after another, changes were refused for good. Here a
// replica ended itself at each failed write.
TEST_CASE("the disks of control are full one after another") {
  control_harness control;
  REQUIRE(control.Leader());
  std::map<std::string, std::uint64_t> voters;
  REQUIRE(control.Eventually([&] {
    voters = Voters(control);
    return voters.size() == 3;
  }));
  std::uint64_t revision = 0;
  const auto publish = [&] {
    const auto reply = control.Call(
        control.MakeRegionRequest(revision, "r" + std::to_string(revision)));
    CAPTURE(revision);
    REQUIRE(reply);
    REQUIRE(reply->result == wire::admin_result::kOk);
    ++revision;
  };
  for (int round = 0; round < 2; ++round) {
    for (std::size_t full = 0; full < 3; ++full) {
      CAPTURE(round);
      CAPTURE(full);
      // The first one is the leader, which has to step down.
      const std::size_t replica = full == 0 ? *control.Leader() : full;
      control.SetDiskFull(replica, true);
      for (int i = 0; i < 20; ++i) {
        publish();
        control.RunFor(kSecond / 10);
      }
      CHECK(control.Leader() != replica);
      CHECK(Voters(control) == voters);
      control.SetDiskFull(replica, false);
      publish();
      control.RunFor(kSecond);
    }
  }
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(control.IsAlive(i));
  }
  CHECK(Voters(control) == voters);
  CHECK(control.CallJson(wire::get_config{})["revision"] == revision);
  // Each replica votes again: control bears the loss of any other one.
  control.SignalAndWait(*control.Leader(), SIGKILL);
  publish();
}

}  // namespace
}  // namespace wisteriaroute::testing
