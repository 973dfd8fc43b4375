#include "libwisteriaroute/control/server_reports.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "libwisteriaroute/control/replica_membership.h"

namespace wisteriaroute::control {
namespace {

constexpr net::link_id kEntryLink = 5;
constexpr step_time kNow{.now_us = 50'000'000};

wire::report_server Report(std::uint64_t incarnation,
                           std::uint64_t sequence,
                           bool leaving = false) {
  return {.info = {.name = "i-1",
                   .role = wire::member_role::kServer,
                   .incarnation = incarnation,
                   .address = "10.0.0.1:80",
                   .leaving = leaving,
                   .backend = {.service = "orders"}},
          .sequence = sequence};
}

/** A leader with one entry; collects the member updates sent to the entry. */
struct leader_world {
  replica_state state;
  step_time now = kNow;
  std::vector<wire::member_info> sent_infos;

  leader_world() {
    state.leadership.emplace();
    member_session& entry = state.leadership->sessions["entry"];
    entry.link = kEntryLink;
    entry.info.name = "entry";
    state.leadership->session_links[kEntryLink] = "entry";
    state.leadership->full_list_sent = true;
  }

  /** Returns whether the report is acknowledged. */
  bool Handle(const wire::report_server& report) {
    replica_effects out;
    const bool acknowledged = HandleServerReport(state, report, now, out);
    for (const replica_effect& effect : out) {
      const auto* send = std::get_if<send_to_links>(&effect);
      if (send == nullptr) {
        continue;
      }
      const auto& update = std::get<wire::member_update>(send->message);
      sent_infos.insert(sent_infos.end(), update.changed.begin(),
                        update.changed.end());
    }
    return acknowledged;
  }
};

TEST_CASE("entries are notified of servers that report themselves") {
  leader_world w;
  w.Handle(Report(1, 1));
  REQUIRE(w.sent_infos.size() == 1);

  SUBCASE("reports that change nothing aren't forwarded") {
    w.Handle(Report(1, 2));
    CHECK(w.sent_infos.size() == 1);
  }

  SUBCASE("a leaving server is announced before the report is acknowledged") {
    w.Handle(Report(1, 2, true));
    REQUIRE(w.sent_infos.size() == 2);
    CHECK(w.sent_infos.back().leaving);

    SUBCASE("late reports don't revert it") {
      w.Handle(Report(1, 1));
      w.Handle(Report(1, 3));
      CHECK(w.sent_infos.size() == 2);
    }
    SUBCASE("a new incarnation under the same name is available again") {
      w.Handle(Report(2, 1));
      REQUIRE(w.sent_infos.size() == 3);
      CHECK_FALSE(w.sent_infos.back().leaving);
      SUBCASE("reports of the old incarnation are ignored") {
        w.Handle(Report(1, 9));
        CHECK(w.sent_infos.size() == 3);
      }
    }
  }

  SUBCASE("a goodbye marks the server as leaving") {
    w.Handle({.info = {.name = "i-1", .role = wire::member_role::kServer},
              .gone = true});
    REQUIRE(w.sent_infos.size() == 2);
    CHECK(w.sent_infos.back().leaving);
    CHECK(w.sent_infos.back().address == "10.0.0.1:80");
  }
}

// Guards against review/5: the time of day had jumped back on a server's host,
// so its new run had a lower incarnation, and its draining was acknowledged and
// ignored.
TEST_CASE("a server's run may have a lower incarnation than the one before") {
  constexpr base::time_us kBeatUs = 1'200'000;
  leader_world w;
  w.Handle(Report(5'000, 7));
  REQUIRE(w.sent_infos.size() == 1);
  w.now.now_us += kBeatUs;
  CHECK(w.Handle(Report(2'600, 1)));
  CHECK(w.sent_infos.size() == 1);

  SUBCASE("it is current once the earlier one has been silent") {
    for (std::uint64_t sequence = 2; sequence <= 4; ++sequence) {
      w.now.now_us += kBeatUs;
      CHECK(w.Handle(Report(2'600, sequence)));
    }
    REQUIRE(w.sent_infos.size() == 2);
    CHECK(w.sent_infos.back().incarnation > 5'000);
    w.now.now_us += kBeatUs;
    CHECK(w.Handle(Report(2'600, 5, true)));
    REQUIRE(w.sent_infos.size() == 3);
    CHECK(w.sent_infos.back().leaving);
  }

  SUBCASE("until then its draining isn't acknowledged") {
    w.now.now_us += kBeatUs;
    CHECK_FALSE(w.Handle(Report(2'600, 2, true)));
    w.now.now_us += kBeatUs;
    CHECK_FALSE(w.Handle(Report(2'600, 3, true)));
    w.now.now_us += kBeatUs;
    CHECK(w.Handle(Report(2'600, 4, true)));
    REQUIRE(w.sent_infos.size() == 2);
    CHECK(w.sent_infos.back().leaving);
  }

  SUBCASE("but late reports of an ended run change nothing") {
    for (std::uint64_t beat = 0; beat < 5; ++beat) {
      w.now.now_us += kBeatUs;
      CHECK(w.Handle(Report(5'000, 8 + beat)));
      CHECK(w.Handle(Report(2'600, 2 + beat)));
    }
    CHECK_FALSE(w.Handle(Report(2'600, 9, true)));
    CHECK(w.sent_infos.size() == 1);
  }

  SUBCASE("nor does the same late report, again and again") {
    for (int i = 0; i < 5; ++i) {
      w.now.now_us += kBeatUs;
      w.Handle(Report(2'600, 1));
    }
    CHECK(w.sent_infos.size() == 1);
  }
}

// A report under the name of an entry turned its session into a server's, and
// the entry got no more updates.
TEST_CASE("a report doesn't take over the session of another member") {
  leader_world w;
  wire::report_server report = Report(1, 1);
  report.info.name = "entry";
  w.Handle(report);
  CHECK(w.sent_infos.empty());
  CHECK(w.state.leadership->sessions["entry"].info.role ==
        wire::member_role::kEntry);
  w.Handle(Report(1, 1));
  CHECK(w.sent_infos.size() == 1);
}

TEST_CASE("entries are told of a crash that another entry has seen") {
  constexpr net::link_id kOtherLink = 6;
  leader_world w;
  w.state.leadership->sessions["other"].link = kOtherLink;
  w.Handle(Report(2, 1));
  const auto told = [&](net::link_id reporter, std::uint64_t incarnation) {
    replica_effects out;
    HandleServerCrash(w.state, reporter, {"i-1", incarnation}, out);
    std::vector<net::link_id> links;
    for (const replica_effect& effect : out) {
      if (const auto* send = std::get_if<send_to_links>(&effect)) {
        CHECK(std::get<wire::server_crash>(send->message).incarnation == 2);
        links.insert(links.end(), send->links.begin(), send->links.end());
      }
    }
    return links;
  };
  using links = std::vector<net::link_id>;

  SUBCASE("once, all but the one that reports it") {
    CHECK(told(kEntryLink, 2) == links{kOtherLink});
    CHECK(told(kOtherLink, 2).empty());
  }
  SUBCASE("unless the server has started again") {
    w.Handle(Report(3, 1));
    CHECK(told(kEntryLink, 2).empty());
  }
  SUBCASE("or isn't known") {
    w.state.leadership->sessions.erase("i-1");
    CHECK(told(kEntryLink, 2).empty());
  }
}

TEST_CASE("the highest version of a document wins") {
  config_history history;
  CHECK_FALSE(PublishDocument(history, {7, "seven"}).repeated);

  SUBCASE("an older version and other content of the same one are ignored") {
    CHECK(PublishDocument(history, {5, "five"}).repeated);
    CHECK(PublishDocument(history, {7, "other"}).repeated);
    CHECK(history.revision == 7);
    CHECK(DocumentBody(history) == "seven");
  }

  SUBCASE("members that are behind receive the whole newest document") {
    PublishDocument(history, {12, "twelve"});
    const wire::config_update update = UpdateSince(history, 7);
    CHECK(update.revision == 12);
    CHECK(update.base_revision == 0);
    REQUIRE(update.changed.size() == 1);
    CHECK(update.changed[0].body == "twelve");
  }

  SUBCASE("the document survives a snapshot") {
    const control_state state{.config = history};
    CHECK(DocumentBody(DecodeState(EncodeState(state)).config) == "seven");
  }
}

TEST_CASE("the replica set is maintained automatically") {
  const std::vector<replica_view> three = {
      {.name = "a", .voter = true},
      {.name = "b", .voter = true, .silent_ms = 90},
      {.name = "c", .voter = true, .silent_ms = 9'000}};

  SUBCASE("a lost replica stays until it is replaced") {
    CHECK_FALSE(NextReplicaChange(three, {}, "a", 3));
  }

  SUBCASE("a lost replica stays while fewer than 2f + 1 others are live") {
    std::vector<replica_view> six = three;
    for (const char* name : {"d", "e", "f"}) {
      six.push_back({.name = name, .voter = true, .silent_ms = 80});
    }
    // If it were removed, the loss of another one would leave four, and two of
    // those may lose their disks.
    CHECK(NextReplicaChange(six, {}, "a", 5));
    six.back().silent_ms = 2'000;
    CHECK_FALSE(NextReplicaChange(six, {}, "a", 5));
  }

  SUBCASE("a new replica that connects is added as a learner") {
    const std::vector<replica_address> linked = {{"b", "b:1"}, {"d", "d:1"}};
    const auto change = NextReplicaChange(three, linked, "a", 3);
    REQUIRE(change);
    CHECK(change->change == raft::replica_change::kAddLearner);
    CHECK(change->name == "d");
    // It becomes a voter in place of another one, by a change of its own, so
    // that the number of voters isn't even meanwhile (review/6).
    CHECK_FALSE(change->promote_when_ready);
    std::vector<replica_view> four = three;
    four.push_back({.name = "d", .silent_ms = 50, .caught_up = true});
    const auto next = NextReplicaChange(four, {}, "a", 3);
    REQUIRE(next);
    CHECK(next->change == raft::replica_change::kSetVoters);
    CHECK(next->voters == std::vector<std::string>{"a", "b", "d"});
  }

  SUBCASE("a lost replica is removed once its replacement is a voter") {
    std::vector<replica_view> four = three;
    four.push_back({.name = "d", .voter = false, .silent_ms = 50});
    CHECK_FALSE(NextReplicaChange(four, {}, "a", 3));
    four.back().voter = true;
    auto change = NextReplicaChange(four, {}, "a", 3);
    REQUIRE(change);
    CHECK(change->change == raft::replica_change::kSetVoters);
    CHECK(change->voters == std::vector<std::string>{"a", "b", "d"});
    four[2].voter = false;
    change = NextReplicaChange(four, {}, "a", 3);
    REQUIRE(change);
    CHECK(change->change == raft::replica_change::kRemove);
    CHECK(change->name == "c");
  }
}

}  // namespace
}  // namespace wisteriaroute::control
