#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

#include "libwisteriaroute/control/server_reports.h"
#include "libwisteriaroute/control/sessions.h"
#include "libwisteriaroute/control/updates.h"
#include "libwisteriaroute/policy/cold_share.h"

namespace wisteriaroute::control {
namespace {

constexpr net::link_id kEntryLink = 5;

/** A leader with one entry; collects the updates that entries are sent. */
struct leader_world {
  replica_state state;
  step_time now{.now_us = 50'000'000};
  std::uint64_t sequence = 0;

  leader_world() {
    state.leadership.emplace();
    state.leadership->full_list_sent = true;
    Hello("entry-1", kEntryLink);
  }

  std::vector<wire::member_update> Updates(const replica_effects& effects) {
    std::vector<wire::member_update> updates;
    for (const replica_effect& effect : effects) {
      const auto* send = std::get_if<send_to_links>(&effect);
      const auto* update =
          send == nullptr ? nullptr
                          : std::get_if<wire::member_update>(&send->message);
      if (update != nullptr) {
        updates.push_back(*update);
      }
    }
    return updates;
  }

  std::vector<wire::member_update> Hello(const std::string& name,
                                         net::link_id link) {
    replica_effects out;
    HandleHello(state, link, {.info = {.name = name, .incarnation = link}}, now,
                out);
    return Updates(out);
  }

  std::vector<wire::member_update> Report(std::optional<std::int64_t> left_ms,
                                          std::uint64_t incarnation = 1) {
    replica_effects out;
    HandleServerReport(state,
                       {.info = {.name = "i-1",
                                 .role = wire::member_role::kServer,
                                 .incarnation = incarnation,
                                 .address = "10.0.0.1:80",
                                 .backend = {.service = "orders"},
                                 .cold_left_ms = left_ms},
                        .sequence = ++sequence},
                       now, out);
    return Updates(out);
  }

  std::vector<wire::member_update> Flush() {
    replica_effects out;
    FlushMembers(state, now, out);
    return Updates(out);
  }
};

// Guards against a time that counts from when it is sent on: an entry that
// connects late would take the server for cold for too long or too short.
TEST_CASE("entries are told how long a server stays cold from now on") {
  leader_world w;
  auto updates = w.Report(4'000);
  REQUIRE(updates.size() == 1);
  const std::int64_t told = updates[0].changed.at(0).cold_left_ms.value_or(-1);
  CHECK(told >= 4'000);
  CHECK(told <= 4'500);

  SUBCASE("also those that connect later") {
    w.now.now_us += 1'500'000;
    updates = w.Hello("entry-2", 6);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].changed.at(0).cold_left_ms == told - 1'500);
  }
  SUBCASE("but not of each report") {
    w.now.now_us += 1'000'000;
    CHECK(w.Report(3'000).empty());
    w.now.now_us += 1'050'000;
    CHECK(w.Report(2'000).empty());
    w.now.now_us += 1'950'000;
    w.Report(0);
    CHECK(w.Report(0).empty());
  }
  SUBCASE("that it is warm early") {
    updates = w.Report(0);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].changed.at(0).cold_left_ms == 0);
  }
  SUBCASE("that it is cold again") {
    w.Report(0);
    w.now.now_us += 9'000'000;
    REQUIRE(w.Report(0).empty());
    updates = w.Report(5'000);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].changed.at(0).cold_left_ms.value_or(0) >= 5'000);
  }
  SUBCASE("nothing of a new run that doesn't say") {
    updates = w.Report({}, 2);
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].changed.at(0).cold_left_ms == std::nullopt);
  }
}

TEST_CASE("entries are told of each other") {
  const std::vector<std::uint64_t> both = {policy::EntryId("entry-1"),
                                           policy::EntryId("entry-2")};
  leader_world w;
  w.Flush();
  w.now.now_us += 1'000'000;
  const auto first = w.Hello("entry-2", 6);
  REQUIRE(first.size() == 1);
  CHECK(first[0].entry_ids == both);
  const auto updates = w.Flush();
  REQUIRE(updates.size() == 1);
  CHECK(updates[0].entry_ids == both);

  SUBCASE("only when the list changes") {
    w.now.now_us += 1'000'000;
    CHECK(w.Flush().empty());
    const auto report = w.Report(0);
    REQUIRE(report.size() == 1);
    CHECK(report[0].entry_ids.empty());
  }
  SUBCASE("when one has left") {
    replica_effects out;
    HandleGoodbye(w.state, 6, out);
    CHECK(w.Flush().empty());
    w.now.now_us += 1'000'000;
    const auto left = w.Flush();
    REQUIRE(left.size() == 1);
    CHECK(left[0].entry_ids == std::vector{both[0]});
  }
}

// Guards against a leader that has just been elected and takes the first entry
// that connects for the only one.
TEST_CASE("a new leader lists no entries before they could reconnect") {
  leader_world w;
  w.state.leadership->full_list_sent = false;
  w.state.leadership->elected_us = w.now.now_us;
  const auto first = w.Hello("entry-2", 6);
  REQUIRE(first.size() == 1);
  CHECK(first[0].entry_ids.empty());
  CHECK(w.Flush().empty());
  w.now.now_us += 10'000'000;
  const auto later = w.Flush();
  REQUIRE(later.size() == 1);
  CHECK(later[0].full);
  CHECK(later[0].entry_ids.size() == 2);
}

}  // namespace
}  // namespace wisteriaroute::control
